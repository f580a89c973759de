package deploy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/zeebo/errs/v2"
)

// The ports handed out lie below those that the kernel gives to outgoing connections, which would otherwise take them
// between the moment they are chosen and the moment a process listens there.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(firstPort + rand.Int64N((lastPort-firstPort)/2))
}

// FreeAddress returns an address of the loopback interface on which nobody listens, a new one each time.
func FreeAddress() (string, error) {
	for {
		port := nextPort.Add(1)
		if port >= lastPort {
			return "", &TimeoutError{What: "a free port"}
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return address, errs.Wrap(ln.Close())
		}
	}
}

package deploy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/zeebo/errs/v2"
)

// Ports are allocated below the kernel's ephemeral range. Otherwise an outgoing connection could
// take a port between its allocation and the moment a process listens on it.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(firstPort + rand.Int64N((lastPort-firstPort)/2))
}

// FreeAddress returns an unused loopback address, a different one on each call.
func FreeAddress() (string, error) {
	for {
		port := nextPort.Add(1)
		if port >= lastPort {
			return "", &TimeoutError{Condition: "a free port"}
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return address, errs.Wrap(ln.Close())
		}
	}
}

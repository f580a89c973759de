package deploy

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/samber/lo"
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
	const ip = "127.0.0.1"
	port, err := FreePort(ip)
	return net.JoinHostPort(ip, port), err
}

// FreePort returns a port that is unused on all given IP addresses, a different one on each call.
func FreePort(ips ...string) (string, error) {
	for {
		port := nextPort.Add(1)
		if port >= lastPort {
			return "", &TimeoutError{Condition: "a free port"}
		}
		text := strconv.FormatInt(port, 10)
		if lo.EveryBy(ips, func(ip string) bool { return isFree(net.JoinHostPort(ip, text)) }) {
			return text, nil
		}
	}
}

// isFree reports whether a process can listen at an address. The lock keeps the listener out of processes
// that are being started, which would otherwise hold it until they execute their program.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address)
	return err == nil && ln.Close() == nil
}

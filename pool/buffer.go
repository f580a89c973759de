package pool

import "syscall"

// receiveBytes is the size of a connection's receive buffer in the kernel, which doubles it. The kernel's own
// sizing lets a buffer grow to many megabytes for a reader that was fast before it stops.
const receiveBytes = 128 << 10

// boundReceiveBuffer bounds the receive buffer of a connection. A kernel that refuses this keeps its own sizes.
func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
}

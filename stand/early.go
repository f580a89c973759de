package stand

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
)

const (
	// earlyReceiveBytes and earlySegmentBytes keep the buffers between a client and an Early small, as on a network, so
	// that an upload of some hundred KB is still being written when the answer comes.
	earlyReceiveBytes = 4 << 10
	earlySegmentBytes = 1448
)

// Ending is what a server does with a connection after its answer.
type Ending int

const (
	// EndReset resets the connection.
	EndReset Ending = iota
	// EndCloseThenReset ends the sending side in order and then resets the connection.
	EndCloseThenReset
	// EndDrain ends the sending side in order and reads until the client closes the connection.
	EndDrain
)

// EarlyAnswer returns the bytes of an answer to a request whose body isn't read, and whether the connection is kept for
// another request.
type EarlyAnswer func(r *http.Request) (raw string, keep bool)

// Early is a server that answers a request once it has the head, while its client still sends the body.
type Early struct {
	// Address is the server's host and port.
	Address string

	ln       net.Listener
	answer   EarlyAnswer
	ending   Ending
	requests atomic.Int64
	conns    atomic.Int64
}

// StartEarly starts a server on a free port whose connections end in the given way after an answer.
func StartEarly(ending Ending, answer EarlyAnswer) (*Early, error) {
	listener := net.ListenConfig{Control: shrinkBuffers}
	ln, err := listener.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Early{
		Address: ln.Addr().String(),
		ln:      ln,
		answer:  answer,
		ending:  ending,
	}
	go s.accept()
	return s, nil
}

func shrinkBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyReceiveBytes)
		if failed == nil {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, earlySegmentBytes)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// Requests returns the number of requests received.
func (s *Early) Requests() int64 {
	return s.requests.Load()
}

// Conns returns the number of connections on which a request was received.
func (s *Early) Conns() int64 {
	return s.conns.Load()
}

// Close stops listening.
func (s *Early) Close() error {
	return s.ln.Close()
}

func (s *Early) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go s.serve(tcp)
		}
	}
}

func (s *Early) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if n == 0 {
			s.conns.Add(1)
		}
		raw, keep := s.answer(req)
		if _, err := io.WriteString(c, raw); err != nil {
			return
		}
		if !keep {
			s.end(c)
			return
		}
	}
}

func (s *Early) end(c *net.TCPConn) {
	if s.ending != EndReset {
		if err := c.CloseWrite(); err != nil {
			return
		}
	}
	if s.ending == EndDrain {
		// The client ends this.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	// The connection is open, so that this can't fail.
	_ = c.SetLinger(0)
}

// CutResponse is a response without a length, the connection of which is to be reset.
type CutResponse struct {
	Name string
	Raw  string
}

// CutResponses returns responses with the given lines of fields that break off after their heads, and one that breaks off
// after part of its body.
func CutResponses(fields, part string) []CutResponse {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return []CutResponse{
		{Name: "after the head", Raw: ok + "\r\n"},
		{Name: "announced", Raw: ok + "Connection: close\r\n\r\n"},
		{Name: "HTTP 1.0", Raw: "HTTP/1.0 200 OK\r\n" + fields + "\r\n"},
		{Name: "after an interim response", Raw: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "\r\n"},
		{Name: "after a part", Raw: ok + "\r\n" + part},
	}
}

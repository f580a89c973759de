package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Raw is a server that answers requests with bytes that need not be valid HTTP.
type Raw struct {
	// Address is the server's host and port.
	Address string

	ln       net.Listener
	answer   func(*http.Request) string
	keep     bool
	requests atomic.Int64
	conns    atomic.Int64
}

// StartRaw starts a server on a free port that answers each request with the bytes that answer returns, and then
// closes the connection unless keep is set.
func StartRaw(keep bool, answer func(*http.Request) string) (*Raw, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Raw{
		Address: ln.Addr().String(),
		ln:      ln,
		answer:  answer,
		keep:    keep,
	}
	go s.accept()
	return s, nil
}

// Requests returns the number of requests received.
func (s *Raw) Requests() int64 {
	return s.requests.Load()
}

// Conns returns the number of connections on which a request was received.
func (s *Raw) Conns() int64 {
	return s.conns.Load()
}

// Close stops listening. Connections are closed by their clients.
func (s *Raw) Close() error {
	return s.ln.Close()
}

func (s *Raw) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Raw) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; n == 0 || s.keep; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if n == 0 {
			s.conns.Add(1)
		}
		if _, err := io.WriteString(c, s.answer(req)); err != nil {
			return
		}
	}
}

// Framing is a way to frame the body of a response.
type Framing struct {
	Name string
	// Frame returns the end of a head and the framed body.
	Frame func(body string) string
}

// Framings returns the ways to frame a body.
func Framings() []Framing {
	return []Framing{
		{Name: "length", Frame: WithLength},
		{Name: "chunked", Frame: chunked},
		{Name: "no length", Frame: func(body string) string { return "\r\n" + body }},
	}
}

// WithLength returns the end of a head with a Content-Length, and the body.
func WithLength(body string) string {
	return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func chunked(body string) string {
	return "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
}

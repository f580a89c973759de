package stand

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"
)

const shutdownTimeout = 200 * time.Millisecond

// Server serves a stand-in's handler on an address and can be stopped and restarted there.
type Server struct {
	handler fasthttp.RequestHandler

	mu      sync.Mutex
	address string
	server  *fasthttp.Server
	ln      *trackedListener
}

// NewServer returns a server that is not yet started.
func NewServer(address string, handler fasthttp.RequestHandler) *Server {
	return &Server{
		handler: handler,
		address: address,
	}
}

// Start listens and serves in the background; port 0 selects a free port.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return errs.Wrap(err)
	}
	s.address = ln.Addr().String()
	s.ln = &trackedListener{
		Listener: ln,
		conns:    make(map[net.Conn]struct{}),
	}
	s.server = &fasthttp.Server{
		Handler:            s.handler,
		NoDefaultDate:      true,
		Logger:             discardLogger{},
		StreamRequestBody:  false,
		MaxRequestBodySize: 64 << 20,
	}
	go func(server *fasthttp.Server, ln net.Listener) { _ = server.Serve(ln) }(s.server, s.ln)
	return nil
}

// Address returns the listen address as IP and port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Stop closes the listener and all connections at once, as a crash would.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return
	}
	_ = s.ln.Close()
	s.ln.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.server.ShutdownWithContext(ctx)
	s.ln = nil
}

// discardLogger drops the server's messages about connections closed by callers, which are routine
// in tests.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

type trackedListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &trackedConn{
		Conn:     c,
		listener: l,
	}
	l.conns[t] = struct{}{}
	return t, nil
}

func (l *trackedListener) closeAll() {
	l.mu.Lock()
	conns := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

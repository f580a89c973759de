package accept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"geraniumpass/budget"
)

const (
	// receiveBytes and sendBytes are the sizes of a connection's buffers in the kernel, which doubles them.
	receiveBytes = 16 << 10
	sendBytes    = 32 << 10
	// acceptRetryDelay is the pause after a failure to accept.
	acceptRetryDelay = 10 * time.Millisecond
	// logInterval is the least time between two log lines of one kind.
	logInterval = time.Second
)

// Config configures a Listener.
type Config struct {
	Address string
	// Name identifies the listener in the log.
	Name string
	// MaxConns bounds the open connections.
	MaxConns int
	// Budget is what the process may hold for the clients of this listener.
	Budget *budget.Budget
	// Limits returns the limits in force, none if nil.
	Limits func() Limits
	Clock  clockwork.Clock
	Log    hclog.Logger
}

// Listener accepts the connections of clients; it is safe for concurrent use.
type Listener struct {
	net.Listener
	cfg    Config
	budget *budget.Budget

	mu    sync.Mutex
	conns map[*Conn]bool
	// loggedAt is when a closed connection was last logged, and unlogged how many were not since.
	loggedAt time.Time
	unlogged int
	done     chan struct{}
	once     sync.Once
}

// Listen opens a listener.
func Listen(cfg Config) (*Listener, error) {
	lc := net.ListenConfig{Control: setBuffers}
	ln, err := lc.Listen(context.Background(), "tcp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		Listener: ln,
		cfg:      cfg,
		budget:   cfg.Budget,
		conns:    make(map[*Conn]bool),
		done:     make(chan struct{}),
	}
	go l.sweepUntilClosed()
	return l, nil
}

// setBuffers bounds the buffers of all connections of a listening socket. A kernel that refuses this keeps
// its own sizes.
func setBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBytes)
	})
}

func (l *Listener) now() time.Time {
	return l.cfg.Clock.Now()
}

func (l *Listener) limits() Limits {
	if l.cfg.Limits == nil {
		return Limits{}
	}
	return l.cfg.Limits()
}

// Accept implements net.Listener. It fails only when the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.recordClosed("accept_failed", err)
			l.evict(0)
			l.cfg.Clock.Sleep(acceptRetryDelay)
			continue
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		if c := l.add(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// add returns a new connection, nil if there are too many of which none can be closed.
func (l *Listener) add(tcp *net.TCPConn) *Conn {
	c := &Conn{
		Conn:  tcp,
		tcp:   tcp,
		l:     l,
		since: l.now(),
	}
	for {
		l.mu.Lock()
		if len(l.conns) < l.cfg.MaxConns {
			l.conns[c] = true
			l.mu.Unlock()
			return c
		}
		l.mu.Unlock()
		if !l.evict(0) {
			l.recordClosed("no_room", nil)
			return nil
		}
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Close implements net.Listener. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// take takes n bytes of the budget for a connection, if need be those of slower ones.
func (l *Listener) take(c *Conn, n, held int64) bool {
	for !l.budget.Take(n, held) {
		if !l.evictHolder(c) {
			return false
		}
	}
	return true
}

// Bind tracks the connections of an http.Server, which reads a body only when its handler does.
func (l *Listener) Bind(s *http.Server) {
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c, _ := nc.(*Conn)
		switch state {
		case http.StateIdle:
			c.enter(phaseWaiting)
		case http.StateActive:
			c.enter(phaseReading)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// BindFast tracks the connections of a fasthttp.Server, whose handlers read bodies if it streams them and
// otherwise get requests as a whole.
func (l *Listener) BindFast(s *fasthttp.Server) {
	s.ConnState = func(nc net.Conn, state fasthttp.ConnState) {
		if c, ok := nc.(*Conn); ok && state == fasthttp.StateIdle {
			c.enter(phaseWaiting)
		}
	}
	handle, first := s.Handler, phaseRunning
	if s.StreamRequestBody {
		first = phaseReading
	}
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if c, ok := ctx.Conn().(*Conn); ok {
			c.enter(first)
		}
		handle(ctx)
	}
}

// recordClosed counts a connection that was closed and logs it, at most once in logInterval.
func (l *Listener) recordClosed(reason string, err error) {
	refusals.Add(reason, 1)
	l.mu.Lock()
	l.unlogged++
	now, n := l.now(), l.unlogged
	quiet := now.Sub(l.loggedAt) < logInterval
	if !quiet {
		l.loggedAt, l.unlogged = now, 0
	}
	l.mu.Unlock()
	if !quiet {
		l.cfg.Log.Warn("closed connections of clients", "listener", l.cfg.Name, "reason", reason, "connections", n, "error", err)
	}
}

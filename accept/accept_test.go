package accept

import (
	"bufio"
	"bytes"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/budget"
)

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures int
	err      error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, l.err
	}
	return l.Listener.Accept()
}

func newTestListener(t *testing.T, maxConns int) *Listener {
	t.Helper()
	l, err := Listen(Config{
		Address:  "127.0.0.1:0",
		Name:     "test",
		MaxConns: maxConns,
		Budget:   budget.New(1 << 20),
		Clock:    clockwork.NewRealClock(),
		Log:      hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestAcceptGoesOnWithoutDescriptors guards against processes that end because a server returns once no
// connection can be accepted.
func TestAcceptGoesOnWithoutDescriptors(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(err.Error(), func(t *testing.T) {
			l := newTestListener(t, 10)
			l.Listener = &failingListener{
				Listener: l.Listener,
				failures: 3,
				err:      &net.OpError{Op: "accept", Err: err},
			}
			dial(t, l)
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
		})
	}
}

// TestAcceptReturnsOnceClosed guards against processes that can't stop.
func TestAcceptReturnsOnceClosed(t *testing.T) {
	l := newTestListener(t, 10)
	_ = l.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("a closed listener accepts")
	}
}

// TestFullListenerClosesTheLeastUseful guards against clients that keep all connections, and against requests
// that are broken off for new clients.
func TestFullListenerClosesTheLeastUseful(t *testing.T) {
	l := newTestListener(t, 2)
	accepted := func() *Conn {
		dial(t, l)
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c.(*Conn)
	}
	running, idle := accepted(), accepted()
	running.MarkRunning()
	idle.MarkRunning()
	idle.enter(phaseWaiting)
	next := accepted()
	if !idle.isClosed() || running.isClosed() {
		t.Errorf("idle closed %v, running closed %v", idle.isClosed(), running.isClosed())
	}
	next.MarkRunning()
	c := dial(t, l)
	go func() { _, _ = l.Accept() }()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || running.isClosed() || next.isClosed() {
		t.Errorf("a client beyond the bound: %v; running closed %v, %v", err, running.isClosed(), next.isClosed())
	}
}

// TestRefusedClientIsNotReadOn guards against servers that read on after a refusal, without any bound: a partial
// line hides the first error from bufio.Reader.ReadLine.
func TestRefusedClientIsNotReadOn(t *testing.T) {
	l := newTestListener(t, 10)
	c := dial(t, l)
	sc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		block := bytes.Repeat([]byte("x"), 16<<10)
		for range 64 {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}()
	r := bufio.NewReader(sc)
	read, failures := 0, 0
	for failures < 5 {
		line, _, err := r.ReadLine()
		read += len(line)
		if err != nil {
			failures++
		}
	}
	if read > minHeadBytes+headSlackBytes+4096 {
		t.Errorf("%d bytes were read of a head", read)
	}
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// startPeer listens on a local port and passes accepted connections to the test.
func startPeer(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return ln.Addr().String(), conns
}

func mustGet(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), Target{Address: address}, 2)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestAbortResets guards against delivering the request of a caller that disconnected to an
// upstream that was frozen in the meantime.
func TestAbortResets(t *testing.T) {
	address, conns := startPeer(t)
	c := mustGet(t, New(clockwork.NewRealClock()), address)
	other := <-conns
	c.Abort()
	c.Discard()
	if _, err := io.ReadAll(other); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("upstream got %v, want a connection reset", err)
	}
}

func TestIdleConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tests := []struct {
		name   string
		act    func(t *testing.T, other net.Conn)
		reused bool
	}{
		{
			name:   "quiet",
			act:    func(*testing.T, net.Conn) {},
			reused: true,
		},
		{
			name: "expired",
			act:  func(*testing.T, net.Conn) { clock.Advance(5 * time.Second) },
		},
		{
			name: "bytes that nobody asked for",
			act: func(t *testing.T, other net.Conn) {
				if _, err := other.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
					t.Fatal(err)
				}
			},
		},
		{
			name: "closed by the upstream",
			act:  func(_ *testing.T, other net.Conn) { _ = other.Close() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, conns := startPeer(t)
			p := New(clock)
			c := mustGet(t, p, address)
			other := <-conns
			c.Release(5 * time.Second)
			tt.act(t, other)
			if !tt.reused {
				// Data or a close by the peer becomes readable; in the expired case only time has
				// passed.
				awaitReadable(t, c, tt.name == "expired")
			}
			if got := mustGet(t, p, address).Reused; got != tt.reused {
				t.Errorf("reused: %v, want %v", got, tt.reused)
			}
		})
	}
}

// awaitReadable waits until data or a close arrives on an idle connection.
func awaitReadable(t *testing.T, c *Conn, expired bool) {
	t.Helper()
	if expired {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.Reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
}

func TestLimitOfOpenConnections(t *testing.T) {
	address, _ := startPeer(t)
	p := New(clockwork.NewRealClock())
	first := mustGet(t, p, address)
	mustGet(t, p, address)
	var full *FullError
	if _, err := p.Get(context.Background(), Target{Address: address}, 2); !errors.As(err, &full) {
		t.Fatalf("a third connection: %v, want a *FullError", err)
	}
	first.Discard()
	mustGet(t, p, address)
}

// TestPruneClosesConnectionsWithUnsolicitedData guards against idle connections whose peers send bytes without an
// end, which take the memory of the process up to the size of its receive buffers.
func TestPruneClosesConnectionsWithUnsolicitedData(t *testing.T) {
	address, conns := startPeer(t)
	p := New(clockwork.NewRealClock())
	noisy, quiet := mustGet(t, p, address), mustGet(t, p, address)
	first, second := <-conns, <-conns
	noisy.Release(0)
	quiet.Release(0)
	if first.RemoteAddr().String() != noisy.LocalAddr().String() {
		first, second = second, first
	}
	if _, err := first.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	target := Target{Address: address}
	for start := time.Now(); p.IdleCount(target) > 1; time.Sleep(time.Millisecond) {
		if time.Since(start) > 2*time.Second {
			t.Fatal("a connection with unsolicited data is kept")
		}
		p.Prune(func(Target) bool { return true })
	}
	if c := mustGet(t, p, address); c != quiet {
		t.Error("the quiet connection was closed")
	}
	_ = second.Close()
}

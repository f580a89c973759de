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

// peer accepts one connection after the other and hands them to the test.
func peer(t *testing.T) (string, <-chan net.Conn) {
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

func get(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), Target{Address: address}, 2)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestAbortResets keeps a request of a caller who left from reaching an upstream that was frozen meanwhile.
func TestAbortResets(t *testing.T) {
	address, conns := peer(t)
	c := get(t, New(clockwork.NewRealClock()), address)
	other := <-conns
	c.Abort()
	c.Discard()
	if _, err := io.ReadAll(other); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the upstream sees %v, want a reset", err)
	}
}

func TestIdleConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tests := []struct {
		name   string
		meddle func(t *testing.T, other net.Conn)
		reused bool
	}{
		{
			name:   "quiet",
			meddle: func(*testing.T, net.Conn) {},
			reused: true,
		},
		{
			name:   "expired",
			meddle: func(*testing.T, net.Conn) { clock.Advance(5 * time.Second) },
		},
		{
			name: "bytes that nobody asked for",
			meddle: func(t *testing.T, other net.Conn) {
				if _, err := other.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
					t.Fatal(err)
				}
			},
		},
		{
			name:   "closed by the upstream",
			meddle: func(_ *testing.T, other net.Conn) { _ = other.Close() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, conns := peer(t)
			p := New(clock)
			c := get(t, p, address)
			other := <-conns
			c.Keep(5 * time.Second)
			tt.meddle(t, other)
			if !tt.reused {
				// What the other end did shows as something to read, except where only time has passed.
				awaitReadable(t, c, tt.name == "expired")
			}
			if got := get(t, p, address).Reused; got != tt.reused {
				t.Errorf("reused: %v, want %v", got, tt.reused)
			}
		})
	}
}

// awaitReadable waits until an idle connection is no longer quiet.
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
	address, _ := peer(t)
	p := New(clockwork.NewRealClock())
	first := get(t, p, address)
	get(t, p, address)
	var full *FullError
	if _, err := p.Get(context.Background(), Target{Address: address}, 2); !errors.As(err, &full) {
		t.Fatalf("a third connection: %v, want a *FullError", err)
	}
	first.Discard()
	get(t, p, address)
}

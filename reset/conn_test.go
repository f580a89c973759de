package reset

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"geraniumpass/stand"
)

const (
	// uploadBytes is more than the buffers between two sockets hold.
	uploadBytes = 512 << 10
	part        = "part"
)

// request is an upload whose head is in the same write as its body.
var request = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("u", uploadBytes))

// dialEarly connects to a server that sends part while a request is being written, and then ends the connection.
func dialEarly(t *testing.T, ending stand.Ending) *Conn {
	t.Helper()
	s, err := stand.StartEarly(ending, func(*http.Request) (string, bool) { return part, false })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	nc, err := net.Dial("tcp4", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return NewConn(nc)
}

// TestResetIsReadAfterAWriteReportedIt guards against a reader that takes the bytes before a reset for all that the peer
// sent, because a write was told of the reset, in part or as a whole.
func TestResetIsReadAfterAWriteReportedIt(t *testing.T) {
	c := dialEarly(t, stand.EndReset)
	n, err := io.WriteString(c, request)
	if !errors.Is(err, syscall.ECONNRESET) || n == 0 {
		t.Fatalf("%d bytes written, %v; want some and a reset", n, err)
	}
	for range 2 {
		got, err := io.ReadAll(c)
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%q, %v; want a reset", got, err)
		}
	}
}

// TestResetIsReadTwice guards against a reader that takes a reset, which another read was told of, for the end.
func TestResetIsReadTwice(t *testing.T) {
	c := dialEarly(t, stand.EndReset)
	if _, err := io.WriteString(c, strings.SplitAfter(request, "\r\n\r\n")[0]); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%q, %v; want a reset", got, err)
		}
	}
}

// TestResetIsReadDuringAWrite guards against a reader and a writer that race for a reset.
func TestResetIsReadDuringAWrite(t *testing.T) {
	for range 200 {
		c := dialEarly(t, stand.EndReset)
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, request)
			written <- err
		}()
		if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%q, %v; want a reset", got, err)
		}
		if err := <-written; err == nil {
			t.Error("the request was written to its end")
		}
	}
}

// TestOrderlyEndIsRead guards against bytes that the peer ended in order and that are taken for cut, because it resets
// the connection afterwards or reads no more.
func TestOrderlyEndIsRead(t *testing.T) {
	for range 50 {
		c := dialEarly(t, stand.EndCloseThenReset)
		if _, err := io.WriteString(c, request); !errors.Is(err, syscall.EPIPE) {
			t.Fatalf("%v, want a broken pipe", err)
		}
		if got, err := io.ReadAll(c); err != nil || string(got) != part {
			t.Errorf("%q, %v; want %q", got, err, part)
		}
	}
}

// TestPendingWriteEndsWithTheRead guards against a reader that has all that its peer sends and waits for a write that the
// peer doesn't read.
func TestPendingWriteEndsWithTheRead(t *testing.T) {
	const tooMuch = 32 << 20
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	own, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = own.Close() })
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	c := NewConn(own)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, tooMuch))
		written <- err
	}()
	if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if tcp, ok := peer.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		t.Fatal("the peer can't end its sending side")
	}
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("%q, %v; want an orderly end", got, err)
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write: %v, want that it was ended", err)
	}
}

package wire

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestEndlessAnswerToTheOpeningOfALink guards against a process that is killed because what has the address of
// a peer sends a head or a message without an end.
func TestEndlessAnswerToTheOpeningOfALink(t *testing.T) {
	const head = "HTTP/1.1 101 Switching Protocols\r\n"
	for _, tt := range []struct{ name, start, unit string }{
		{"no line", "", "x"},
		{"field", head + "X-Field: ", "v"},
		{"fields", head, "X-Field: v\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body of a refusal", "HTTP/1.1 403 Forbidden\r\n\r\n", "x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			sent := make(chan int, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				// The peer's buffers take some MB before a write fails.
				n, block := 0, strings.Repeat(tt.unit, 4<<10)
				_, err = io.WriteString(c, tt.start)
				for err == nil && n < 64<<20 {
					_, err = io.WriteString(c, block)
					n += len(block)
				}
				sent <- n
			}()
			began := time.Now()
			l, err := DialTimeout(2*time.Second, ln.Addr().String(), Identity{ID: "entry", Role: RoleEntry}, []byte(testKey))
			if err == nil {
				l.Close()
				t.Fatal("opened a link to a peer that isn't one")
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("gave up after %v", took)
			}
			if n := <-sent; n >= 64<<20 {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// TestHeadLimitIsLifted guards against a link that fails once its peer has sent more than the limit of a head.
func TestHeadLimitIsLifted(t *testing.T) {
	a, b := net.Pipe()
	h := newHeadLimit(a)
	go func() {
		_, _ = io.WriteString(b, strings.Repeat("x", 2*maxHeadBytes))
		_ = b.Close()
	}()
	n, err := io.Copy(io.Discard, h)
	var tooLarge *HeadTooLargeError
	if n != maxHeadBytes || !errors.As(err, &tooLarge) {
		t.Fatalf("%d bytes, %v; want %d and the limit", n, err, maxHeadBytes)
	}
	h.lift()
	if rest, err := io.Copy(io.Discard, h); rest != maxHeadBytes || err != nil {
		t.Errorf("%d more bytes, %v", rest, err)
	}
}

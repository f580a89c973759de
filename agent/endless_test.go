package agent

import (
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"geraniumpass/proto"
)

const (
	// callMemory is what one call may hold: an event of the largest size, its growth and what is garbage.
	callMemory = 4 * maxEventBytes
	// endlessBytes ends an endless answer that nobody closes.
	endlessBytes = 128 << 20
	// enough is the number of bytes after which a caller of these tests leaves.
	enough = 4 << 20
)

var errEnough = errors.New("caller has left")

// startEndless returns the address of an upstream that sends start, and then unit until its connection is
// closed.
func startEndless(t *testing.T, start, unit string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	block := strings.Repeat(unit, 1+(16<<10)/len(unit))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, err := io.WriteString(c, start)
				for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func liveMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestEndlessAnswersOfAnUpstream guards against an agent that is killed because its upstream sends a head, a body
// or an event without an end.
func TestEndlessAnswersOfAnUpstream(t *testing.T) {
	const head, events = "HTTP/1.1 200 OK\r\n", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n"
	answers := []struct{ name, start, unit string }{
		{"no line", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"field", head + "X-Field: ", "v"},
		{"fields", head, "X-Field: v\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body with a length", head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"body without a length", head + "Connection: close\r\n\r\n", "x"},
		{"chunk", head + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Field: ", "v"},
		{"line of an event", head + events + "data: ", "x"},
		{"lines of an event", head + events, "data: x\n"},
		{"events", head + events, "data: x\n\n"},
	}
	calls := []struct {
		name string
		do   func(u *HTTPUpstream) error
	}{
		{"request", func(u *HTTPUpstream) error {
			read := 0
			d := &proto.Dispatch{Method: "POST", Path: "/v1/completions", Request: "r-1"}
			return u.Do(d, time.Now().Add(time.Second), func(p *proto.Answer) error {
				if read += len(p.Data); read > enough {
					return errEnough
				}
				return nil
			})
		}},
		{"health", func(u *HTTPUpstream) error { _, err := u.Leaving(); return err }},
		{"order", func(u *HTTPUpstream) error { _, err := u.Order([]byte("{}")); return err }},
	}
	for _, c := range calls {
		for _, a := range answers {
			t.Run(c.name+"/"+a.name, func(t *testing.T) {
				u := NewHTTPUpstream(startEndless(t, a.start, a.unit))
				before, most := liveMemory(), uint64(0)
				done := make(chan error, 1)
				go func() { done <- c.do(u) }()
				for start := time.Now(); ; {
					most = max(most, liveMemory())
					select {
					case err := <-done:
						if err == nil {
							t.Error("an answer without an end is complete")
						}
						if most > before+callMemory {
							t.Errorf("the call holds %d KiB, allowed are %d", (most-before)>>10, callMemory>>10)
						}
						return
					case <-time.After(5 * time.Millisecond):
					}
					if time.Since(start) > 5*time.Second {
						t.Fatal("the call has no end")
					}
				}
			})
		}
	}
}

// TestSoundAnswersOfAnySize guards against a bound that turns sound answers of an upstream away.
func TestSoundAnswersOfAnySize(t *testing.T) {
	large := strings.Repeat("data: "+strings.Repeat("d", 1000)+"\n", 4<<10) + "\n"
	const done = "data: [DONE]\n\n"
	tests := []struct{ name, head, body string }{
		{"head", "X-Large: " + strings.Repeat("v", 24<<10) + "\r\nConnection: close\r\n\r\n", "whole"},
		{"body", "Connection: close\r\n\r\n", strings.Repeat("0123456789\n", 3<<20)},
		{"event", "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", large + done},
		{"line", "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", "data: " + strings.Repeat("d", 4<<20) + "\n\n" + done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tt.head+tt.body)
			}()
			var got strings.Builder
			d := &proto.Dispatch{Method: "POST", Path: "/v1/completions", Request: "r-1"}
			err = NewHTTPUpstream(ln.Addr().String()).Do(d, time.Now().Add(5*time.Second), func(p *proto.Answer) error {
				got.Write(p.Data)
				return nil
			})
			if err != nil || got.String() != tt.body {
				t.Errorf("%v, %d bytes of %d", err, got.Len(), len(tt.body))
			}
		})
	}
}

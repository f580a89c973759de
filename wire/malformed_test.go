package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"geraniumpass/head"
)

// startPeer starts a process that accepts links until the test ends.
func startPeer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_ = Accept(ctx, Identity{ID: "agent", Role: RoleAgent}, []byte(testKey), func(*Link) { <-ended })
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		close(ended)
		_ = ln.Close()
	})
	return ln.Addr().String()
}

// startInserter returns an address that relays a connection to target and inserts lines after the first line that target
// sends.
func startInserter(t *testing.T, target, lines string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = client.Close() }()
		server, err := net.Dial("tcp4", target)
		if err != nil {
			return
		}
		defer func() { _ = server.Close() }()
		go func() { _, _ = io.Copy(server, client) }()
		in := bufio.NewReader(server)
		first, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(client, first+lines); err == nil {
			_, _ = io.Copy(client, in)
		}
	}()
	return ln.Addr().String()
}

// TestMalformedAnswerOpensNoLink guards against a link over a connection on which the answer to its opening isn't
// HTTP/1, so that something else than the peer has written to it.
func TestMalformedAnswerOpensNoLink(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		opens bool
	}{
		{"as sent", "", true},
		{"folded field", "X-Folded: a\r\n b\r\n", true},
		{"empty value", "X-Empty:\r\n", true},
		{"blank in a name", "X Blank: v\r\n", false},
		{"blank before the colon", "X-Blank : v\r\n", false},
		{"control byte in a name", "X\x01: v\r\n", false},
		{"control byte in a value", "X-V: a\x00b\r\n", false},
		{"no colon", "no colon\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := startInserter(t, startPeer(t), tt.lines)
			l, err := DialTimeout(2*time.Second, address, Identity{ID: "entry", Role: RoleEntry}, []byte(testKey))
			if err == nil {
				l.Close()
			}
			var malformed *head.MalformedError
			if (err == nil) != tt.opens || !tt.opens && !errors.As(err, &malformed) {
				t.Errorf("%v; want a link: %v", err, tt.opens)
			}
		})
	}
}

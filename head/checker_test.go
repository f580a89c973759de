package head

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readHeads reads raw as the response to one request, in pieces of n bytes.
func readHeads(raw string, n int) (string, error) {
	var pieces []io.Reader
	for rest := []byte(raw); len(rest) > 0; {
		size := min(n, len(rest))
		pieces = append(pieces, bytes.NewReader(rest[:size]))
		rest = rest[size:]
	}
	r := NewReader(io.MultiReader(pieces...))
	if err := r.Expect(nil); err != nil {
		return "", err
	}
	b, err := io.ReadAll(r)
	return string(b), err
}

// TestMalformedHeadsAreRejected guards against a malformed line that is passed on because of how its bytes arrive.
func TestMalformedHeadsAreRejected(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tt := range []struct{ before, line string }{
		{"", "HTTP/1.1 000 Status"},
		{"", "HTTP/1.1 099 Status"},
		{"", "HTTP/1.1 600 Status"},
		{"", "HTTP/1.1 101 Switching Protocols"},
		{"", "HTTP/2.0 200 OK"},
		{"", "HTTP/1.1 2000 OK"},
		{"", "HTTP/1.1 200 O\x00K"},
		{"", ""},
		{ok, "X Y: v"},
		{ok, "X : v"},
		{ok, "X\x00Y: v"},
		{ok, "X: a\x00b"},
		{ok, "X: a\rb"},
		{ok, "X"},
		{ok, ": v"},
		{ok, " X: v"},
		{ok + "X: v\r\n", " a\x7fb"},
		{"HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked"},
		{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 000 Status"},
	} {
		raw := tt.before + tt.line + "\r\nX-Rest: v\r\n\r\nbody"
		for _, n := range []int{1, 2, 7, len(raw)} {
			got, err := readHeads(raw, n)
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("%q in pieces of %d bytes: %v, want a *MalformedError", tt.line, n, err)
			}
			if want := tt.before + tt.line + "\r"; got != want {
				t.Errorf("%q in pieces of %d bytes: read %q, want %q", tt.line, n, got, want)
			}
		}
	}
}

// TestBodiesAreNotChecked guards against a body that is taken for a head.
func TestBodiesAreNotChecked(t *testing.T) {
	const body = "X Y: v\r\n\r\nHTTP/1.1 000 Status\r\n\x00\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
		"HTTP/1.0 404\r\nX:\r\n \tfolded\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 500 Failed\r\nX: \xff\r\n\r\n",
	} {
		for _, n := range []int{1, 2, 7, len(head + body)} {
			if got, err := readHeads(head+body, n); err != nil || got != head+body {
				t.Errorf("%q in pieces of %d bytes: %q, %v", head, n, got, err)
			}
		}
	}
}

// TestUpgradeEndsTheHead guards against the bytes of another protocol being checked as a head.
func TestUpgradeEndsTheHead(t *testing.T) {
	c := Checker{Upgrade: true}
	c.Begin()
	const raw = "HTTP/1.1 101 Switching Protocols\r\n\r\n\x81\x00\n\n"
	if n, err := c.Check([]byte(raw)); n != len(raw) || err != nil {
		t.Errorf("%d of %d bytes, %v", n, len(raw), err)
	}
}

// TestExpectForgetsTheLastHead guards against a reused connection on which a head is checked by what is left of the
// one before.
func TestExpectForgetsTheLastHead(t *testing.T) {
	r := NewReader(iotest.OneByteReader(strings.NewReader("HTTP/1.1 200 OK\r\nX: v\r\n\r\nbody")))
	for _, received := range []string{"HTTP/1.1 404 Not Found\r\nX: half a", "HTTP/1.1 20", ""} {
		if err := r.Expect([]byte(received)); err != nil {
			t.Fatal(err)
		}
	}
	if b, err := io.ReadAll(r); !strings.HasSuffix(string(b), "body") || err != nil {
		t.Errorf("%q, %v", b, err)
	}
}

// TestMalformedHeadIsTheLast guards against a connection that is read on after a malformed line, whose rest would be
// taken for the beginning of the next one.
func TestMalformedHeadIsTheLast(t *testing.T) {
	r := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"))
	if err := r.Expect([]byte("HTTP/1.1 103 Early Hints\r\n\r\n\n")); err == nil {
		t.Fatal("accepted an empty status line")
	}
	if n, err := r.Read(make([]byte, 100)); n > 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if err := r.Expect(nil); err == nil {
		t.Error("expects another head")
	}
}

// TestMinorVersionIsLowered guards against a response of a later HTTP/1 whose chunks are taken for its body by a library
// that knows two versions.
func TestMinorVersionIsLowered(t *testing.T) {
	for _, tt := range []struct{ version, want string }{
		{"HTTP/1.0", "HTTP/1.0"},
		{"HTTP/1.1", "HTTP/1.1"},
		{"HTTP/1.2", "HTTP/1.1"},
		{"HTTP/1.9", "HTTP/1.1"},
	} {
		const rest = " 200 OK\r\nX: HTTP/1.9\r\n\r\nHTTP/1.9"
		for _, n := range []int{1, 7, 8, 100} {
			if got, err := readHeads(tt.version+rest, n); err != nil || got != tt.want+rest {
				t.Errorf("%q in pieces of %d bytes: %q, %v", tt.version, n, got, err)
			}
		}
	}
}

package agent

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/proto"
	"geraniumpass/stand"
)

// upstreamCalls lists the calls to an upstream and a body of a sound response to each.
var upstreamCalls = []struct {
	name string
	body string
	do   func(u *HTTPUpstream) error
}{
	{"request", "whole", func(u *HTTPUpstream) error {
		body, err := readAnswer(u, "r-1")
		if err == nil && body != "whole" {
			return errs.Errorf("body %q", body)
		}
		return err
	}},
	{"health", "{}", func(u *HTTPUpstream) error { _, err := u.Leaving(); return err }},
	{"order", "{}", func(u *HTTPUpstream) error { _, err := u.Order([]byte("{}")); return err }},
}

// readAnswer sends a request to an upstream and returns the body of the answer.
func readAnswer(u *HTTPUpstream, id string) (string, error) {
	var body strings.Builder
	d := &proto.Dispatch{
		Method:  http.MethodPost,
		Path:    "/v1/completions",
		Request: id,
	}
	err := u.Do(d, time.Now().Add(time.Second), func(p *proto.Answer) error {
		body.Write(p.Data)
		return nil
	})
	return body.String(), err
}

func startRawUpstream(t *testing.T, keep bool, raw string) *stand.Raw {
	t.Helper()
	s, err := stand.StartRaw(keep, func(*http.Request) string { return raw })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// TestMalformedHeadOfAnUpstreamIsNoAnswer guards against a response that isn't HTTP/1 and is passed on as an answer,
// taken for that of a healthy upstream, or for the confirmation of an order.
func TestMalformedHeadOfAnUpstreamIsNoAnswer(t *testing.T) {
	for _, c := range upstreamCalls {
		for _, f := range stand.Framings() {
			for _, h := range stand.MalformedHeads("X-Field: v\r\n") {
				t.Run(c.name+"/"+f.Name+"/"+h.Name, func(t *testing.T) {
					s := startRawUpstream(t, false, h.Raw+f.Frame(c.body))
					err := c.do(NewHTTPUpstream(s.Address))
					if err == nil {
						t.Error("a malformed response was taken for an answer")
					}
					var lost *LostError
					if c.name == "request" && !errors.As(err, &lost) {
						t.Errorf("%v, want a *LostError", err)
					}
				})
			}
		}
	}
}

// TestUnusualHeadOfAnUpstreamIsAnAnswer guards against a check of heads that turns sound answers away.
func TestUnusualHeadOfAnUpstreamIsAnAnswer(t *testing.T) {
	for _, c := range upstreamCalls {
		for _, f := range stand.Framings() {
			for _, h := range stand.UnusualHeads("X-Field: v\r\n") {
				t.Run(c.name+"/"+f.Name+"/"+h.Name, func(t *testing.T) {
					s := startRawUpstream(t, false, h.Raw+f.Frame(c.body))
					if err := c.do(NewHTTPUpstream(s.Address)); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// TestConnectionIsReusedAfterSoundAnswers guards against a check of heads that takes a body or the next answer on a
// connection for a malformed head.
func TestConnectionIsReusedAfterSoundAnswers(t *testing.T) {
	const body = "HTTP/1.1 000 Status\r\nX Blank: v\r\n\r\n"
	s := startRawUpstream(t, true, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"+stand.WithLength(body))
	u := NewHTTPUpstream(s.Address)
	for range 5 {
		if got, err := readAnswer(u, "r-1"); err != nil || got != body {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if s.Requests() != 5 || s.Conns() != 1 {
		t.Errorf("%d requests on %d connections, want 5 on 1", s.Requests(), s.Conns())
	}
}

// TestMalformedHeadIsNamed guards against a log that doesn't say what was wrong with an answer, or that passes on bytes
// of an upstream to the terminal of an operator, or as many as the upstream likes.
func TestMalformedHeadIsNamed(t *testing.T) {
	const maxErrorBytes = 300
	long := strings.Repeat("v", 20000)
	for _, tt := range []struct{ raw, want string }{
		{"HTTP/1.1 000 Status\r\n\r\n", "000"},
		{"HTTP/1.1\r\n\r\n", "status line"},
		{"HTTP/1.1\x1b[2J" + long + "\r\n\r\n", "status line"},
		{"HTTP/1.1 200 OK\r\nX Blank: v\r\n\r\n", "X Blank"},
		{"HTTP/1.1 200 OK\r\nX\x1b[2J" + long + ": v\r\n\r\n", "field name"},
		{"HTTP/1.1 200 OK\r\nX-V: \x1b[2J\x9b\u202e" + long + "\r\n\r\n", "X-V"},
	} {
		// The connection stays open, so that an upstream that is waited for fails with a timeout.
		s := startRawUpstream(t, true, tt.raw)
		_, err := readAnswer(NewHTTPUpstream(s.Address), "r-1")
		if err == nil || !strings.Contains(err.Error(), tt.want) || len(err.Error()) > maxErrorBytes {
			t.Errorf("%.40q: %.400q, want %q", tt.raw, err, tt.want)
			continue
		}
		if i := strings.IndexFunc(err.Error(), func(c rune) bool { return c < ' ' || c > '~' }); i >= 0 {
			t.Errorf("byte %d of %q isn't printable", i, err)
		}
	}
}

// TestTruncatedHeadOfAnUpstreamIsNoAnswer guards against a response that breaks off within its head and is taken for a
// whole one.
func TestTruncatedHeadOfAnUpstreamIsNoAnswer(t *testing.T) {
	const raw = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Field: v\r\nContent-Length: 2\r\n\r\n"
	for _, c := range upstreamCalls {
		for n := range len(raw) {
			s := startRawUpstream(t, false, raw[:n])
			if err := c.do(NewHTTPUpstream(s.Address)); err == nil {
				t.Errorf("%s: %d bytes of a response were taken for an answer", c.name, n)
			}
		}
	}
}

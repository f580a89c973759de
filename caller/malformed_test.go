package caller

import (
	"net/http"
	"testing"

	"geraniumpass/stand"
)

// TestMalformedAnswerIsNotWhole guards against a caller that verifies answers and takes one that isn't HTTP/1 for whole.
func TestMalformedAnswerIsNotWhole(t *testing.T) {
	const echo = `{"probe":"p-1","method":"GET","path":"/x"}`
	heads := append(stand.MalformedHeads("Content-Type: application/json\r\n"), stand.Head{Raw: "HTTP/1.1 200 OK\r\n"})
	for _, h := range heads {
		for _, f := range stand.Framings() {
			s, err := stand.StartRaw(false, func(*http.Request) string { return h.Raw + f.Frame(echo) })
			if err != nil {
				t.Fatal(err)
			}
			c := &Caller{Entry: s.Address}
			got := c.Plain(http.MethodGet, "svc", "/x", nil, "p-1", "")
			if want := h.Name == ""; (got.Verdict == Whole) != want {
				t.Errorf("%q, %s: %+v; want it whole: %v", h.Raw, f.Name, got, want)
			}
			_ = s.Close()
		}
	}
}

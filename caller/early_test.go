package caller

import (
	"bytes"
	"net/http"
	"testing"

	"geraniumpass/stand"
)

// TestCutEarlyAnswerIsNotWhole guards against a caller that verifies answers and takes one for whole that is reset before
// its end while the request is still being written.
func TestCutEarlyAnswerIsNotWhole(t *testing.T) {
	const uploadBytes = 512 << 10
	body := bytes.Repeat([]byte("u"), uploadBytes)
	for _, cut := range stand.CutResponses("Content-Type: application/octet-stream\r\n", "") {
		s, err := stand.StartEarly(stand.EndReset, func(*http.Request) (string, bool) { return cut.Raw, false })
		if err != nil {
			t.Fatal(err)
		}
		c := &Caller{Entry: s.Address}
		if got := c.Plain(http.MethodPost, "svc", "/x", body, "p-1", ""); got.Verdict != Lost {
			t.Errorf("%s: %+v, want it lost", cut.Name, got)
		}
		_ = s.Close()
	}
}

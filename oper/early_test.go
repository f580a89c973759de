package oper

import (
	"net/http"
	"strings"
	"testing"

	"geraniumpass/entry"
	"geraniumpass/stand"
)

// TestCutReplyIsNoConfirmation guards against an operator who is told that a change was accepted, because of a reply that
// is reset before its end while the change is still being sent.
func TestCutReplyIsNoConfirmation(t *testing.T) {
	const changeBytes = 512 << 10
	change := entry.ChangeRequest{ID: strings.Repeat("c", changeBytes)}
	for _, cut := range stand.CutResponses("X-Field: v\r\n", "{}") {
		s, err := stand.StartEarly(stand.EndReset, func(*http.Request) (string, bool) { return cut.Raw, false })
		if err != nil {
			t.Fatal(err)
		}
		if _, err := (&Client{Address: s.Address}).Change(change); err == nil {
			t.Errorf("%s: taken for a reply", cut.Name)
		}
		_ = s.Close()
	}
}

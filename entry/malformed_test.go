package entry

import (
	"context"
	"net/http"
	"testing"

	"geraniumpass/stand"
)

// readRawList reads the instance list of a server whose response is raw.
func readRawList(t *testing.T, raw string) (int, error) {
	t.Helper()
	s, err := stand.StartRaw(false, func(*http.Request) string { return raw })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	rows, err := (&HTTPLister{Address: s.Address}).List(context.Background())
	return len(rows), err
}

// TestMalformedInstanceListIsNotRead guards against an entry that drops its upstreams because a response that isn't HTTP/1
// was taken for an instance list.
func TestMalformedInstanceListIsNotRead(t *testing.T) {
	for _, f := range stand.Framings() {
		for _, h := range stand.MalformedHeads("X-Field: v\r\n") {
			if n, err := readRawList(t, h.Raw+f.Frame("[]")); err == nil {
				t.Errorf("%s, %s: read a list of %d instances", f.Name, h.Name, n)
			}
		}
	}
}

// TestUnusualInstanceListIsRead guards against a check of heads that turns sound lists away.
func TestUnusualInstanceListIsRead(t *testing.T) {
	for _, f := range stand.Framings() {
		for _, h := range stand.UnusualHeads("X-Field: v\r\n") {
			if n, err := readRawList(t, h.Raw+f.Frame(`[{"id":"u-1"}]`)); n != 1 || err != nil {
				t.Errorf("%s, %s: %d instances, %v", f.Name, h.Name, n, err)
			}
		}
	}
}

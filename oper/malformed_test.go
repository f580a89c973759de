package oper

import (
	"context"
	"net/http"
	"testing"

	"geraniumpass/entry"
	"geraniumpass/stand"
)

// operatorCalls lists the calls of the operator's commands, with the body of a sound reply.
var operatorCalls = []struct {
	name string
	body string
	do   func(address string) error
}{
	{"config", "{}", func(address string) error { _, err := (&Client{Address: address}).Config(); return err }},
	{"status", "{}", func(address string) error { _, err := (&Client{Address: address}).Status(); return err }},
	{"audit", "[]", func(address string) error { _, err := (&Client{Address: address}).Audit(1); return err }},
	{"change", "{}", func(address string) error {
		_, err := (&Client{Address: address}).Change(entry.ChangeRequest{})
		return err
	}},
	{"gateway", "{}", func(address string) error { _, err := askStatus(context.Background(), address); return err }},
}

func callRaw(t *testing.T, raw string, do func(address string) error) error {
	t.Helper()
	s, err := stand.StartRaw(false, func(*http.Request) string { return raw })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	return do(s.Address)
}

// TestMalformedReplyIsNoConfirmation guards against an operator who is told that a change was accepted, or shown a
// configuration, because of a response that isn't HTTP/1.
func TestMalformedReplyIsNoConfirmation(t *testing.T) {
	for _, c := range operatorCalls {
		for _, f := range stand.Framings() {
			for _, h := range stand.MalformedHeads("X-Field: v\r\n") {
				if err := callRaw(t, h.Raw+f.Frame(c.body), c.do); err == nil {
					t.Errorf("%s, %s, %s: taken for a reply", c.name, f.Name, h.Name)
				}
			}
		}
	}
}

// TestUnusualReplyIsRead guards against a check of heads that turns sound replies away.
func TestUnusualReplyIsRead(t *testing.T) {
	for _, c := range operatorCalls {
		for _, f := range stand.Framings() {
			for _, h := range stand.UnusualHeads("X-Field: v\r\n") {
				if err := callRaw(t, h.Raw+f.Frame(c.body), c.do); err != nil {
					t.Errorf("%s, %s, %s: %v", c.name, f.Name, h.Name, err)
				}
			}
		}
	}
}

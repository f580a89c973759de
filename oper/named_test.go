package oper

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
	"geraniumpass/entry"
)

func TestNamedCommandsSendOneOp(t *testing.T) {
	var got entry.ChangeRequest
	mux := http.NewServeMux()
	mux.HandleFunc("GET /operator/config", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(config.Document{})
	})
	mux.HandleFunc("POST /operator/change", func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
			t.Error(err)
		}
		_ = json.NewEncoder(w).Encode(entry.ChangeReply{Accepted: true})
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	tests := []struct {
		command string
		kind    config.OpKind
	}{
		{
			command: "class remove",
			kind:    config.OpRemoveClass,
		},
		{
			command: "account remove",
			kind:    config.OpRemoveAccount,
		},
		{
			command: "group remove",
			kind:    config.OpRemoveGroup,
		},
		{
			command: "drain",
			kind:    config.OpDrain,
		},
		{
			command: "undrain",
			kind:    config.OpUndrain,
		},
	}
	for _, tt := range tests {
		t.Run(tt.command, func(t *testing.T) {
			got = entry.ChangeRequest{}
			app := kingpin.New("test", "")
			Register(app)
			words := append(strings.Fields(tt.command), "some-name")
			// A base other than the newest revision skips the preview, which would reject a name
			// that does not exist.
			if _, err := app.Parse(append([]string{"--entry", address, "--base", "9"}, words...)); err != nil {
				t.Fatal(err)
			}
			if len(got.Ops) != 1 || got.Ops[0].Kind != tt.kind || got.Ops[0].Name != "some-name" {
				t.Errorf("got %+v, want one %s of some-name", got.Ops, tt.kind)
			}
			if _, err := app.Parse(words[:len(words)-1]); err == nil {
				t.Error("got no error without a name, want one")
			}
		})
	}
}

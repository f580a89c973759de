package setup

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodAgent = `{
	// A comment, and a trailing comma.
	"role": "agent", "id": "a", "domain": "hall-a", "listen": "127.0.0.1:7300",
	"link_key": "0123456789abcdef",
	"upstream": {"service": "simdesk", "kind": "plain", "address": "127.0.0.1:8000",},
}`

func TestParseReportsAllFindings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{name: "good", text: goodAgent},
		{name: "not JSON", text: `{"role": `, want: []string{"(file)"}},
		{
			name: "many faults",
			text: `{"role": "agent", "id": 7, "domain": "hall-a", "listen": "localhost:7300", "link_key": "short",
				"upstreem": {}, "upstream": {"service": "simdesk", "kind": "other", "address": "127.0.0.1:99999"}}`,
			want: []string{"id", "link_key", "listen", "upstream.address", "upstream.kind", "upstreem"},
		},
		{
			name: "nothing given",
			text: `{}`,
			want: []string{"domain", "id", "link_key", "listen", "role", "upstream.address", "upstream.kind", "upstream.service"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Parse("agent.json", []byte(tt.text), &Agent{})
			var report *ValidationError
			var got []string
			if errors.As(err, &report) {
				for _, f := range report.Findings {
					got = append(got, f.Path)
					if f.Got == "" || f.Want == "" {
						t.Errorf("%s: got %q, want %q: both must be set", f.Path, f.Got, f.Want)
					}
				}
			} else if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("paths (-want +got):\n%s\n%v", diff, err)
			}
		})
	}
}

func TestDuration(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{
		{text: `"1.5s"`, ok: true},
		{text: `"0s"`, ok: true},
		{text: `"-1s"`},
		{text: `"soon"`},
		{text: `5`},
	}
	for _, tt := range tests {
		var d Duration
		if err := d.UnmarshalJSON([]byte(tt.text)); (err == nil) != tt.ok {
			t.Errorf("%s: got %v", tt.text, err)
		}
	}
}

// FuzzParse checks that no input makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodAgent))
	f.Add([]byte(`{"upstream": [1, {"a": null}], "log": 3}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_ = Parse("fuzz", text, &Agent{})
		_ = Parse("fuzz", text, &Entry{})
	})
}

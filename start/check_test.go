package start

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"geraniumpass/setup"
)

func TestExamplesAreValid(t *testing.T) {
	for _, role := range []string{"entry", "agent", "gateway", "sidecar"} {
		got, err := Check(filepath.Join("..", "examples", role+".json"))
		if err != nil || got != role {
			t.Errorf("%s: role %q, %v", role, got, err)
		}
	}
}

func TestCheckReportsInvalidField(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", `{"role": "gateway", "colour": "red"}`, "colour"},
		{"missing address", `{"role": "sidecar"}`, "listen"},
		{"ratio above one", `{"role": "gateway", "repeat": {"ratio": 2}}`, "ratio"},
		{"no such role", `{"role": "pilot"}`, "sidecar"},
		{"no JSON", `role = "gateway"`, "JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(file, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Check(file)
			var report *setup.ValidationError
			if !errors.As(err, &report) || !strings.Contains(report.Error(), tt.want) {
				t.Errorf("got %v, want a report that names %q", err, tt.want)
			}
		})
	}
}

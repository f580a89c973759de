package setup

import (
	"strings"
	"testing"
)

// TestAgentPort guards against settings whose port of the agents is found to be wrong only when links are
// dialed, and against dialing when none is set.
func TestAgentPort(t *testing.T) {
	tests := []struct {
		text  string
		valid bool
		has   bool
	}{
		{text: ``, valid: true},
		{text: `"agent_port": "",`, valid: true},
		{text: `"agent_port": "0",`, valid: true},
		{text: `"agent_port": "7340",`, valid: true, has: true},
		{text: `"agent_port": "65536",`},
		{text: `"agent_port": "-1",`},
		{text: `"agent_port": "7340,7355",`},
		{text: `"agent_port": 7340,`},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			cfg := &Gateway{}
			err := Parse("gateway.json", []byte(`{
				"role": "gateway", "id": "g", "domain": "a", "link_key": "0123456789abcdef", `+tt.text+`
				"listen": "127.0.0.1:1", "ready": "127.0.0.1:2", "control": "127.0.0.1:3", "store": "127.0.0.1:4"}`), cfg)
			if named := err != nil && strings.Contains(err.Error(), "agent_port"); named == tt.valid {
				t.Fatalf("got error %v", err)
			}
			if tt.valid && cfg.HasAgents() != tt.has {
				t.Errorf("has agents: %v, want %v", cfg.HasAgents(), tt.has)
			}
		})
	}
}

package start

import (
	"testing"
	"time"

	"geraniumpass/setup"
)

// TestPeerWait guards against a fleet that never starts because every gateway waits for another, and
// against a restarted one that is away for as long as a first start may take.
func TestPeerWait(t *testing.T) {
	const own, other = "10.1.0.40:8229", "10.2.0.29:8229"
	tests := []struct {
		name      string
		bootstrap bool
		seeds     []string
		want      time.Duration
	}{
		{"first start, no seeds", true, nil, 0},
		{"first start, a seed", true, []string{other, own}, 0},
		{"first start, not a seed", true, []string{other}, bootstrapPeerWait},
		{"restart, a seed", false, []string{other, own}, restartPeerWait},
		{"restart, not a seed", false, []string{other}, restartPeerWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := peerWait(&setup.Gateway{
				Bootstrap: tt.bootstrap,
				Control:   own,
				Seeds:     tt.seeds,
			})
			if got != tt.want {
				t.Errorf("waits %v, want %v", got, tt.want)
			}
		})
	}
}

package view

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// TestFirstStateComesFromPeers guards against a store that sends its whole state to each entry of a
// fleet that starts at once. Without a peer that has a state, the entry reads it after its wait.
func TestFirstStateComesFromPeers(t *testing.T) {
	tests := []struct {
		name  string
		peer  *Snapshot
		loads int
	}{
		{"a peer has a state", &Snapshot{Rev: 7, Table: table(1), Members: memberNames(3)}, 0},
		{"a peer has none", nil, 1},
		{"a peer has no table", &Snapshot{Rev: 7, Members: memberNames(3)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const wait = 300 * time.Millisecond
			src := &silentSource{}
			v := NewCache("front-9", clockwork.NewRealClock(), hclog.NewNullLogger())
			v.SetBound(wait)
			v.SetPeerWait(wait)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go v.Run(ctx, src)
			if tt.peer != nil {
				v.Adopt(tt.peer)
			}
			// The entry watches from the peer's revision, which nobody has confirmed yet.
			waitFor(t, "a watch", func() bool { return len(src.watches()) > 0 })
			src.mu.Lock()
			defer src.mu.Unlock()
			if src.loads != tt.loads {
				t.Errorf("%d full reads, want %d", src.loads, tt.loads)
			}
		})
	}
}

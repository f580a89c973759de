package view

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"

	"geraniumpass/store"
)

// revisionSource is a store that returns a state of the given revision and no changes after it.
type revisionSource struct {
	silentSource
	rev int64
}

func (s *revisionSource) Load(context.Context) (Change, error) {
	return Change{Rev: s.rev, Full: true}, nil
}

// TestReadsOfAnEarlierEraConfirmNothing guards against an entry that takes its state for the store's,
// and tells its peers so, because of an answer from before the store was restored. A late answer of
// the present era does confirm it.
func TestReadsOfAnEarlierEraConfirmNothing(t *testing.T) {
	tests := []struct {
		name      string
		rev       int64
		confirmed bool
	}{
		{"earlier era", store.Revision(1, 900), false},
		{"present era", store.Revision(2, 30), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			v := newRestoredCache(clockwork.NewRealClock())
			v.Apply(Change{Rev: store.Revision(2, 40), Full: true, Put: instancesOf(2, "i-1", "i-2")})
			src := &revisionSource{rev: tt.rev}
			go v.Run(ctx, src)
			waitFor(t, "the watch after the read", func() bool { return len(src.watches()) > 0 })
			if _, confirmed := v.Unconfirmed(); confirmed != tt.confirmed {
				t.Errorf("state confirmed: %v, want %v", confirmed, tt.confirmed)
			}
		})
	}
}

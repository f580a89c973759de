package group

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"geraniumpass/store"
	"geraniumpass/wire"
)

// restorableStore holds one key and can be restored from copies of itself.
type restorableStore struct {
	store.Store
	era    int64
	number int64
	data   []byte
	// modified is the number at which the key was written, zero if it doesn't exist.
	modified int64
	// beforeSwap is called before each swap.
	beforeSwap func()
}

func (s *restorableStore) Get(context.Context, string) (store.Value, error) {
	v := store.Value{Era: s.era}
	if s.modified > 0 {
		v.Data, v.Modified = s.data, store.Revision(s.era, s.modified)
	}
	return v, nil
}

func (s *restorableStore) Swap(_ context.Context, key string, data []byte, modified int64, _ store.Lease) (store.Value, error) {
	s.beforeSwap()
	if s.modified != store.NumberOf(modified) || modified != 0 && store.EraOf(modified) != s.era {
		return store.Value{}, &store.ConflictError{Key: key}
	}
	s.number++
	s.data, s.modified = data, s.number
	return store.Value{Data: data, Modified: store.Revision(s.era, s.number), Era: s.era}, nil
}

// restore replaces the content by that of a copy.
func (s *restorableStore) restore(c restorableStore) {
	s.number, s.data, s.modified = c.number, c.data, c.modified
	s.era++
}

// TestFencesRiseAcrossRestoredStores guards against two leaders with one fence, which could put two maps
// in use in a step, and against a leader that every rank refuses: the store gives its revisions out
// again after it was restored from a copy.
func TestFencesRiseAcrossRestoredStores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := &restorableStore{}
		kv.beforeSwap = func() {}
		copies := []restorableStore{*kv}
		last := int64(0)
		elect := func() (int64, error) {
			m := &Member{
				Agent: NewAgent(&stubEngine{}, clockwork.NewFakeClock(), hclog.NewNullLogger()),
				Store: kv,
				Own:   wire.Identity{ID: "side-1"},
			}
			m.knownFence = leaderFence(store.Value{Data: kv.data, Modified: kv.modified})
			return m.campaign(context.Background(), Report{})
		}
		restore := func(t *rapid.T) { kv.restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]) }
		t.Repeat(map[string]func(*rapid.T){
			"elect": func(t *rapid.T) {
				fence, err := elect()
				if err != nil || fence <= last {
					t.Fatalf("leader got fence %d after %d, %v", fence, last, err)
				}
				last = fence
			},
			"elect while the store is restored": func(t *rapid.T) {
				kv.beforeSwap = func() { restore(t) }
				fence, err := elect()
				kv.beforeSwap = func() {}
				if err == nil {
					t.Fatalf("leader got fence %d over a restored store", fence)
				}
			},
			"elect a leader of an older build": func(t *rapid.T) {
				v, _ := kv.Get(context.Background(), "")
				if _, err := kv.Swap(context.Background(), "", []byte("side-2"), v.Modified, 0); err != nil {
					t.Fatal(err)
				}
			},
			"write another key": func(*rapid.T) { kv.number++ },
			"copy":              func(*rapid.T) { copies = append(copies, *kv) },
			"restore":           restore,
		})
	})
}

package start

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/platform"
	"geraniumpass/platform/emul"
	"geraniumpass/view"
)

// TestMemberRegistersAgainAfterStoreRestore guards against entries that are missing from the member list
// for good, so that peers don't find them and shares of limits are cut for too few, because they wrote
// their entry once and the store was restored from a copy without it.
func TestMemberRegistersAgainAfterStoreRestore(t *testing.T) {
	const member = "gp/member/front-1"
	for _, returns := range []int{1, 2} {
		kv := emul.NewStore("127.0.0.1:0")
		if err := kv.Server.Start(); err != nil {
			t.Fatal(err)
		}
		defer kv.Close()
		log := hclog.NewNullLogger()
		source := platform.NewSource(platform.NewStore(kv.Server.Address()), log)
		cache := view.NewCache("front-1", clockwork.NewRealClock(), log)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		saved := kv.Copy()
		if err := source.Register(ctx, "front-1", "127.0.0.1:2"); err != nil {
			t.Fatal(err)
		}
		renew := func(ctx context.Context) {
			if err := source.Renew(ctx, "front-1", "127.0.0.1:2"); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		}
		go cache.Run(ctx, source)
		w := &rewriter{
			cache:  cache,
			log:    log,
			spread: time.Millisecond,
			tasks:  []func(ctx context.Context){renew},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx, source.Era())
		}()
		for range returns {
			kv.Restore(saved)
			deadline := time.Now().Add(10 * time.Second)
			for kv.Lookup(member) == nil {
				if time.Now().After(deadline) {
					t.Fatalf("not registered again after %d returns", returns)
				}
				<-time.After(time.Millisecond)
			}
		}
		cancel()
		<-done
	}
}

// TestMemberRegistersAgainAfterRestoreAtItsStart guards against an entry that is missing from the member list
// for good, because the store was restored between its first write and the wait for restorations, and a read
// for another purpose has learned of the new era in between.
func TestMemberRegistersAgainAfterRestoreAtItsStart(t *testing.T) {
	const member, address = "gp/member/front-1", "127.0.0.1:2"
	kv := emul.NewStore("127.0.0.1:0")
	if err := kv.Server.Start(); err != nil {
		t.Fatal(err)
	}
	defer kv.Close()
	log := hclog.NewNullLogger()
	source := platform.NewSource(platform.NewStore(kv.Server.Address()), log)
	cache := view.NewCache("front-1", clockwork.NewRealClock(), log)
	saved := kv.Copy()
	if err := source.Register(t.Context(), "front-1", address); err != nil {
		t.Fatal(err)
	}
	kv.Restore(saved)
	c, err := source.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	cache.Apply(c)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	w := &rewriter{
		cache:  cache,
		log:    log,
		spread: time.Millisecond,
		tasks: []func(ctx context.Context){func(ctx context.Context) {
			if err := source.Renew(ctx, "front-1", address); err != nil {
				t.Error(err)
			}
			cancel()
		}},
	}
	w.run(ctx, source.Era())
	if kv.Lookup(member) == nil {
		t.Error("not registered again")
	}
	if era := source.Era(); era != kv.Era() {
		t.Errorf("registered in era %d, want %d", era, kv.Era())
	}
}

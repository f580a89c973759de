package start

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/retry"
	"geraniumpass/view"
)

// rewriteSpread is the time over which the processes of a fleet spread what they write again.
const rewriteSpread = time.Second

// rewriter writes again what this process keeps in the store, each time the store was restored from a
// copy.
type rewriter struct {
	cache  *view.Cache
	log    hclog.Logger
	spread time.Duration
	tasks  []func(ctx context.Context)
}

// run writes after each restoration that follows a known era, until ctx ends.
func (w *rewriter) run(ctx context.Context, era int64) {
	for {
		next, err := w.cache.AwaitEra(ctx, era)
		if err != nil {
			return
		}
		era = next
		retry.Sleep(ctx, rand.N(w.spread))
		w.log.Info("writing again what this process keeps in the store", "era", era)
		for _, task := range w.tasks {
			task(ctx)
		}
	}
}

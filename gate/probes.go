package gate

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
)

const (
	// probeTimeout limits a probe. A refused connection is reported within two delays between
	// failure domains, and a caller whose request may fail over waits for the result.
	probeTimeout = 100 * time.Millisecond
	// probeTTL is how long a probe's result is shared with other requests, since the ranks of a
	// group lose theirs at the same moment. An instance that terminates within this time after it
	// was found alive is missed.
	probeTTL = 50 * time.Millisecond
	// maxDomainProbes is how many other instances of a failure domain are probed to check whether
	// the domain is reachable. Two of them may have terminated as well.
	maxDomainProbes = 3
)

// probes deduplicates the checks whether an incarnation has terminated, so that concurrent
// disconnects cause one check.
type probes struct {
	mu      sync.Mutex
	byStart map[core.Start]*probe
}

type probe struct {
	startedAt time.Time
	// done is closed once terminated and certain are set.
	done       chan struct{}
	terminated bool
	// certain is set if another instance of the failure domain was reachable or there was none to
	// probe.
	certain bool
}

func newProbes() *probes {
	return &probes{byStart: make(map[core.Start]*probe)}
}

// findOrStart returns the probe of an incarnation, and true if the caller has to run it.
func (p *probes) findOrStart(start core.Start, now time.Time) (*probe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.byStart[start]; ok && now.Sub(existing.startedAt) < probeTTL {
		return existing, false
	}
	fresh := &probe{
		startedAt: now,
		done:      make(chan struct{}),
	}
	p.byStart[start] = fresh
	return fresh, true
}

// evictExpired removes probes older than probeTTL.
func (p *probes) evictExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for start, existing := range p.byStart {
		if now.Sub(existing.startedAt) >= probeTTL {
			delete(p.byStart, start)
		}
	}
}

// hasTerminated reports whether connections to an instance are refused, which means that its process
// has terminated, and whether that is certain. A partition between failure domains may refuse
// connections too, but then no other instance of the domain is reachable either.
func (g *Gate) hasTerminated(in core.Instance) (terminated, certain bool) {
	p, owner := g.probes.findOrStart(in.Start(), g.clock.Now())
	if !owner {
		<-p.done
		return p.terminated, p.certain
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	p.terminated = g.pool.Refuses(ctx, targetOf(in))
	p.certain = p.terminated && g.isDomainReachable(ctx, in)
	close(p.done)
	return p.terminated, p.certain
}

// isDomainReachable reports whether another instance in the failure domain of in accepts
// connections. It returns true if there is no other instance to probe.
func (g *Gate) isDomainReachable(ctx context.Context, in core.Instance) bool {
	others := lo.Filter(g.view.Now().Instances, func(other core.Instance, _ int) bool {
		return other.Domain == in.Domain && other.Address != in.Address && !other.Leaving
	})
	probed := 0
	for offset := g.randomIntN(max(1, len(others))); probed < min(maxDomainProbes, len(others)); probed++ {
		if g.pool.Accepts(ctx, targetOf(others[(offset+probed)%len(others)])) {
			return true
		}
	}
	return probed == 0
}

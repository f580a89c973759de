package gate

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
)

const (
	// probeTime bounds the question whether an instance has ended: a refusal comes within two delays between failure domains, and a caller
	// whose request may go on elsewhere waits for it.
	probeTime = 100 * time.Millisecond
	// probeFresh is how long an answer to it holds for other requests, which a group of ranks loses at the same moment. An instance that ends
	// within that time after it was found alive is missed.
	probeFresh = 50 * time.Millisecond
	// othersAsked is how many other instances of a failure domain are asked whether it can be reached at all; two may have ended as well.
	othersAsked = 3
)

// probes remembers the questions whether starts of instances have ended, so that requests cut at the same moment ask once.
type probes struct {
	mu sync.Mutex
	by map[core.Start]*probe
}

type probe struct {
	asked time.Time
	// done is closed once ended is known.
	done  chan struct{}
	ended bool
	// sure is true when another instance of the failure domain was reached.
	sure bool
}

func newProbes() *probes {
	return &probes{by: make(map[core.Start]*probe)}
}

// find returns the probe of a start, and true when the caller has to make it.
func (p *probes) find(start core.Start, now time.Time) (*probe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.by[start]; ok && now.Sub(old.asked) < probeFresh {
		return old, false
	}
	made := &probe{
		asked: now,
		done:  make(chan struct{}),
	}
	p.by[start] = made
	return made, true
}

// forget drops probes that are older than their answers hold.
func (p *probes) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for start, old := range p.by {
		if now.Sub(old.asked) >= probeFresh {
			delete(p.by, start)
		}
	}
}

// hasEnded returns whether the process of an instance's start is found to have ended, as connections to it are refused, and whether that is
// sure: a cut between failure domains may refuse them too, and then no other instance of the domain accepts any.
func (g *Gate) hasEnded(in core.Instance) (ended, sure bool) {
	p, mine := g.probes.find(in.Start(), g.clock.Now())
	if !mine {
		<-p.done
		return p.ended, p.sure
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	p.ended = g.pool.Refuses(ctx, targetOf(in))
	p.sure = p.ended && g.reaches(ctx, in)
	close(p.done)
	return p.ended, p.sure
}

// reaches returns true when another instance of a failure domain accepts connections, or when there is none to ask.
func (g *Gate) reaches(ctx context.Context, in core.Instance) bool {
	others := lo.Filter(g.view.Now().Instances, func(other core.Instance, _ int) bool {
		return other.Domain == in.Domain && other.Address != in.Address && !other.Leaving
	})
	asked := 0
	for at := g.draw(max(1, len(others))); asked < min(othersAsked, len(others)); asked++ {
		if g.pool.Accepts(ctx, targetOf(others[(at+asked)%len(others)])) {
			return true
		}
	}
	return asked == 0
}

package gate

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/crash"
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

// isCut returns true for an error that tells of the connection's end at the other side, not of silence or of our own doing.
func isCut(err error) bool {
	var timeout net.Error
	var silent *SilentError
	switch {
	case err == nil, errors.As(err, &silent), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	var stray *StrayError
	var long *LongError
	return !errors.As(err, &stray) && !errors.As(err, &long)
}

// noteCut looks whether the instance ended with the connection that it cut, and counts that against the request. An instance that was leaving
// ends as planned, and the connections at the other ranks of a broken group are cut while their instances live.
func (r *request) noteCut(in core.Instance) {
	row, listed := r.g.view.Now().Instance(in.ID)
	if !listed || row.Leaving {
		return
	}
	ended, sure := true, true
	if row.Start() == in.Start() {
		ended, sure = r.g.hasEnded(in)
	}
	if ended {
		r.g.ends.Ended(r.fingerprint(), r.account, in.Start(), sure)
	}
	r.g.log.Info("cut by its instance", "id", r.call.ID, "digest", r.fingerprint().String(), "account", r.account,
		"instance", in.ID, "born", in.Born, "ended", ended)
}

// endsInstances returns true for a request that must not be sent any more. Its callers send the same one again, at any entry, and each instance
// that begins it ends and breaks its group, so that nobody else is served either for as long as it comes.
func (r *request) endsInstances() bool {
	return r.g.ends.Refuses(r.fingerprint())
}

// fingerprint returns the digest by which the request is known when it comes again.
func (r *request) fingerprint() crash.Digest {
	if !r.hashed {
		caller := r.account
		if caller == "" {
			caller = r.call.Key
		}
		r.digest = r.g.hasher.Digest(crash.Request{
			Method:  r.in.Method,
			Host:    r.in.Host,
			URI:     r.in.RequestURI,
			Account: caller,
			Body:    r.body,
		})
		r.hashed = true
	}
	return r.digest
}

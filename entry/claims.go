package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs/v2"

	"geraniumpass/core"
	"geraniumpass/retry"
	"geraniumpass/store"
)

const (
	claimPrefix = "geraniumpass/claims/"
	// claimTime bounds how long a request waits for its claim to be settled.
	claimTime  = 3 * time.Second
	claimPause = 50 * time.Millisecond
	claimMoves = 3
)

// home is the content of a claim: the one agent incarnation where the request may run.
type home struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Digest      uint64 `json:"digest"`
	Nonce       uint64 `json:"nonce"`
}

// heldClaim is a home with the revision under which it was read.
type heldClaim struct {
	home
	modified int64
}

// claims makes and reads claims in the key-value service.
type claims struct {
	store     store.Store
	clock     clockwork.Clock
	retention time.Duration

	mu    sync.Mutex
	lease store.Lease
	rolls time.Time
}

func newClaims(st store.Store, clock clockwork.Clock, retention time.Duration) *claims {
	return &claims{
		store:     st,
		clock:     clock,
		retention: retention,
	}
}

// keepFor is how long an agent must remember a claim: longer than the service does.
func (c *claims) keepFor() time.Duration {
	return 2 * c.retention
}

// window returns the lease for claims made now. It is never renewed, and nobody's death shortens it: it simply outlives the retention.
func (c *claims) window(ctx context.Context) (store.Lease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.lease != 0 && now.Before(c.rolls) {
		return c.lease, nil
	}
	l, err := c.store.Grant(ctx, c.retention*3/2)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	c.lease = l
	c.rolls = now.Add(c.retention / 2)
	return l, nil
}

// forgetWindow makes the next claim open a new lease, after one was refused.
func (c *claims) forgetWindow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = 0
}

// make writes a claim over what stood at revision modified, or returns the claim of whoever was first.
// A lost answer is settled by reading the claim back and by repeating the same conditional write.
func (c *claims) make(ctx context.Context, key string, h home, modified int64) (heldClaim, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return heldClaim{}, errs.Wrap(err)
	}
	for {
		lease, err := c.window(ctx)
		if err == nil {
			var v store.Value
			v, err = c.store.Swap(ctx, key, data, modified, lease)
			if err == nil {
				return heldClaim{
					home:     h,
					modified: v.Modified,
				}, nil
			}
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return c.conflict(conflict)
		}
		var unsure *store.UnknownOutcomeError
		if !errors.As(err, &unsure) {
			c.forgetWindow()
			return heldClaim{}, err
		}
		select {
		case <-ctx.Done():
			return heldClaim{}, err
		case <-c.clock.After(claimPause):
		}
	}
}

func (c *claims) conflict(conflict *store.ConflictError) (heldClaim, error) {
	if conflict.Current.Modified == 0 {
		return heldClaim{}, conflict
	}
	held := heldClaim{modified: conflict.Current.Modified}
	return held, errs.Wrap(json.Unmarshal(conflict.Current.Data, &held.home))
}

func claimKey(account, key string) string {
	return claimPrefix + account + "/" + key
}

// digest tells a repeat of a request from another request under the same key.
func digest(r *request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.service + "\x00" + r.method + "\x00" + r.path + "\x00")
	_, _ = d.Write(r.body)
	return d.Sum64()
}

// serveClaimed runs a keyed request that may not run twice at the one home that its claim names.
func (e *Entry) serveClaimed(r *request, out sink) error {
	ctx, cancel := context.WithDeadline(e.ctx, minTime(r.deadline, e.clock.Now().Add(claimTime)))
	defer cancel()
	key := claimKey(r.account, r.key)
	held, err := e.claim(ctx, r, key, 0)
	for move := 0; err == nil; move++ {
		if held.Digest != digest(r) {
			return core.NotRun(core.ReasonKeyReused, "the Idempotency-Key was used for another request")
		}
		res := e.tryHome(r, key, held, out)
		switch {
		case res.outcome == attemptWhole:
			return nil
		case res.outcome == attemptEnded:
			return res.err
		case res.reason == core.ReasonOtherIncarnation:
			return core.Unknown(core.ReasonClaimHolderLost, "the agent that held this key was restarted; whether the request ran can't be known")
		case res.outcome == attemptLost:
			return core.Unknown(res.reason, "the upstream was lost while the request may have been running")
		case move >= claimMoves || res.reason == core.ReasonKeyReused:
			return e.giveUp(r, res)
		case !res.movable:
			// This attempt did not run, but another one of the same claim still may, there and nowhere else.
			continue
		}
		// The home closed the claim for good, so that it may move; whoever moved it first is followed.
		r.tried[held.Agent] = true
		moveCtx, done := context.WithDeadline(e.ctx, minTime(r.deadline, e.clock.Now().Add(claimTime)))
		held, err = e.claim(moveCtx, r, key, held.modified)
		done()
	}
	return e.unclaimed(err)
}

func (e *Entry) unclaimed(err error) error {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	e.log.Warn("claim not checked", "error", err)
	refusal = core.Unknown(core.ReasonClaimUnchecked, "whether this key has run already can't be checked now; repeating with the same key is safe")
	refusal.RetryAfter = retry.After(0, random())
	return refusal
}

// claim names a home for the request unless it has one, and returns the home that stands.
func (e *Entry) claim(ctx context.Context, r *request, key string, modified int64) (heldClaim, error) {
	p, err := e.pick(r)
	if err != nil {
		return e.readClaim(ctx, key, err)
	}
	p.mu.Lock()
	h := home{
		Agent:       p.id,
		Incarnation: p.incarnation,
		Digest:      digest(r),
		Nonce:       random().Uint64(),
	}
	p.mu.Unlock()
	return e.claims.make(ctx, key, h, modified)
}

// readClaim finds the home of a repeat although no upstream would be picked for a new request.
func (e *Entry) readClaim(ctx context.Context, key string, why error) (heldClaim, error) {
	v, err := e.store.Get(ctx, key)
	if err != nil {
		return heldClaim{}, err
	}
	if v.Modified == 0 {
		return heldClaim{}, why
	}
	held := heldClaim{modified: v.Modified}
	return held, errs.Wrap(json.Unmarshal(v.Data, &held.home))
}

// tryHome makes the attempt at the claim's home, waiting for its link where it is down.
func (e *Entry) tryHome(r *request, key string, held heldClaim, out sink) attemptResult {
	p := e.peers.reach(held.Agent)
	end := minTime(r.deadline, e.clock.Now().Add(resumePatience))
	for p != nil && !p.up() && e.clock.Now().Before(end) {
		e.clock.Sleep(claimPause)
	}
	if p == nil || !p.up() {
		return attemptResult{
			outcome: attemptLost,
			reason:  core.ReasonClaimHolderLost,
		}
	}
	d := r.dispatch(e.clock.Now(), e.sinceStart())
	d.Incarnation = held.Incarnation
	d.ClaimKey = key
	d.ClaimDigest = held.Digest
	d.ClaimFor = e.claims.keepFor()
	res := e.try(r, p, d, out)
	if res.outcome == attemptNotRun && res.reason == core.ReasonNoUpstream {
		// The link went down before the dispatch: the home has said nothing of the claim.
		res.outcome = attemptLost
	}
	return res
}

func (p *peer) up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

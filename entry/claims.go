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
	// claimTimeout bounds how long a request waits for its claim to be resolved.
	claimTimeout    = 3 * time.Second
	claimRetryDelay = 50 * time.Millisecond
	maxClaimMoves   = 3
)

// claimOwner is the stored content of a claim: the one agent incarnation that may run the request.
type claimOwner struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Digest      uint64 `json:"digest"`
	Nonce       uint64 `json:"nonce"`
}

// heldClaim is a claim with the key's modification revision.
type heldClaim struct {
	claimOwner
	modified int64
}

// claims acquires claims in the key-value service.
type claims struct {
	store     store.Store
	clock     clockwork.Clock
	retention time.Duration

	mu       sync.Mutex
	lease    store.Lease
	rotateAt time.Time
}

func newClaims(st store.Store, clock clockwork.Clock, retention time.Duration) *claims {
	return &claims{
		store:     st,
		clock:     clock,
		retention: retention,
	}
}

// agentRetention returns how long an agent must keep a claim, which is longer than the key-value
// service keeps it.
func (c *claims) agentRetention() time.Duration {
	return 2 * c.retention
}

// currentLease returns the lease for new claims. The lease is never renewed and outlives this
// process: its TTL exceeds the retention.
func (c *claims) currentLease(ctx context.Context) (store.Lease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.lease != 0 && now.Before(c.rotateAt) {
		return c.lease, nil
	}
	l, err := c.store.Grant(ctx, c.retention*3/2)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	c.lease = l
	c.rotateAt = now.Add(c.retention / 2)
	return l, nil
}

// dropLease makes the next claim use a new lease. It is called after any write of a claim that
// definitely failed, because the cause may be a rejected lease.
func (c *claims) dropLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = 0
}

// acquire writes a claim over revision modified, or returns the claim that another writer committed
// first. If the reply is lost it repeats the same conditional write; a conflict then yields the
// stored claim.
func (c *claims) acquire(ctx context.Context, key string, h claimOwner, modified int64) (heldClaim, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return heldClaim{}, errs.Wrap(err)
	}
	for {
		lease, err := c.currentLease(ctx)
		if err == nil {
			var v store.Value
			v, err = c.store.Swap(ctx, key, data, modified, lease)
			if err == nil {
				return heldClaim{
					claimOwner: h,
					modified:   v.Modified,
				}, nil
			}
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return c.conflictingClaim(conflict)
		}
		var unsure *store.UnknownOutcomeError
		if !errors.As(err, &unsure) {
			c.dropLease()
			return heldClaim{}, err
		}
		select {
		case <-ctx.Done():
			return heldClaim{}, err
		case <-c.clock.After(claimRetryDelay):
		}
	}
}

func (c *claims) conflictingClaim(conflict *store.ConflictError) (heldClaim, error) {
	if conflict.Current.Modified == 0 {
		return heldClaim{}, conflict
	}
	held := heldClaim{modified: conflict.Current.Modified}
	return held, errs.Wrap(json.Unmarshal(conflict.Current.Data, &held.claimOwner))
}

func claimKey(account, key string) string {
	return claimPrefix + account + "/" + key
}

// requestDigest distinguishes a retry of a request from a different request with the same key.
func requestDigest(r *request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.service + "\x00" + r.method + "\x00" + r.path + "\x00")
	_, _ = d.Write(r.body)
	return d.Sum64()
}

// serveClaimed runs a keyed non-idempotent request on the owner of its claim, so that it runs at
// most once.
func (e *Entry) serveClaimed(r *request, out sink) error {
	ctx, cancel := context.WithDeadline(e.ctx, earlier(r.deadline, e.clock.Now().Add(claimTimeout)))
	defer cancel()
	key := claimKey(r.account, r.key)
	held, err := e.acquireClaim(ctx, r, key, 0)
	for move := 0; err == nil; move++ {
		if held.Digest != requestDigest(r) {
			return core.NotRun(core.ReasonKeyReused, "the Idempotency-Key was used for another request")
		}
		res := e.tryOwner(r, key, held, out)
		switch {
		case res.outcome == attemptComplete:
			return nil
		case res.outcome == attemptTerminal:
			return res.err
		case res.reason == core.ReasonOtherIncarnation:
			return core.Unknown(core.ReasonClaimHolderLost, "the agent that held this key was restarted; whether the request ran can't be known")
		case res.outcome == attemptLost:
			return core.Unknown(res.reason, "the upstream was lost while the request may have been running")
		case move >= maxClaimMoves || res.reason == core.ReasonKeyReused:
			return e.exhausted(r, res)
		case !res.claimClosed:
			// This attempt did not run, but another attempt under the same claim may still run on
			// this owner.
			continue
		}
		// The owner closed the claim permanently, so it can move. If another entry moves it first,
		// that entry's choice is used.
		r.tried[held.Agent] = true
		moveCtx, done := context.WithDeadline(e.ctx, earlier(r.deadline, e.clock.Now().Add(claimTimeout)))
		held, err = e.acquireClaim(moveCtx, r, key, held.modified)
		done()
	}
	return e.claimRefusal(err)
}

func (e *Entry) claimRefusal(err error) error {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	e.log.Warn("claim could not be acquired or read", "error", err)
	refusal = core.Unknown(core.ReasonClaimUnchecked, "whether this key has run already can't be checked now; repeating with the same key is safe")
	refusal.RetryAfter = retry.After(0, newRand())
	return refusal
}

// acquireClaim picks an owner for the request and returns the claim in effect, which may name
// another owner.
func (e *Entry) acquireClaim(ctx context.Context, r *request, key string, modified int64) (heldClaim, error) {
	p, err := e.pick(r)
	if err != nil {
		return e.readClaim(ctx, key, err)
	}
	p.mu.Lock()
	h := claimOwner{
		Agent:       p.id,
		Incarnation: p.incarnation,
		Digest:      requestDigest(r),
		Nonce:       newRand().Uint64(),
	}
	p.mu.Unlock()
	return e.claims.acquire(ctx, key, h, modified)
}

// readClaim looks up the claim of a retry when no upstream is available for a new request.
func (e *Entry) readClaim(ctx context.Context, key string, pickErr error) (heldClaim, error) {
	v, err := e.store.Get(ctx, key)
	if err != nil {
		return heldClaim{}, err
	}
	if v.Modified == 0 {
		return heldClaim{}, pickErr
	}
	held := heldClaim{modified: v.Modified}
	return held, errs.Wrap(json.Unmarshal(v.Data, &held.claimOwner))
}

// tryOwner makes an attempt at the claim's owner, waiting up to resumeTimeout for its link.
func (e *Entry) tryOwner(r *request, key string, held heldClaim, out sink) attemptResult {
	p := e.peers.connect(held.Agent)
	end := earlier(r.deadline, e.clock.Now().Add(resumeTimeout))
	for p != nil && !p.linked() && e.clock.Now().Before(end) {
		e.clock.Sleep(claimRetryDelay)
	}
	if p == nil || !p.linked() {
		return attemptResult{
			outcome: attemptLost,
			reason:  core.ReasonClaimHolderLost,
		}
	}
	d := r.dispatch(e.clock.Now(), e.sinceStart())
	d.Incarnation = held.Incarnation
	d.ClaimKey = key
	d.ClaimDigest = held.Digest
	d.ClaimRetention = e.claims.agentRetention()
	res := e.try(r, p, d, out)
	if res.outcome == attemptNotRun && res.reason == core.ReasonNoUpstream {
		// The link went down before the dispatch, so the state of the claim at its owner is
		// unknown.
		res.outcome = attemptLost
	}
	return res
}

func (p *peer) linked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

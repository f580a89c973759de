package ledger

import (
	"github.com/cespare/xxhash/v2"

	"geraniumpass/core"
)

func (l *Ledger) offerClaim(o Offer) Verdict {
	cs := l.claimShard(o.ClaimKey)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c, ok := cs.claims[o.ClaimKey]
	if !ok {
		cs.claims[o.ClaimKey] = &claim{
			digest:  o.ClaimDigest,
			holder:  o.Key,
			expires: l.clock.Now().Add(o.ClaimRetention),
		}
		return Verdict{Action: ActionQueue}
	}
	if c.digest != o.ClaimDigest {
		return refusal(core.ReasonKeyReused)
	}
	if c.refused {
		return refusal(core.ReasonClaimMoved)
	}
	return Verdict{
		Action: ActionAttach,
		Holder: c.holder,
	}
}

func (l *Ledger) startClaim(claimKey string, k Key) bool {
	cs := l.claimShard(claimKey)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c, ok := cs.claims[claimKey]
	if !ok || c.holder != k || c.ran || c.refused {
		return false
	}
	c.ran = true
	return true
}

// refuseClaim permanently refuses a claim whose holder never ran, so that the claim may move to
// another agent.
func (l *Ledger) refuseClaim(claimKey string, k Key) {
	if claimKey == "" {
		return
	}
	cs := l.claimShard(claimKey)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c, ok := cs.claims[claimKey]; ok && c.holder == k && !c.ran {
		c.refused = true
	}
}

// ClaimClosed reports whether the claim was permanently refused here without having run.
func (l *Ledger) ClaimClosed(claimKey string) bool {
	if claimKey == "" {
		return false
	}
	cs := l.claimShard(claimKey)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c, ok := cs.claims[claimKey]
	return ok && c.refused && !c.ran
}

func (l *Ledger) claimShard(key string) *claimShard {
	return &l.claims[xxhash.Sum64String(key)%shardCount]
}

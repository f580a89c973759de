package gate

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/quota"
)

// permit is the right to send one request to an instance under its advertised limit and under its
// allowance while it is cold. The zero value belongs to an instance with neither.
type permit struct {
	limit quota.Permit
	cold  quota.Permit
}

// acquire takes the tokens for one request; it reports false if none may be sent now.
func (g *Gate) acquire(start core.Start, fleet quota.Fleet, now time.Time) (p permit, ok bool) {
	if p.limit, ok = g.quotas.Acquire(start, fleet); !ok {
		return permit{}, false
	}
	if p.cold, ok = g.cold.quotas.Acquire(start, fleet); !ok {
		p.limit.Cancel(now)
		return permit{}, false
	}
	return p, true
}

// Cancel puts back the tokens of a request that was not sent.
func (p permit) Cancel(now time.Time) {
	p.limit.Cancel(now)
	p.cold.Cancel(now)
}

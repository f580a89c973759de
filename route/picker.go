package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherDomainMinSaving is the predicted saving from which a request leaves its own failure
	// domain.
	otherDomainMinSaving = 20 * time.Millisecond
	// affinityLoadFactor bounds the load of the upstream preferred for a prefix, as a multiple of
	// the mean load; affinityLoadSlack is added to the bound, in units of slackUnit.
	affinityLoadFactor = 1.25
	affinityLoadSlack  = 2.0
)

// Picker picks upstreams; it is not safe for concurrent use.
type Picker struct {
	Domain string
	Random *rand.Rand
}

// Request holds the properties of a request that a pick depends on.
type Request struct {
	// LatencyTarget is the latency target of the request's class.
	LatencyTarget time.Duration
	// Prefix is a hash of the beginning of the prompt, or zero if there is none.
	Prefix uint64
}

// Choice is the picked upstream and its predicted wait.
type Choice struct {
	Index int
	Wait  time.Duration
}

// Pick returns the better of two random candidates of the own failure domain, or one of another
// domain if it saves enough. It reports false if there are no candidates.
func (p *Picker) Pick(candidates []Candidate, r Request) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if c, ok := p.pickByPrefix(candidates, r); ok {
		return c, true
	}
	home, away := p.splitByDomain(candidates)
	if len(home) == 0 {
		return p.pickOfTwo(candidates, away, r), true
	}
	best := p.pickOfTwo(candidates, home, r)
	if len(away) == 0 || best.Wait < otherDomainMinSaving {
		return best, true
	}
	if other := p.pickOfTwo(candidates, away, r); other.Wait+otherDomainMinSaving < best.Wait {
		return other, true
	}
	return best, true
}

func (p *Picker) splitByDomain(candidates []Candidate) (home, away []int) {
	for i := range candidates {
		if candidates[i].Domain == p.Domain {
			home = append(home, i)
		} else {
			away = append(away, i)
		}
	}
	return home, away
}

// pickOfTwo draws two random candidates and returns the one with the shorter predicted wait, or on
// a tie the one with less load.
func (p *Picker) pickOfTwo(candidates []Candidate, among []int, r Request) Choice {
	i := among[p.Random.IntN(len(among))]
	j := among[p.Random.IntN(len(among))]
	if j == i && len(among) > 1 {
		j = among[(indexOf(among, i)+1)%len(among)]
	}
	a, b := &candidates[i], &candidates[j]
	wa, wb := a.Wait(r.LatencyTarget), b.Wait(r.LatencyTarget)
	if wb < wa || wb == wa && b.load(r.LatencyTarget) < a.load(r.LatencyTarget) {
		return Choice{
			Index: j,
			Wait:  wb,
		}
	}
	return Choice{
		Index: i,
		Wait:  wa,
	}
}

// pickByPrefix returns the candidate of the own failure domain that rendezvous hashing selects for
// the prefix, unless its load is too far above the mean or its predicted wait reaches half of the
// latency target.
func (p *Picker) pickByPrefix(candidates []Candidate, r Request) (Choice, bool) {
	if r.Prefix == 0 {
		return Choice{}, false
	}
	sum, best := 0.0, -1
	var top uint64
	for i := range candidates {
		c := &candidates[i]
		sum += c.load(r.LatencyTarget)
		if c.Domain != p.Domain {
			continue
		}
		if h := RendezvousWeight(c.ID, r.Prefix); best < 0 || h > top {
			best, top = i, h
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	mean := sum / float64(len(candidates))
	c := &candidates[best]
	if c.load(r.LatencyTarget) > affinityLoadFactor*mean+affinityLoadSlack*slackUnit(candidates) {
		return Choice{}, false
	}
	wait := c.Wait(r.LatencyTarget)
	return Choice{
		Index: best,
		Wait:  wait,
	}, wait < r.LatencyTarget/2
}

// slackUnit returns the cost that the first candidate serves within otherDomainMinSaving, at least
// 1. It keeps the affinity bound meaningful while almost nothing is in flight.
func slackUnit(candidates []Candidate) float64 {
	return max(1, candidates[0].DrainRate*otherDomainMinSaving.Seconds())
}

// RendezvousWeight returns the rendezvous-hashing weight of an ID for a key. The ID with the
// largest weight owns the key; removing an ID does not change the order of the others.
func RendezvousWeight(id string, key uint64) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

func indexOf(list []int, v int) int {
	for i, x := range list {
		if x == v {
			return i
		}
	}
	return 0
}

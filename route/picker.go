package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spillGain is the predicted saving that sends a request out of its own failure domain.
	spillGain = 20 * time.Millisecond
	// affinityBound is how much more than the mean load the upstream preferred for a prefix may carry.
	affinityBound = 1.25
	affinityFloor = 2.0
)

// Picker picks upstreams; it is not safe for use by several goroutines.
type Picker struct {
	Domain string
	Random *rand.Rand
}

// Request is what a pick depends on.
type Request struct {
	// Within is the time that the class's target allows.
	Within time.Duration
	// Prefix is a hash of the prompt's beginning, zero when there is none.
	Prefix uint64
}

// Choice is the upstream picked and the wait predicted there.
type Choice struct {
	Index int
	Wait  time.Duration
}

// Pick returns the best of two random candidates of the own failure domain, or one of elsewhere that saves enough; ok is false when there are none.
func (p *Picker) Pick(candidates []Candidate, r Request) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if c, ok := p.affine(candidates, r); ok {
		return c, true
	}
	home, away := p.split(candidates)
	if len(home) == 0 {
		return p.two(candidates, away, r), true
	}
	best := p.two(candidates, home, r)
	if len(away) == 0 || best.Wait < spillGain {
		return best, true
	}
	if other := p.two(candidates, away, r); other.Wait+spillGain < best.Wait {
		return other, true
	}
	return best, true
}

func (p *Picker) split(candidates []Candidate) (home, away []int) {
	for i := range candidates {
		if candidates[i].Domain == p.Domain {
			home = append(home, i)
		} else {
			away = append(away, i)
		}
	}
	return home, away
}

// two draws two candidates and keeps the one with the shorter predicted wait, then the one with less of this entry's own work.
func (p *Picker) two(candidates []Candidate, among []int, r Request) Choice {
	i := among[p.Random.IntN(len(among))]
	j := among[p.Random.IntN(len(among))]
	if j == i && len(among) > 1 {
		j = among[(indexOf(among, i)+1)%len(among)]
	}
	a, b := &candidates[i], &candidates[j]
	wa, wb := a.Wait(r.Within), b.Wait(r.Within)
	if wb < wa || wb == wa && b.load(r.Within) < a.load(r.Within) {
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

// affine returns the candidate that rendezvous hashing prefers for the prefix, as long as its load stays near the mean.
func (p *Picker) affine(candidates []Candidate, r Request) (Choice, bool) {
	if r.Prefix == 0 {
		return Choice{}, false
	}
	sum, best := 0.0, -1
	var top uint64
	for i := range candidates {
		c := &candidates[i]
		sum += c.load(r.Within)
		if c.Domain != p.Domain {
			continue
		}
		if h := Rendezvous(c.ID, r.Prefix); best < 0 || h > top {
			best, top = i, h
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	mean := sum / float64(len(candidates))
	c := &candidates[best]
	if c.load(r.Within) > affinityBound*mean+affinityFloor*meanCost(candidates) {
		return Choice{}, false
	}
	wait := c.Wait(r.Within)
	return Choice{
		Index: best,
		Wait:  wait,
	}, wait < r.Within/2
}

// meanCost keeps the bound meaningful while almost nothing is in flight.
func meanCost(candidates []Candidate) float64 {
	return max(1, candidates[0].Drain*spillGain.Seconds())
}

// Rendezvous returns the weight of an id for a key: of several ids the one with the largest is taken, and the others keep their order as it goes.
func Rendezvous(id string, key uint64) uint64 {
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

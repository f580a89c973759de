package quota

import (
	"math"
	"time"

	"geraniumpass/core"
	"geraniumpass/route"
)

const (
	// burstTime and burstBase say how much all entries together may send to an instance beyond its rate in any span: its rate over a time,
	// and some requests.
	burstTime = 1500 * time.Millisecond
	burstBase = 4.0
	// leastRate is how many requests a second find out what an instance states now whose limit is smaller than that.
	leastRate = 0.25
	// deepest bounds the requests that one entry may send at once.
	deepest = 1 << 20
)

// Fleet is the entries among which limits are shared.
type Fleet struct {
	// Rev changes with the members.
	Rev int64
	// Members are the entries by name; the values are not used.
	Members map[string]string
}

// part is what one entry may send to one instance.
type part struct {
	// rate is in requests a second, zero for an entry that holds no part.
	rate float64
	// depth is how many it may send at once.
	depth int
}

// burst returns how many requests all entries together may send at once.
func burst(rate float64) float64 {
	return burstTime.Seconds()*rate + burstBase
}

// usable is a stated rate, or the one at which an instance is asked whether it still states so little.
func usable(rate float64) float64 {
	return max(rate, leastRate)
}

// fewHolders returns how many of some entries hold a part of a limit: each may send one request at once, so that no more hold one than may be
// sent at once by all.
func fewHolders(rate float64, entries int) int {
	return int(min(float64(entries), burst(rate)))
}

// partOf returns what each of some holders may send. Over any span all of them send the rate over that span and the burst at most, whatever
// each has done before.
func partOf(rate float64, holders int) part {
	return part{
		rate:  usable(rate) / float64(holders),
		depth: int(min(max(1, math.Floor(burst(rate)/float64(holders))), deepest)),
	}
}

// size returns how many entries there are, this one included.
func (f Fleet) size(self string) int {
	if _, ok := f.Members[self]; ok {
		return len(f.Members)
	}
	return len(f.Members) + 1
}

// isAmong returns true when an entry is one of the first holders of a start by rendezvous hashing.
func (f Fleet) isAmong(self string, start core.Start, holders int) bool {
	seed := route.Seed(start.ID)
	own := route.Rendezvous(self, seed)
	before := 0
	for name := range f.Members {
		if name != self && route.Rendezvous(name, seed) > own {
			before++
		}
	}
	return before < holders
}

package quota

import (
	"math"
	"time"

	"geraniumpass/core"
	"geraniumpass/route"
)

const (
	// burstTime and burstBase bound what all entries together may send to an instance beyond its
	// rate in any time span: the instance's rate times burstTime, plus burstBase requests.
	burstTime = 1500 * time.Millisecond
	burstBase = 4.0
	// minRate is the rate in requests per second that applies to instances with a smaller limit, so
	// that a raised limit is noticed.
	minRate = 0.25
	// maxBurst bounds the requests that one entry may send at once.
	maxBurst = 1 << 20
)

// Fleet is the set of entries that share the limits.
type Fleet struct {
	// Rev changes whenever Members does.
	Rev int64
	// Members is keyed by entry name; the values are not used.
	Members map[string]string
}

// share is the part of an instance's limit that one entry may use.
type share struct {
	// rate is in requests per second and zero for an entry without a share.
	rate float64
	// burst is how many requests the entry may send at once.
	burst int
}

// totalBurst returns how many requests all entries together may send at once.
func totalBurst(rate float64) float64 {
	return burstTime.Seconds()*rate + burstBase
}

// RateWithin returns the highest rate in requests per second at which all entries together send at
// most the given number of requests within the window. It is zero or negative if even the burst that
// every limit allows exceeds that number.
func RateWithin(requests float64, window time.Duration) float64 {
	return (requests - burstBase) / (window + burstTime).Seconds()
}

// effectiveRate returns the advertised rate, or minRate if that is higher, so that instances with
// tiny limits are still probed.
func effectiveRate(rate float64) float64 {
	return max(rate, minRate)
}

// holderCount returns how many of the entries hold a share of a limit. Each holder may send one
// request at once, so their number must not exceed the total burst.
func holderCount(rate float64, entries int) int {
	return int(min(float64(entries), totalBurst(rate)))
}

// shareOf returns the share of each of the given number of holders. Over any time span, all holders
// together send at most the rate times that span plus the total burst, whatever each has sent
// before.
func shareOf(rate float64, holders int) share {
	return share{
		rate:  effectiveRate(rate) / float64(holders),
		burst: int(min(max(1, math.Floor(totalBurst(rate)/float64(holders))), maxBurst)),
	}
}

// size returns the number of entries, this one included.
func (f Fleet) size(self string) int {
	if _, ok := f.Members[self]; ok {
		return len(f.Members)
	}
	return len(f.Members) + 1
}

// isHolder reports whether the entry is one of the given number of holders of an instance's limit.
func (f Fleet) isHolder(self string, start core.Start, holders int) bool {
	return f.rank(self, start) < holders
}

// rank returns how many other entries hold a share of an instance's limit rather than this one, by
// rendezvous hashing.
func (f Fleet) rank(self string, start core.Start) int {
	seed := route.Seed(start.ID)
	own := route.RendezvousWeight(self, seed)
	before := 0
	for name := range f.Members {
		if name != self && route.RendezvousWeight(name, seed) > own {
			before++
		}
	}
	return before
}

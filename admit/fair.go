package admit

import (
	"math"
	"time"
)

const (
	// accountHalfLife is the half-life of an account's rate of work. It is a few streams long, so that
	// a single long answer doesn't pass for a flood.
	accountHalfLife = 4 * time.Second
	// maxAccounts bounds the number of accounts that are remembered; others count as fair.
	maxAccounts = 4096
	// maxHalfLives is how many half-lives weights grow before they are scaled down.
	maxHalfLives = 32
	// fairAge is how long a fair share is used, much less than accountHalfLife.
	fairAge = 100 * time.Millisecond
	// bucketsPerOctave and octaves define the histogram of weights: with them, a fair share is found
	// without a pass over all accounts. Weights below the first bucket are in it.
	bucketsPerOctave = 4
	octaves          = 64
	buckets          = bucketsPerOctave * octaves
	// bucketOffset is the octave of weight one.
	bucketOffset = 4
	// idleWeight is the recent work in tokens below which an account is forgotten.
	idleWeight = 0.5
	// minFairWork is the recent work, in usual requests, up to which an account is always fair: so few
	// requests tell nothing about a rate.
	minFairWork = 4
)

// shares are the recent amounts of work of the accounts at this entry, halved every
// accountHalfLife. Instead of decaying all of them, new work is weighted up as time goes on.
type shares struct {
	epoch     time.Time
	byAccount map[string]float64
	total     float64
	counts    [buckets]int
	sums      [buckets]float64
	// fair is the fair weight at fairAt.
	fair   float64
	fairAt time.Time
}

func newShares() *shares {
	return &shares{
		byAccount: make(map[string]float64),
	}
}

// scale returns the weight of work done now.
func (s *shares) scale(now time.Time) float64 {
	return math.Exp2(now.Sub(s.epoch).Seconds() / accountHalfLife.Seconds())
}

// add records work of an account.
func (s *shares) add(now time.Time, account string, work float64) {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	if now.Sub(s.epoch) > maxHalfLives*accountHalfLife {
		s.rescale(now)
	}
	weight, known := s.byAccount[account]
	if !known && len(s.byAccount) >= maxAccounts {
		return
	}
	if known {
		s.count(weight, -1)
	}
	added := work * s.scale(now)
	s.byAccount[account] = weight + added
	s.total += added
	s.count(weight+added, 1)
}

// rescale starts a new epoch and forgets idle accounts.
func (s *shares) rescale(now time.Time) {
	scale := s.scale(now)
	s.epoch = now
	s.fairAt = time.Time{}
	s.total = 0
	s.counts = [buckets]int{}
	s.sums = [buckets]float64{}
	for account, weight := range s.byAccount {
		weight /= scale
		if weight < idleWeight {
			delete(s.byAccount, account)
			continue
		}
		s.byAccount[account] = weight
		s.total += weight
		s.count(weight, 1)
	}
}

func (s *shares) count(weight float64, n int) {
	b := bucketOf(weight)
	s.counts[b] += n
	s.sums[b] += float64(n) * weight
}

func bucketOf(weight float64) int {
	b := int(math.Floor((math.Log2(weight) + bucketOffset) * bucketsPerOctave))
	return min(max(b, 0), buckets-1)
}

// fairWeight returns the most that an account may have if the given share of all work is divided so
// that none gets more than it asks for, and no account more than one that is refused some.
func (s *shares) fairWeight(share float64) float64 {
	budget := share * s.total
	over := 0
	rest := s.total
	level := math.Inf(1)
	for b := buckets - 1; b >= 0; b-- {
		if s.counts[b] == 0 {
			continue
		}
		over += s.counts[b]
		rest -= s.sums[b]
		level = (budget - max(rest, 0)) / float64(over)
		if b == 0 || level >= math.Exp2(float64(b)/bucketsPerOctave-bucketOffset) {
			break
		}
	}
	return level
}

// fairShare returns the share of an account's work that is within its fair share when the given
// share of all work is admitted. An account with no more than the mean is always within it: where all
// ask for the same, none of them is to blame.
func (s *shares) fairShare(now time.Time, account string, share, usual float64) float64 {
	weight, ok := s.byAccount[account]
	if !ok || weight <= 0 || share >= 1 {
		return 1
	}
	if since := now.Sub(s.fairAt); since < 0 || since > fairAge {
		s.fair = s.fairWeight(share)
		s.fairAt = now
	}
	least := max(minFairWork*usual*s.scale(now), s.total/float64(len(s.byAccount)))
	return min(max(s.fair, least)/weight, 1)
}

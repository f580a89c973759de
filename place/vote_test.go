package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	turnSets    = 12
	turnExperts = 128
	turnRanks   = 32
	// turnShare is the share of the requests that move to other subjects.
	turnShare = 0.7
	// flatness is the part of the choices that follows Zipf's law; the others are spread evenly.
	flatness = 0.65
	// stepChoices is how many experts of a set one rank's requests choose in one step.
	stepChoices = 1600
	// reportInterval is the interval of a rank's reports while nothing shifts.
	reportInterval = 192 * time.Millisecond
	// turnReportTime is how long it takes until each rank has read its engine after a shift.
	turnReportTime = 66 * time.Millisecond
)

// turnCounts draws the counts that a rank reports for one step.
func turnCounts(random *rand.Rand, shares []float64) []byte {
	out := make([]byte, len(shares))
	for i, share := range shares {
		mean := stepChoices * share
		out[i] = byte(min(255, max(0, mean+random.NormFloat64()*math.Sqrt(mean)+0.5)))
	}
	return out
}

// flatShares returns popularity with the usual slope of large groups: the most popular of 128
// experts gets a tenth of the choices.
func flatShares(random *rand.Rand) []float64 {
	out := zipfShares(random, turnSets, turnExperts)
	for i := range out {
		out[i] = flatness*out[i] + (1-flatness)/turnExperts
	}
	return out
}

// turnedDemand returns the estimate when a map may first be chosen after a shift, how long after the
// shift that is, and the new shares. Each rank reports once within turnReportTime, the new popularity
// alone.
func turnedDemand(random *rand.Rand, ranks int) (d *Demand, after time.Duration, next []float64) {
	before, other := flatShares(random), flatShares(random)
	next = make([]float64, len(before))
	for i := range next {
		next[i] = (1-turnShare)*before[i] + turnShare*other[i]
	}
	d = &Demand{
		HalfLife: time.Second,
		Ranks:    ranks,
	}
	shiftAt := time.Unix(100, 0)
	for at := shiftAt.Add(-2 * time.Second); at.Before(shiftAt); at = at.Add(reportInterval / turnRanks) {
		d.Observe(at, turnCounts(random, before), 3)
	}
	shifting := false
	for r := range turnRanks {
		after = turnReportTime * time.Duration(r) / turnRanks
		if shifting && !d.Shifting(shiftAt.Add(after)) {
			return d, after, next
		}
		d.Observe(shiftAt.Add(after), turnCounts(random, next), 1)
		shifting = d.Shifting(shiftAt.Add(after))
	}
	for d.Shifting(shiftAt.Add(after)) {
		after += time.Millisecond
	}
	return d, after, next
}

// TestVoteReplacesCountsWithinOneReportOfEachRank guards against maps for a mixture of the old and
// the new popularity: 32 ranks, 12 sets of 128 experts, popularity turns every 2.4 s. A map for a
// mixture keeps the group from a better one for half a second, in which steps outlast the pause of
// 120 ms that callers accept.
func TestVoteReplacesCountsWithinOneReportOfEachRank(t *testing.T) {
	const (
		latest = 80 * time.Millisecond
		// mostExcess is the peak over the mean, less one, below which steps stay well under the
		// pause.
		mostExcess = 0.6
	)
	excess := make(map[int]float64)
	for _, ranks := range []int{0, turnRanks} {
		d, after, next := turnedDemand(rand.New(rand.NewPCG(3, 11)), ranks)
		if ranks > 0 && after > latest {
			t.Errorf("a map may be chosen %v after the shift, want %v", after, latest)
		}
		sets := make([]*Placement, turnSets)
		load := make([][]float64, turnSets)
		for s := range sets {
			sets[s] = Even(turnExperts, turnRanks, 5)
			load[s] = next[s*turnExperts : (s+1)*turnExperts]
		}
		sets, _ = ImproveSets(sets, d.Loads(turnSets), nil, Budget{PerRank: 2, PerSet: 2, MinGain: 0.012})
		peak, mean := Peak(sets, load, nil)
		excess[ranks] = peak/mean - 1
		t.Logf("%d voters: excess of the most loaded rank %.2f after a switch chosen %v after the shift", ranks, excess[ranks], after)
	}
	if excess[turnRanks] > mostExcess || excess[turnRanks] >= excess[0] {
		t.Errorf("excess of the most loaded rank %.2f, without votes %.2f, want %.2f at most", excess[turnRanks], excess[0], mostExcess)
	}
}

// TestMinorityDoesNotVoteOutPopularity guards against a few ranks with unusual requests that
// replace the counts of the whole group: 5 of 32 ranks serve one other subject.
func TestMinorityDoesNotVoteOutPopularity(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 12))
	usual, unusual := flatShares(random), flatShares(random)
	d := &Demand{
		HalfLife: time.Second,
		Ranks:    turnRanks,
	}
	now := time.Unix(100, 0)
	for i := range 10 * turnRanks {
		now = now.Add(reportInterval / turnRanks)
		shares := usual
		if i%turnRanks >= turnRanks-5 {
			shares = unusual
		}
		d.Observe(now, turnCounts(random, shares), 3)
	}
	if !d.votedAt.IsZero() {
		t.Error("5 of 32 ranks replaced the counts of all")
	}
}

// BenchmarkDemandObserve has the size of the largest sets: 12 sets of 128 experts on 32 ranks, each
// of which reports five times a second.
func BenchmarkDemandObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(5, 6))
	d := &Demand{
		HalfLife: time.Second,
		Ranks:    turnRanks,
	}
	chosen := turnCounts(random, flatShares(random))
	now := time.Unix(100, 0)
	for b.Loop() {
		now = now.Add(reportInterval / turnRanks)
		d.Observe(now, chosen, 3)
	}
}

// BenchmarkImproveSetsAfterShift is the search for the first map after a shift.
func BenchmarkImproveSetsAfterShift(b *testing.B) {
	d, _, _ := turnedDemand(rand.New(rand.NewPCG(3, 11)), turnRanks)
	sets := make([]*Placement, turnSets)
	for s := range sets {
		sets[s] = Even(turnExperts, turnRanks, 5)
	}
	load := d.Loads(turnSets)
	for b.Loop() {
		ImproveSets(sets, load, nil, Budget{PerRank: 2, PerSet: 2, MinGain: 0.012})
	}
}

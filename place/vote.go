package place

import (
	"slices"
	"time"
)

const (
	// voteWindow is how long a rank's vote for a shift counts: every rank reads its engine once in
	// that time and reports a shift at once.
	voteWindow = 100 * time.Millisecond
	// minVotes is the minimum number of votes that make a shift: the counts of fewer ranks over one
	// step are too few to replace all earlier ones.
	minVotes = 12
	// minVoters is the size of a group from which its ranks vote. In smaller groups the counts of
	// each rank weigh enough for averages to show a shift as early.
	minVoters = 24
	// voteShare is the least share of the ranks that must vote: a minority may just serve unusual
	// requests.
	voteShare = 1.0 / 3
	// voteSettleTime is how long the other ranks may take to report the new popularity as well: the
	// interval at which a rank reads its engine, less the time that the vote took.
	voteSettleTime = 40 * time.Millisecond
	// voteDistance is the distance from which the votes together show a shift; noise of single
	// ranks cancels out in their sum.
	voteDistance = 0.2
)

// vote is a report that differs from the settled popularity.
type vote struct {
	at     time.Time
	chosen []byte
	unit   float64
}

// shiftVote detects a shift of popularity report by report. A rank that notices a shift drops its
// earlier counts and reports, so that its next report holds the new popularity alone, while averages
// over all reports mix both for several steps.
type shiftVote struct {
	// settled is the popularity of the reports that were no votes.
	settled []float64
	updated time.Time
	votes   []vote
	// counts is scratch space for the counts of a report.
	counts []float64
}

// observe adds a report and returns the sum of the votes if they show a shift, else nil. The
// settled popularity decays with the given half-life.
func (v *shiftVote) observe(now time.Time, chosen []byte, unit float64, ranks int, halfLife time.Duration) []float64 {
	if len(v.settled) != len(chosen) {
		v.settled = make([]float64, len(chosen))
		v.counts = make([]float64, len(chosen))
		v.votes = nil
		v.updated = now
	}
	settledSum := scale(v.settled, decayFactor(now.Sub(v.updated), halfLife))
	v.updated = now
	clear(v.counts)
	countsSum := decayAndAdd(v.counts, 1, chosen, unit)
	if variation(v.settled, v.counts, settledSum, countsSum) <= shiftDistance {
		addCounts(v.settled, chosen, unit)
		return nil
	}
	v.votes = slices.DeleteFunc(v.votes, func(o vote) bool { return now.Sub(o.at) > voteWindow })
	v.votes = append(v.votes, vote{
		at:     now,
		chosen: slices.Clone(chosen),
		unit:   unit,
	})
	if len(v.votes) < max(minVotes, int(voteShare*float64(ranks))) {
		return nil
	}
	return v.count()
}

// count returns the sum of the votes if it differs from the settled popularity, which it then
// replaces, else nil.
func (v *shiftVote) count() []float64 {
	sum := make([]float64, len(v.settled))
	for _, o := range v.votes {
		addCounts(sum, o.chosen, o.unit)
	}
	if totalVariation(v.settled, sum) <= voteDistance {
		return nil
	}
	v.settled = slices.Clone(sum)
	v.votes = nil
	return sum
}

// addCounts adds counts in multiples of unit.
func addCounts(to []float64, chosen []byte, unit float64) {
	for i, n := range chosen {
		to[i] += float64(n) * unit
	}
}

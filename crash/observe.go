package crash

// minSharedTerminations is the number of terminations that count against a segment from which entries
// exchange observations, one less than it is blocked for at the least.
const minSharedTerminations = 2

// observations are samples of the requests of all entries and of how they went on.
type observations struct {
	requests *sample
	outcomes *sample
	// seq is the sequence number of the last one.
	seq int64
}

func newObservations() *observations {
	o := &observations{}
	o.requests, o.outcomes = newSample(&o.seq), newSample(&o.seq)
	return o
}

// MergeObservations adds observations of other entries.
func (g *Registry) MergeObservations(observations []Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, o := range observations {
		g.sampleOf(o.Outcome).merge(o, now)
	}
	g.recordUncounted(now)
}

// ObservationsSince returns the observations added after a sequence number returned by an earlier call,
// zero for all, and the current sequence number. There are none while no segment is suspected, so that
// entries exchange none then.
func (g *Registry) ObservationsSince(after int64) ([]Observation, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if after == g.observed.seq || !g.suspectsSegment() {
		return nil, after
	}
	now := g.clock.Now()
	return append(g.observed.requests.since(after, now), g.observed.outcomes.since(after, now)...), g.observed.seq
}

// suspectsSegment reports whether some segment counts enough terminations for observations to be exchanged.
func (g *Registry) suspectsSegment() bool {
	if g.suspectedSeq != g.seq {
		g.suspected, g.suspectedSeq = g.findSuspected(), g.seq
	}
	return g.suspected
}

func (g *Registry) findSuspected() bool {
	for _, s := range g.suspects {
		if s.segment && len(s.terminations) >= minSharedTerminations && s.countUncleared() >= minSharedTerminations {
			return true
		}
	}
	return false
}

// sampleOf returns the sample of requests or of outcomes.
func (g *Registry) sampleOf(o Outcome) *sample {
	if o == 0 {
		return g.observed.requests
	}
	return g.observed.outcomes
}

// requests returns the number of requests from which shares are estimated, those of this entry and a
// sample of the others'.
func (g *Registry) requests() int {
	return g.popularity.requests() + g.observed.requests.requests
}

// requestsWith returns how many of them have a segment.
func (g *Registry) requestsWith(d Digest) int {
	return g.popularity.count(d) + g.observed.requests.bySegment[d.prefix()]
}

// share returns the estimated share of requests that have a segment. It lies between zero and one for
// any number of requests seen.
func (g *Registry) share(d Digest) float64 {
	return float64(g.requestsWith(d)+1) / float64(g.requests()+2)
}

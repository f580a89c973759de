package group

import (
	"slices"
	"time"

	"geraniumpass/core"
	"geraniumpass/loads"
	"geraniumpass/outage"
)

// openingExpected is how long a closed group is read as often as a busy one. Groups that are closed for
// longer may never open.
const openingExpected = 30 * time.Second

// sight is what an agent knows of its whole group: the condition, by its own engine, and the loads of
// all ranks, by the leader. The zero value knows nothing.
type sight struct {
	tracker loads.Tracker
	own     Report
	// ranks is empty until a leader of this epoch sent the loads, at ranksAt.
	ranks   []loads.Rank
	ranksAt time.Time
	// missing is the number of ranks that the leader told to be missing at missingAt.
	missing   int
	missingAt time.Time
	backAt    time.Time
	outage    outage.Estimator
	// startsVersion rises when the incarnations of the ranks change.
	startsVersion int64
}

// observe takes a report of the own engine and reports whether the group has requests or is stalled, so
// that its next step should be seen soon.
func (s *sight) observe(now time.Time, rep *Report) bool {
	if rep.Group != s.own.Group || rep.Epoch != s.own.Epoch {
		s.ranks = nil
	}
	if rep.Group != s.own.Group {
		s.outage = outage.Estimator{}
	}
	s.own = *rep
	othersBusy := s.areOthersBusy(now)
	s.tracker.Observe(now, loads.Observation{
		Group:      rep.Group,
		Epoch:      rep.Epoch,
		Open:       rep.Open,
		Step:       rep.Step,
		Running:    rep.Running,
		Waiting:    rep.Waiting,
		OthersBusy: othersBusy,
	})
	return rep.Running > 0 || rep.Waiting > 0 || othersBusy || s.tracker.StalledFor() > 0
}

func (s *sight) areOthersBusy(now time.Time) bool {
	if !s.areRanksRecent(now) {
		return false
	}
	for r := range s.ranks {
		if r != s.own.Rank && s.ranks[r].Running+s.ranks[r].Waiting > 0 {
			return true
		}
	}
	return false
}

func (s *sight) areRanksRecent(now time.Time) bool {
	return len(s.ranks) > 0 && now.Sub(s.ranksAt) < loadTTL
}

// setMissing takes the number of missing ranks that the leader told, and since when none is.
func (s *sight) setMissing(now time.Time, missing int, backFor time.Duration) {
	if missing != outage.MissingUnknown {
		s.missing, s.missingAt, s.backAt = missing, now, now.Add(-backFor)
	}
}

// observeOutage takes the present condition of the group and returns the outage if one has just ended.
func (s *sight) observeOutage(now time.Time) (ended outage.Outage, ok bool) {
	missing := outage.MissingUnknown
	if now.Sub(s.missingAt) < loadTTL {
		missing = s.missing
	}
	return s.outage.Observe(now, outage.Observation{
		Open:    s.own.Open,
		Missing: missing,
		BackFor: now.Sub(s.backAt),
	})
}

// isOpeningExpected reports whether the group is closed and may open at any moment.
func (s *sight) isOpeningExpected() bool {
	closedFor := s.tracker.ClosedFor()
	return s.own.Group != "" && closedFor > 0 && closedFor < openingExpected
}

// setRanks takes the loads that the leader sent. A leader that has not heard a rank yet doesn't know
// its incarnation, which is then kept.
func (s *sight) setRanks(now time.Time, ranks []loads.Rank) {
	if len(s.ranks) == len(ranks) {
		for r := range ranks {
			if ranks[r].Start == (core.Start{}) {
				ranks[r].Start = s.ranks[r].Start
			}
		}
	}
	sameStart := func(x, y loads.Rank) bool { return x.Start == y.Start }
	if !slices.EqualFunc(s.ranks, ranks, sameStart) {
		s.startsVersion++
	}
	s.ranks, s.ranksAt = ranks, now
}

// group returns what is known of the group at now. ok is false while the engine belongs to no group or
// has not been read lately.
func (s *sight) group(now time.Time) (g loads.Group, ok bool) {
	if s.own.Group == "" || now.Sub(s.tracker.ObservedAt()) >= loadTTL {
		return loads.Group{}, false
	}
	g = s.tracker.Group()
	g.Opening = s.outage.Estimate(now)
	if s.areRanksRecent(now) {
		g.Ranks = s.withOwn()
		g.RanksAge = now.Sub(s.ranksAt)
	}
	return g, true
}

// withOwn returns the loads of all ranks with the newest one of the own rank.
func (s *sight) withOwn() []loads.Rank {
	ranks := slices.Clone(s.ranks)
	if s.own.Rank < 0 || s.own.Rank >= len(ranks) {
		return ranks
	}
	own := &ranks[s.own.Rank]
	own.Running, own.Waiting = s.own.Running, s.own.Waiting
	wasSlow := own.Pace > normalPace
	own.Pace = normalPace
	if s.own.Pace >= slowEnterPace || wasSlow && s.own.Pace > slowExitPace {
		own.Pace = s.own.Pace
	}
	return ranks
}

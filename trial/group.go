package trial

import (
	"math/rand/v2"
	"time"

	"geraniumpass/admit"
)

const (
	groupEntries  = 9
	groupTarget   = 400 * time.Millisecond
	groupEventGap = 120 * time.Millisecond
	// callerDeadline is the total time of a caller; callerIdleTimeout is how long it waits for the
	// first event and between two events.
	callerDeadline    = 8 * time.Second
	callerIdleTimeout = 2 * time.Second
	// maxAdmissionWait is the longest time in the admission queue, as in the gate.
	maxAdmissionWait = 950 * time.Millisecond
	// groupWindow is the width of a result window.
	groupWindow   = 2 * time.Second
	pollInterval  = 30 * time.Millisecond
	probeInterval = 90 * time.Millisecond
	// knownLoadShare is the share of the other entries' load that an entry sees: answers report the
	// load, and half of the reported load expires within a second.
	knownLoadShare = 0.7
)

// GroupScenario describes the load and the faults of a group of ranks.
type GroupScenario struct {
	Name     string
	Duration time.Duration
	// Rate returns the arriving streams per second.
	Rate func(at time.Duration) float64
	// Outages are spans in which the group is down; Stalls are spans in which it makes no progress
	// but loses nothing.
	Outages []Span
	Stalls  []Span
}

// GroupResult counts callers by the window of their first attempt.
type GroupResult struct {
	Arrived []int
	OnTime  []int
	Late    []int
	Refused []int
	Failed  []int
}

// Shares returns the outcomes of the windows that begin within a span, as shares of the callers
// that arrived in them.
func (r *GroupResult) Shares(s Span) (onTime, late, refused float64) {
	arrived := 0
	var n [3]int
	for w := range r.Arrived {
		if at := time.Duration(w) * groupWindow; at < s.From || at >= s.To {
			continue
		}
		arrived += r.Arrived[w]
		n[0] += r.OnTime[w]
		n[1] += r.Late[w]
		n[2] += r.Refused[w]
	}
	return ratio(n[0], arrived), ratio(n[1], arrived), ratio(n[2], arrived)
}

// groupWorld is the state of one trial with several entries in front of one group.
type groupWorld struct {
	clock
	scenario *GroupScenario
	random   *rand.Rand
	group    *rankGroup
	// controllers is nil if entries send requests without admission control.
	controllers []*admit.Controller
	// pending are the callers whose tickets are undecided.
	pending  []*groupCaller
	inFlight [groupEntries][groupRanks]int
	result   GroupResult
}

// RunGroup simulates a scenario from a seed, with or without admission control.
func RunGroup(s *GroupScenario, admission bool, seed uint64) GroupResult {
	w := &groupWorld{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	w.group = &rankGroup{
		clock:   &w.clock,
		outages: s.Outages,
		stalls:  s.Stalls,
	}
	if admission {
		for range groupEntries {
			w.controllers = append(w.controllers, admit.NewController(probeInterval))
		}
		w.after(pollInterval, w.poll)
	}
	windows := int(s.Duration/groupWindow) + 1
	for _, c := range []*[]int{&w.result.Arrived, &w.result.OnTime, &w.result.Late, &w.result.Refused, &w.result.Failed} {
		*c = make([]int, windows)
	}
	w.after(0, w.group.beginPass)
	w.after(0, w.arrive)
	w.run(s.Duration + callerDeadline)
	return w.result
}

func (w *groupWorld) poll() {
	for _, c := range w.controllers {
		c.Poll(w.time())
	}
	w.processDecided()
	w.after(pollInterval, w.poll)
}

// arrive submits the request of a new caller and schedules the next arrival.
func (w *groupWorld) arrive() {
	if w.now >= w.scenario.Duration {
		return
	}
	c := &groupCaller{
		w:       w,
		window:  int(w.now / groupWindow),
		arrived: w.now,
	}
	w.result.Arrived[c.window]++
	c.submit()
	w.after(time.Duration(w.random.ExpFloat64()/w.scenario.Rate(w.now)*float64(time.Second)), w.arrive)
}

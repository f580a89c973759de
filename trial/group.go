package trial

import (
	"math/rand/v2"
	"time"

	"geraniumpass/admit"
)

const (
	groupEntries = 9
	groupAim     = 400 * time.Millisecond
	groupPause   = 120 * time.Millisecond
	// callerTime is how long a caller waits in all, callerPatience for the first event or between two.
	callerTime     = 8 * time.Second
	callerPatience = 2 * time.Second
	// lineTime is how long a request waits in line at most, as the gate has it.
	lineTime = 950 * time.Millisecond
	// groupWindow is the time whose callers are counted together.
	groupWindow = 2 * time.Second
	pollLines   = 30 * time.Millisecond
	probeLines  = 90 * time.Millisecond
	// reportTrust is how much of others' load an entry sees: an answer tells it, and half of it is forgotten within a second.
	reportTrust = 0.7
)

// GroupScenario is what callers and faults do to a group of ranks.
type GroupScenario struct {
	Name  string
	Lasts time.Duration
	// Rate is how many streams are asked for in a second at a moment.
	Rate func(at time.Duration) float64
	// Dark are times in which the group is broken, Still those in which it stands with all that it has.
	Dark  []Span
	Still []Span
}

// GroupResult counts callers by the window in which they first asked.
type GroupResult struct {
	Asked   []int
	OnTime  []int
	Late    []int
	Refused []int
	Failed  []int
}

// Sum returns the counts of the windows that begin within a span, as shares of those who asked.
func (r *GroupResult) Sum(s Span) (onTime, late, refused float64) {
	asked := 0
	var n [3]int
	for w := range r.Asked {
		if at := time.Duration(w) * groupWindow; at < s.From || at >= s.To {
			continue
		}
		asked += r.Asked[w]
		n[0] += r.OnTime[w]
		n[1] += r.Late[w]
		n[2] += r.Refused[w]
	}
	return ratio(n[0], asked), ratio(n[1], asked), ratio(n[2], asked)
}

// groupWorld is a trial of entries before one group.
type groupWorld struct {
	clock
	scenario *GroupScenario
	random   *rand.Rand
	group    *ranks
	// lines is nil where entries send whatever comes at once.
	lines []*admit.Controller
	// pending are the callers whose tickets are not decided yet.
	pending []*groupCaller
	own     [groupEntries][groupRanks]int
	result  GroupResult
}

// RunGroup plays a scenario from a seed, with a line before the group or without.
func RunGroup(s *GroupScenario, line bool, seed uint64) GroupResult {
	w := &groupWorld{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	w.group = &ranks{
		clock: &w.clock,
		dark:  s.Dark,
		still: s.Still,
	}
	if line {
		for range groupEntries {
			w.lines = append(w.lines, admit.NewController(probeLines))
		}
		w.after(pollLines, w.poll)
	}
	windows := int(s.Lasts/groupWindow) + 1
	for _, c := range []*[]int{&w.result.Asked, &w.result.OnTime, &w.result.Late, &w.result.Refused, &w.result.Failed} {
		*c = make([]int, windows)
	}
	w.after(0, w.group.pass)
	w.after(0, w.arrive)
	w.run(s.Lasts + callerTime)
	return w.result
}

func (w *groupWorld) poll() {
	for _, l := range w.lines {
		l.Poll(w.time())
	}
	w.settle()
	w.after(pollLines, w.poll)
}

// arrive has a caller come and draws when the next one does.
func (w *groupWorld) arrive() {
	if w.now >= w.scenario.Lasts {
		return
	}
	c := &groupCaller{
		w:      w,
		window: int(w.now / groupWindow),
		asked:  w.now,
	}
	w.result.Asked[c.window]++
	c.ask()
	w.after(time.Duration(w.random.ExpFloat64()/w.scenario.Rate(w.now)*float64(time.Second)), w.arrive)
}

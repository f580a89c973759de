package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"geraniumpass/caller"
	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/deploy"
	"geraniumpass/entry"
	"geraniumpass/setup"
)

const (
	lookupTokens    = 8
	summaryTokens   = 120
	restartDelay    = time.Second
	sendersPerClass = 6
	sendPause       = 40 * time.Millisecond
	newTarget       = 350 * time.Millisecond
)

// demonstration sends the load of the demo and injects faults meanwhile.
type demonstration struct {
	d      *deploy.Deployment
	model  string
	plain  string
	keys   []string
	random *rand.Rand

	mu       sync.Mutex
	results  map[string][]caller.Result
	verdicts map[string]caller.Verdict
}

func newDemonstration(d *deploy.Deployment) *demonstration {
	keys := lo.Values(d.Plan.Keys)
	sort.Strings(keys)
	s := &demonstration{
		d:        d,
		keys:     keys,
		random:   rand.New(rand.NewPCG(1, 2)),
		results:  make(map[string][]caller.Result),
		verdicts: make(map[string]caller.Verdict),
	}
	for _, sv := range d.Plan.Services {
		if sv.Kind == core.KindModel {
			s.model = sv.Name
		} else {
			s.plain = sv.Name
		}
	}
	return s
}

func (s *demonstration) run(duration time.Duration) {
	end := time.Now().Add(duration)
	var senders sync.WaitGroup
	for i := range sendersPerClass {
		senders.Go(func() { s.send(end, i, s.lookup) })
		senders.Go(func() { s.send(end, i, s.summary) })
		senders.Go(func() { s.send(end, i, s.booking) })
	}
	s.runEvent(duration/4, s.killAgent)
	s.runEvent(duration/4, s.markLeaving)
	s.runEvent(duration/4, s.changeTarget)
	senders.Wait()
}

// runEvent runs one event after a delay, while the load continues.
func (s *demonstration) runEvent(delay time.Duration, event func() string) {
	time.Sleep(delay)
	note := event()
	fmt.Println("  *", note)
}

func (s *demonstration) send(end time.Time, sender int, request func(c *caller.Caller, n int)) {
	for n := 0; time.Now().Before(end); n++ {
		e := s.d.Entries[(sender+n)%len(s.d.Entries)]
		request(&caller.Caller{
			Entry:   e.Listen,
			Key:     s.keys[(sender*7+n)%len(s.keys)],
			Timeout: 20 * time.Second,
		}, n)
		time.Sleep(sendPause)
	}
}

func (s *demonstration) lookup(c *caller.Caller, n int) {
	c.Label = "lookup"
	probe := uuid.NewString()
	s.record("lookup", probe, c.Completion(s.model, "status of simulation "+strconv.Itoa(n)+" "+probe, lookupTokens, n%2 == 0, probe), false)
}

func (s *demonstration) summary(c *caller.Caller, n int) {
	probe := uuid.NewString()
	s.record("summary", probe, c.Completion(s.model, "summarise study "+strconv.Itoa(n)+" "+probe, summaryTokens, true, probe), false)
}

// booking sends a non-idempotent request; every third one has an idempotency key and is repeated
// through another entry.
func (s *demonstration) booking(c *caller.Caller, n int) {
	probe := uuid.NewString()
	key := ""
	if n%3 == 0 {
		key = "booking-" + probe
	}
	body := []byte(`{"review":"` + probe + `"}`)
	s.record("booking", probe, c.Plain("POST", s.plain, "/reviews?ms=5", body, probe, key), true)
	if key == "" {
		return
	}
	repeat := *c
	repeat.Entry = s.d.Entries[(n+1)%len(s.d.Entries)].Listen
	s.record("booking (repeat)", probe, repeat.Plain("POST", s.plain, "/reviews?ms=5", body, probe, key), true)
}

func (s *demonstration) record(class, probe string, r caller.Result, atMostOnce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[class] = append(s.results[class], r)
	if atMostOnce && s.verdicts[probe] != caller.Whole {
		s.verdicts[probe] = r.Verdict
	}
}

func (s *demonstration) killAgent() string {
	id := s.model + "-03"
	a := s.d.Agents[id]
	a.Kill()
	go func() {
		time.Sleep(restartDelay)
		_ = a.Restart()
	}()
	return "killed the agent of " + id + "; its supervisor restarts it after " + restartDelay.String()
}

func (s *demonstration) markLeaving() string {
	id := s.plain + "-01"
	s.d.SetLeaving(id, true)
	return "the instance list reports that " + id + " is leaving"
}

func (s *demonstration) changeTarget() string {
	cl := s.d.Plan.Configuration.Classes[0]
	op := s.d.Operator(1)
	doc, err := op.Config()
	if err != nil {
		return "changing the target failed: " + err.Error()
	}
	cl.Target.Within = setup.Duration{Duration: newTarget}
	reply, err := op.Change(entry.ChangeRequest{
		ID:   uuid.NewString(),
		Base: doc.Revision,
		Who:  "demo",
		Ops: []config.Op{{
			Kind:   config.OpSetTarget,
			Name:   cl.Name,
			Target: &cl.Target,
		}},
	})
	if err != nil {
		return "changing the target failed: " + err.Error()
	}
	return fmt.Sprintf("an operator set the target of %s to %s: accepted as revision %d", cl.Name, newTarget, reply.Revision)
}

// report prints the results and reports whether no request was lost, duplicated, cut or wrong and
// every group used one map in each step.
func (s *demonstration) report() bool {
	fmt.Println()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tSENT\tWHOLE\tNOT RUN\tUNKNOWN\tLOST\tCUT\tWRONG\tP50\tP95\tP99\tTARGET")
	ok := true
	for _, class := range lo.Uniq(append([]string{"lookup", "summary", "booking"}, lo.Keys(s.results)...)) {
		ok = s.printRow(w, class) && ok
	}
	_ = w.Flush()
	violations := s.countViolations()
	fmt.Printf("\noperations run more than once, run although refused as not run, or answered without a run: %d\n", violations)
	for name, g := range s.d.Groups {
		fmt.Printf("group %s: %d steps, %d of them on more than one expert map\n", name, g.Step(), g.Violations())
		ok = ok && g.Violations() == 0
	}
	return ok && violations == 0
}

func (s *demonstration) printRow(w *tabwriter.Writer, class string) bool {
	rs := s.results[class]
	count := lo.CountValuesBy(rs, func(r caller.Result) caller.Verdict { return r.Verdict })
	latencies := lo.FilterMap(rs, func(r caller.Result, _ int) (time.Duration, bool) {
		if r.First > 0 {
			return r.First, r.Verdict == caller.Whole
		}
		return r.Took, r.Verdict == caller.Whole
	})
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", class, len(rs), count[caller.Whole], count[caller.NotRun], count[caller.Unknown],
		count[caller.Lost]+count[caller.Refused], count[caller.Cut], count[caller.Wrong], quantile(latencies, 0.5), quantile(latencies, 0.95), quantile(latencies, 0.99), s.target(class))
	for _, r := range rs {
		if r.Verdict == caller.Lost || r.Verdict == caller.Cut || r.Verdict == caller.Wrong || r.Verdict == caller.Refused {
			fmt.Fprintf(os.Stderr, "%s: %s: %s\n", class, r.Verdict, r.Detail)
		}
	}
	return count[caller.Lost]+count[caller.Cut]+count[caller.Wrong]+count[caller.Refused] == 0
}

func (s *demonstration) target(class string) string {
	for _, c := range s.d.Plan.Configuration.Classes {
		if c.Name == class || class == "booking" && c.Match.Label == "" && lo.Contains(c.Match.Services, s.plain) {
			return fmt.Sprintf("%v%% %s in %s", c.Target.Percent, c.Target.Measure, c.Target.Within)
		}
	}
	return "-"
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

// countViolations counts the operations that ran more than once, ran although refused as not run,
// or were answered without running.
func (s *demonstration) countViolations() int {
	n := 0
	for probe, verdict := range s.verdicts {
		runs := s.d.Runs.Runs(probe)
		if runs > 1 || runs > 0 && verdict == caller.NotRun || runs == 0 && verdict == caller.Whole {
			n++
		}
	}
	return n
}

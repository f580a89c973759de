package chaos

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"geraniumpass/caller"
	"geraniumpass/deploy"
)

// Options says how long and how hard a run is.
type Options struct {
	Seed   uint64
	Events int
	// Pause is the mean time between events.
	Pause time.Duration
	// Callers send in parallel.
	Callers int
}

// Report is what a run has seen.
type Report struct {
	Seed     uint64
	Events   []string
	Verdicts map[caller.Verdict]int
	Accepted int
	Healed   time.Duration
}

// FailureError lists what was violated, with the seed and the last events.
type FailureError struct {
	Seed     uint64
	Events   []string
	Findings []string
}

// Error returns the findings, the seed and the last events.
func (e *FailureError) Error() string {
	const last = 12
	events := e.Events[max(0, len(e.Events)-last):]
	return fmt.Sprintf("seed %d: %s\nlast events:\n  %s", e.Seed, strings.Join(e.Findings, "\n  "), strings.Join(events, "\n  "))
}

// run is one run under way.
type run struct {
	d      *deploy.Deployment
	opt    Options
	random *rand.Rand
	stop   chan struct{}
	wg     sync.WaitGroup
	began  time.Time

	mu       sync.Mutex
	events   []string
	results  map[string][]caller.Verdict
	once     map[string]bool
	counts   map[caller.Verdict]int
	accepted []acceptedChange
	findings []string
}

// Run breaks the deployment opt.Events times, heals everything, waits until it is whole again and returns a *FailureError if anything was violated.
func Run(d *deploy.Deployment, opt Options) (Report, error) {
	r := &run{
		d:       d,
		opt:     opt,
		random:  rand.New(rand.NewPCG(opt.Seed, 7)),
		stop:    make(chan struct{}),
		began:   time.Now(),
		results: make(map[string][]caller.Verdict),
		once:    make(map[string]bool),
		counts:  make(map[caller.Verdict]int),
	}
	for i := range opt.Callers {
		r.wg.Go(func() { r.call(i) })
	}
	r.wg.Go(r.operate)
	for range opt.Events {
		r.breakSomething()
	}
	r.note("heal")
	healed := time.Now()
	r.heal()
	close(r.stop)
	r.wg.Wait()
	took := time.Since(healed)
	r.check()
	report := Report{
		Seed:     opt.Seed,
		Events:   r.events,
		Verdicts: r.counts,
		Accepted: len(r.accepted),
		Healed:   took,
	}
	if len(r.findings) > 0 {
		return report, &FailureError{
			Seed:     opt.Seed,
			Events:   r.events,
			Findings: r.findings,
		}
	}
	return report, nil
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.2fs ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) finding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// check compares the counts of the services with what callers were told, and reads every log for broken invariants.
func (r *run) check() {
	for probe, verdicts := range r.results {
		runs := r.d.Runs.Runs(probe)
		if r.once[probe] && runs > 1 {
			r.finding("%s ran %d times, callers were told %v", probe, runs, verdicts)
		}
		notRun := true
		for _, v := range verdicts {
			notRun = notRun && v == caller.NotRun
			if v == caller.Wrong {
				r.finding("%s got a wrong answer", probe)
			}
			if v == caller.Whole && runs == 0 {
				r.finding("%s was answered without a run", probe)
			}
		}
		if r.once[probe] && notRun && runs > 0 {
			r.finding("%s ran although it was called not run", probe)
		}
	}
	for name, g := range r.d.Groups {
		if n := g.Violations(); n > 0 {
			r.finding("group %s took %d steps on more than one map", name, n)
		}
	}
	r.checkTrail()
	r.checkLogs()
}

func (r *run) checkLogs() {
	files, err := filepath.Glob(filepath.Join(r.d.Dir, "*.log"))
	if err != nil {
		r.finding("logs: %v", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			r.finding("logs: %v", err)
			continue
		}
		for _, sign := range []string{"invariant ", "panic:", "DATA RACE"} {
			if i := strings.Index(string(b), sign); i >= 0 {
				r.finding("%s: %s", filepath.Base(f), b[i:min(len(b), i+400)])
			}
		}
	}
}

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

// Options configures the length and intensity of a run.
type Options struct {
	Seed   uint64
	Events int
	// Pause is the mean time between events; faults last about as long.
	Pause time.Duration
	// Callers is the number of concurrent callers.
	Callers int
}

// Report summarizes a run.
type Report struct {
	Seed         uint64
	Events       []string
	Verdicts     map[caller.Verdict]int
	Accepted     int
	RecoveryTime time.Duration
}

// FailureError lists the violated invariants, with the seed and the events.
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

// run is the state of one run.
type run struct {
	d       *deploy.Deployment
	opts    Options
	random  *rand.Rand
	stop    chan struct{}
	wg      sync.WaitGroup
	started time.Time

	mu         sync.Mutex
	events     []string
	results    map[string][]caller.Verdict
	atMostOnce map[string]bool
	counts     map[caller.Verdict]int
	accepted   []acceptedChange
	findings   []string
}

// Run injects opt.Events faults into the deployment, waits until it has recovered and returns a
// *FailureError if an invariant was violated.
func Run(d *deploy.Deployment, opt Options) (Report, error) {
	r := &run{
		d:          d,
		opts:       opt,
		random:     rand.New(rand.NewPCG(opt.Seed, 7)),
		stop:       make(chan struct{}),
		started:    time.Now(),
		results:    make(map[string][]caller.Verdict),
		atMostOnce: make(map[string]bool),
		counts:     make(map[caller.Verdict]int),
	}
	for i := range opt.Callers {
		r.wg.Go(func() { r.sendRequests(i) })
	}
	r.wg.Go(r.changeTargets)
	for range opt.Events {
		r.injectFault()
	}
	r.logEvent("heal")
	recoveryStart := time.Now()
	r.waitHealthy()
	close(r.stop)
	r.wg.Wait()
	recoveryTime := time.Since(recoveryStart)
	r.check()
	report := Report{
		Seed:         opt.Seed,
		Events:       r.events,
		Verdicts:     r.counts,
		Accepted:     len(r.accepted),
		RecoveryTime: recoveryTime,
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

func (r *run) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.2fs ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// check compares the executions counted by the services with the results of the callers, and
// searches all logs for invariant violations.
func (r *run) check() {
	for probe, verdicts := range r.results {
		runs := r.d.Runs.Runs(probe)
		if r.atMostOnce[probe] && runs > 1 {
			r.addFinding("%s was executed %d times, callers got %v", probe, runs, verdicts)
		}
		notRun := true
		for _, v := range verdicts {
			notRun = notRun && v == caller.NotRun
			if v == caller.Wrong {
				r.addFinding("%s got a wrong answer", probe)
			}
			if v == caller.Whole && runs == 0 {
				r.addFinding("%s was answered without being executed", probe)
			}
		}
		if r.atMostOnce[probe] && notRun && runs > 0 {
			r.addFinding("%s was executed although every response said that it was not run", probe)
		}
	}
	for name, g := range r.d.Groups {
		if n := g.Violations(); n > 0 {
			r.addFinding("group %s executed %d steps on more than one expert map", name, n)
		}
	}
	r.checkAuditTrail()
	r.checkLogs()
}

func (r *run) checkLogs() {
	files, err := filepath.Glob(filepath.Join(r.d.Dir, "*.log"))
	if err != nil {
		r.addFinding("reading the logs: %v", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			r.addFinding("reading the logs: %v", err)
			continue
		}
		for _, marker := range []string{"invariant ", "panic:", "DATA RACE"} {
			if i := strings.Index(string(b), marker); i >= 0 {
				r.addFinding("%s: %s", filepath.Base(f), b[i:min(len(b), i+400)])
			}
		}
	}
}

package proof

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumpass/caller"
	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/deploy"
	"geraniumpass/oper"
	"geraniumpass/setup"
)

const (
	model        = "geranium-lm"
	plain        = "simdesk"
	account      = "site-visits"
	key          = "key-site-visits"
	otherAccount = "engineering"
	otherKey     = "key-engineering"
	// waitLimit is the timeout for a condition. It is long because only a failing test waits for
	// all of it.
	waitLimit = 30 * time.Second
)

// smallPlan returns the plan of a fast-starting deployment with three failure domains.
func smallPlan() *deploy.Plan {
	return &deploy.Plan{
		Name:    "small",
		Region:  "bc-lower",
		Domains: []string{"hall-a", "hall-b", "hall-c"},
		Entries: 3,
		Services: []deploy.Service{
			{
				Name:     model,
				Kind:     core.KindModel,
				Servers:  3,
				StepTime: setup.Duration{Duration: 4 * time.Millisecond},
			},
			{
				Name:    plain,
				Kind:    core.KindPlain,
				Servers: 3,
			},
		},
		Keys: map[string]string{
			account:      key,
			otherAccount: otherKey,
		},
		Configuration: oper.File{
			Classes: []config.Class{
				class("lookup", model, "lookup", 2*time.Second),
				class("status", plain, "", 5*time.Second),
				class("summary", model, "", 20*time.Second),
			},
		},
		LogLevel: "debug",
	}
}

func class(name, service, label string, within time.Duration) config.Class {
	return config.Class{
		Name: name,
		Match: config.Match{
			Services: []string{service},
			Label:    label,
		},
		Target: config.Target{
			Measure: config.MeasureComplete,
			Within:  setup.Duration{Duration: within},
			Percent: 95,
		},
	}
}

// launch starts a deployment that is closed when the test ends, and fails the test if a process
// logged an invariant violation, a panic or a data race.
func launch(t *testing.T, plan *deploy.Plan, opt deploy.Options) *deploy.Deployment {
	t.Helper()
	opt.Binary = binary
	opt.Dir = t.TempDir()
	opt.Relays = true
	d, err := deploy.Start(plan, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Close()
		checkLogs(t, opt.Dir)
	})
	return d
}

// checkLogs searches the logs of all processes for invariant violations, panics and data races.
func checkLogs(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, pattern := range []string{"invariant ", "panic:", "DATA RACE"} {
			if i := strings.Index(string(b), pattern); i >= 0 {
				end := min(len(b), i+2000)
				t.Errorf("%s: %s", filepath.Base(f), b[i:end])
			}
		}
	}
}

func newCaller(d *deploy.Deployment, entry int) *caller.Caller {
	return &caller.Caller{
		Entry: d.Entries[entry%len(d.Entries)].Listen,
		Key:   key,
	}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	if err := deploy.Until(description, waitLimit, condition); err != nil {
		t.Fatal(err)
	}
}

// load sends requests from concurrent senders until it is stopped, and records the result of each.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []sentRequest
}

type sentRequest struct {
	probe  string
	result caller.Result
}

func startLoad(senders int, send func(sender, n int) sentRequest) *load {
	l := &load{stop: make(chan struct{})}
	for s := range senders {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.record(send(s, n))
			}
		})
	}
	return l
}

func (l *load) record(s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, s)
}

func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// stopAndWait stops the senders, waits for their in-flight requests and returns all results.
func (l *load) stopAndWait() []sentRequest {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// waitForMore waits until n more requests have completed.
func (l *load) waitForMore(t *testing.T, n int) {
	t.Helper()
	from := l.completed()
	eventually(t, "requests to complete", func() bool { return l.completed() >= from+n })
}

// checkVerdicts fails the test if any result has a verdict that is not allowed; it prints the first
// five.
func checkVerdicts(t *testing.T, results []sentRequest, allowed ...caller.Verdict) {
	t.Helper()
	bad := 0
	for _, s := range results {
		ok := false
		for _, v := range allowed {
			ok = ok || s.result.Verdict == v
		}
		if !ok && bad < 5 {
			t.Errorf("%s: %s after %s: %s", s.probe, s.result.Verdict, s.result.Took, s.result.Detail)
		}
		if !ok {
			bad++
		}
	}
	if bad > 0 {
		t.Errorf("%d of %d requests ended with a verdict that is not allowed", bad, len(results))
	}
}

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
	model    = "geranium-lm"
	plain    = "simdesk"
	account  = "site-visits"
	key      = "key-site-visits"
	other    = "engineering"
	otherKey = "key-engineering"
	// waitLimit bounds a wait on a condition; it is long, because only a failing test ever waits it out.
	waitLimit = 30 * time.Second
)

// smallPlan is a deployment of three failure domains that starts fast.
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
			account: key,
			other:   otherKey,
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
			Measure: config.MeasureWhole,
			Within:  setup.Duration{Duration: within},
			Percent: 95,
		},
	}
}

// launch starts a deployment that ends with the test, and fails the test when a process found an invariant broken.
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

// checkLogs looks for broken invariants, panics and data races in the logs of all processes.
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
		for _, sign := range []string{"invariant ", "panic:", "DATA RACE"} {
			if i := strings.Index(string(b), sign); i >= 0 {
				end := min(len(b), i+2000)
				t.Errorf("%s: %s", filepath.Base(f), b[i:end])
			}
		}
	}
}

func user(d *deploy.Deployment, entry int) *caller.Caller {
	return &caller.Caller{
		Entry: d.Entries[entry%len(d.Entries)].Listen,
		Key:   key,
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if err := deploy.Until(what, waitLimit, condition); err != nil {
		t.Fatal(err)
	}
}

// load sends requests from several senders until it is ended, and keeps what became of each.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []sent
}

type sent struct {
	probe  string
	result caller.Result
}

func startLoad(senders int, one func(sender, n int) sent) *load {
	l := &load{stop: make(chan struct{})}
	for s := range senders {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.keep(one(s, n))
			}
		})
	}
	return l
}

func (l *load) keep(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, s)
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// end stops the senders after what they have under way, and returns all results.
func (l *load) end() []sent {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// atLeast waits until n more requests have ended.
func (l *load) atLeast(t *testing.T, n int) {
	t.Helper()
	from := l.count()
	eventually(t, "requests to end", func() bool { return l.count() >= from+n })
}

// onlyVerdicts fails the test for every result that is none of those allowed.
func onlyVerdicts(t *testing.T, results []sent, allowed ...caller.Verdict) {
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
		t.Errorf("%d of %d requests ended otherwise than allowed", bad, len(results))
	}
}

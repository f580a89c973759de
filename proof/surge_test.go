package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"geraniumpass/caller"
	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/setup"
)

const (
	surgeBefore  = 4 * time.Second
	surgeLasts   = 8 * time.Second
	lookupRate   = 120
	summaryRate  = 25
	surgeTimes   = 10
	lookupWithin = 400 * time.Millisecond
	sumWithin    = 3 * time.Second
)

// phase counts what became of one class in one part of the surge.
type phase struct {
	mu      sync.Mutex
	sent    int
	onTime  int
	refused int
}

func (p *phase) add(r caller.Result, within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if r.Verdict == caller.Whole && r.First <= within {
		p.onTime++
	}
	if r.Verdict == caller.NotRun {
		p.refused++
	}
}

func (p *phase) share() float64 {
	return float64(p.onTime) / float64(max(p.sent, 1))
}

// BenchmarkSurge sends lookups and summaries to real processes, the summaries ten-fold for a while, far over what the engines can do.
func BenchmarkSurge(b *testing.B) {
	plan := smallPlan()
	plan.LogLevel = "warn"
	plan.Configuration.Classes[0].Target = firstToken(lookupWithin)
	plan.Configuration.Classes[2].Target = firstToken(sumWithin)
	d, err := deploy.Start(plan, deploy.Options{Binary: binary, Dir: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	for b.Loop() {
		var lookups, summaries [3]phase
		var wg sync.WaitGroup
		for i, lasts := range []time.Duration{surgeBefore, surgeLasts, surgeBefore} {
			times := 1
			if i == 1 {
				times = surgeTimes
			}
			var senders sync.WaitGroup
			senders.Go(func() { offer(d, &wg, lasts, lookupRate, 8, "lookup", lookupWithin, &lookups[i]) })
			senders.Go(func() { offer(d, &wg, lasts, summaryRate*times, 120, "", sumWithin, &summaries[i]) })
			senders.Wait()
		}
		wg.Wait()
		for i, name := range []string{"before", "during", "after"} {
			b.ReportMetric(lookups[i].share(), "lookups-on-time-"+name)
			b.ReportMetric(summaries[i].share(), "summaries-on-time-"+name)
		}
		b.ReportMetric(float64(summaries[1].refused)/float64(summaries[1].sent), "summaries-refused-during")
	}
}

func firstToken(within time.Duration) config.Target {
	return config.Target{
		Measure: config.MeasureFirstToken,
		Within:  setup.Duration{Duration: within},
		Percent: 95,
	}
}

// offer sends streamed requests at a rate for a while, without waiting for their answers.
func offer(d *deploy.Deployment, wg *sync.WaitGroup, lasts time.Duration, perSecond, tokens int, label string, within time.Duration, p *phase) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	n := 0
	for end := time.Now().Add(lasts); time.Now().Before(end); <-t.C {
		n++
		c := user(d, n)
		c.Label = label
		prompt := fmt.Sprint(label, n)
		wg.Go(func() { p.add(c.Completion(model, prompt, tokens, true, ""), within) })
	}
}

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
	baselineDuration   = 4 * time.Second
	surgeDuration      = 8 * time.Second
	lookupsPerSecond   = 120
	summariesPerSecond = 25
	surgeFactor        = 10
	lookupTarget       = 400 * time.Millisecond
	summaryTarget      = 3 * time.Second
)

// phaseStats counts the outcomes of one class of requests in one phase of the benchmark.
type phaseStats struct {
	mu      sync.Mutex
	sent    int
	onTime  int
	refused int
}

func (p *phaseStats) add(r caller.Result, within time.Duration) {
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

func (p *phaseStats) onTimeRatio() float64 {
	return float64(p.onTime) / float64(max(p.sent, 1))
}

// BenchmarkSurge sends lookups and summaries to real processes. During the surge it sends ten times
// as many summaries, far beyond the capacity of the engines.
func BenchmarkSurge(b *testing.B) {
	plan := smallPlan()
	plan.LogLevel = "warn"
	plan.Configuration.Classes[0].Target = firstToken(lookupTarget)
	plan.Configuration.Classes[2].Target = firstToken(summaryTarget)
	d, err := deploy.Start(plan, deploy.Options{Binary: binary, Dir: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	for b.Loop() {
		var lookups, summaries [3]phaseStats
		var wg sync.WaitGroup
		for i, duration := range []time.Duration{baselineDuration, surgeDuration, baselineDuration} {
			factor := 1
			if i == 1 {
				factor = surgeFactor
			}
			var senders sync.WaitGroup
			senders.Go(func() { sendAtRate(d, &wg, duration, lookupsPerSecond, 8, "lookup", lookupTarget, &lookups[i]) })
			senders.Go(func() { sendAtRate(d, &wg, duration, summariesPerSecond*factor, 120, "", summaryTarget, &summaries[i]) })
			senders.Wait()
		}
		wg.Wait()
		for i, name := range []string{"before", "during", "after"} {
			b.ReportMetric(lookups[i].onTimeRatio(), "lookups-on-time-"+name)
			b.ReportMetric(summaries[i].onTimeRatio(), "summaries-on-time-"+name)
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

// sendAtRate sends streaming requests at a fixed rate for the given duration without waiting for
// their answers.
func sendAtRate(d *deploy.Deployment, wg *sync.WaitGroup, duration time.Duration, perSecond, tokens int, label string, within time.Duration, p *phaseStats) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); <-t.C {
		n++
		c := newCaller(d, n)
		c.Label = label
		prompt := fmt.Sprint(label, n)
		wg.Go(func() { p.add(c.Completion(model, prompt, tokens, true, ""), within) })
	}
}

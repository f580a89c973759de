package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"geraniumpass/caller"
	"geraniumpass/deploy"
	"geraniumpass/stand"
)

// booking makes a call that may not be repeated; an empty idempotency key makes it one of a kind.
func booking(d *deploy.Deployment, entry int, query, probe, idempotencyKey string) sent {
	return sent{
		probe:  probe,
		result: user(d, entry).Plain("POST", plain, "/book"+query, []byte(`{"probe":"`+probe+`"}`), probe, idempotencyKey),
	}
}

// atMostOnce checks the counts of runs that the services kept against what callers were told.
func atMostOnce(t *testing.T, d *deploy.Deployment, results []sent) {
	t.Helper()
	told := make(map[string][]caller.Verdict)
	for _, s := range results {
		told[s.probe] = append(told[s.probe], s.result.Verdict)
	}
	for probe, verdicts := range told {
		runs := d.Runs.Runs(probe)
		if runs > 1 {
			t.Errorf("%s ran %d times; callers were told %v", probe, runs, verdicts)
		}
		allNotRun := true
		for _, v := range verdicts {
			allNotRun = allNotRun && v == caller.NotRun
			if v == caller.Whole && runs != 1 {
				t.Errorf("%s was answered whole but ran %d times", probe, runs)
			}
		}
		if allNotRun && runs > 0 {
			t.Errorf("%s ran although its callers were only told that it was not run", probe)
		}
	}
}

func TestKeyedRepeatsRunOnce(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	// Four callers, through all entries, send each operation at the same time.
	l := startLoad(12, func(s, n int) sent {
		probe := fmt.Sprintf("keyed-%d-%d", s/4, n)
		return booking(d, s, "?ms=5", probe, "key "+probe)
	})
	l.atLeast(t, 300)
	results := l.end()
	onlyVerdicts(t, results, caller.Whole)
	atMostOnce(t, d, results)
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	first := booking(d, 0, "", "first", "one key")
	second := booking(d, 1, "?other=1", "second", "one key")
	if first.result.Verdict != caller.Whole || second.result.Verdict != caller.NotRun || second.result.Status != 422 {
		t.Errorf("got %+v and %+v", first.result, second.result)
	}
	// The same key of another account is another key.
	c := user(d, 0)
	c.Key = otherKey
	if r := c.Plain("POST", plain, "/book", []byte(`{"probe":"third"}`), "third", "one key"); r.Verdict != caller.Whole {
		t.Errorf("got %+v for another account's key", r)
	}
}

func TestAtMostOnceUnderFailures(t *testing.T) {
	tests := []struct {
		name string
		hurt func(t *testing.T, d *deploy.Deployment, l *load)
	}{
		{name: "agents killed while calls run", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			for i := range 3 {
				a := d.Agents[fmt.Sprintf("%s-%02d", plain, i)]
				a.Kill()
				l.atLeast(t, 10)
				if err := a.Restart(); err != nil {
					t.Fatal(err)
				}
				l.atLeast(t, 10)
			}
		}},
		{name: "an entry killed while calls run", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.Entries[1].Kill()
			l.atLeast(t, 20)
			if err := d.Entries[1].Restart(); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "the key-value service loses answers", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.KeyValue.SetFault(stand.Fault{LoseNext: 40})
			l.atLeast(t, 60)
			d.KeyValue.SetFault(stand.Fault{})
		}},
		{name: "the key-value service down", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.KeyValue.SetFault(stand.Fault{Down: true})
			l.atLeast(t, 60)
			d.KeyValue.SetFault(stand.Fault{})
		}},
		{name: "services lost with their answers", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			for _, p := range d.Plains {
				p.Server.Stop()
				l.atLeast(t, 10)
				if err := p.Server.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{name: "an agent frozen and thawed", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			a := d.Agents[plain+"-00"]
			a.Freeze()
			l.atLeast(t, 30)
			a.Thaw()
		}},
		{name: "links cut while answers are under way", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			for range 3 {
				for _, domain := range d.Plan.Domains {
					d.AgentRelays[domain][plain+"-01"].Set(stand.Break{Cut: true})
				}
				l.atLeast(t, 20)
				for _, domain := range d.Plan.Domains {
					d.AgentRelays[domain][plain+"-01"].Set(stand.Break{})
				}
				l.atLeast(t, 20)
			}
		}},
		{name: "an agent killed and the key-value service down together", hurt: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.KeyValue.SetFault(stand.Fault{Down: true})
			a := d.Agents[plain+"-02"]
			a.Kill()
			l.atLeast(t, 30)
			if err := a.Restart(); err != nil {
				t.Fatal(err)
			}
			l.atLeast(t, 10)
			d.KeyValue.SetFault(stand.Fault{LoseNext: 10})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, smallPlan(), deploy.Options{})
			l := startLoad(9, func(s, n int) sent {
				probe := fmt.Sprintf("once-%d-%d", s, n)
				if s%3 == 0 {
					return booking(d, s+n, "?ms=20", probe, "")
				}
				// Each keyed operation is sent by two callers and again by the next turn of the same sender.
				probe = fmt.Sprintf("once-keyed-%d-%d", s/2, n/2)
				return booking(d, s+n, "?ms=20", probe, "key "+probe)
			})
			l.atLeast(t, 30)
			tt.hurt(t, d, l)
			l.atLeast(t, 30)
			results := l.end()
			onlyVerdicts(t, results, caller.Whole, caller.NotRun, caller.Unknown, caller.Refused, caller.Lost)
			atMostOnce(t, d, results)
		})
	}
}

func TestOutageOfKeyValueServiceNeverSaysNotRunOfAKey(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	if s := booking(d, 0, "", "known", "known key"); s.result.Verdict != caller.Whole {
		t.Fatalf("got %+v", s.result)
	}
	d.KeyValue.SetFault(stand.Fault{Down: true})
	if s := booking(d, 1, "", "known", "known key"); s.result.Verdict != caller.Unknown || s.result.After == "" {
		t.Errorf("a repeat in an outage got %+v, want unknown and when to come back", s.result)
	}
	if s := booking(d, 1, "", "unkeyed", ""); s.result.Verdict != caller.Whole {
		t.Errorf("a call without a key got %+v in an outage, want it served", s.result)
	}
	d.KeyValue.SetFault(stand.Fault{})
	if s := booking(d, 2, "", "known", "known key"); s.result.Verdict != caller.Whole {
		t.Errorf("a repeat after the outage got %+v, want the first answer", s.result)
	}
	atMostOnce(t, d, []sent{{probe: "known"}})
}

func TestLostAnswerOfServiceIsUnknown(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	s := booking(d, 0, "?lose=1", "lost", "")
	if s.result.Verdict != caller.Unknown || d.Runs.Runs("lost") != 1 {
		t.Errorf("got %+v after %d runs, want unknown after one", s.result, d.Runs.Runs("lost"))
	}
}

// TestFrozenAgentThawsToATrueLedger fills a frozen agent's queue with calls whose callers give up, and thaws it.
func TestFrozenAgentThawsToATrueLedger(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	a := d.Agents[plain+"-00"]
	l := startLoad(24, func(s, n int) sent {
		probe := fmt.Sprintf("thaw-%d-%d", s, n)
		c := user(d, s)
		c.Timeout = 3 * time.Second
		return sent{
			probe:  probe,
			result: c.Plain("POST", plain, "/book?ms=50", []byte("x"), probe, ""),
		}
	})
	l.atLeast(t, 24)
	a.Freeze()
	l.atLeast(t, 72)
	a.Thaw()
	l.atLeast(t, 48)
	results := l.end()
	onlyVerdicts(t, results, caller.Whole, caller.NotRun, caller.Unknown)
	atMostOnce(t, d, results)
}

// TestCallsSurviveShortCuts cuts links while calls run that may not be repeated: the links' resuming brings their answers.
func TestCallsSurviveShortCuts(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	l := startLoad(9, func(s, n int) sent {
		return booking(d, s+n, "?ms=200", fmt.Sprintf("cut-%d-%d", s, n), "")
	})
	for range 4 {
		l.atLeast(t, 9)
		for _, domain := range d.Plan.Domains {
			for i := range 3 {
				r := d.AgentRelays[domain][fmt.Sprintf("%s-%02d", plain, i)]
				r.Set(stand.Break{Cut: true})
				r.Set(stand.Break{})
			}
		}
	}
	l.atLeast(t, 9)
	results := l.end()
	onlyVerdicts(t, results, caller.Whole)
	atMostOnce(t, d, results)
}

// TestLostDispatchDoesNotMoveAClaim loses a keyed dispatch with its link after a repeat has run at the claim's home.
func TestLostDispatchDoesNotMoveAClaim(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	const probe = "held"
	home := plain + "-00"
	relay := d.AgentRelays[d.Entries[0].Domain][home]
	relay.Set(stand.Break{HoldForward: true})
	first := make(chan sent, 1)
	go func() { first <- booking(d, 0, "", probe, probe) }()
	eventually(t, "the claim", func() bool {
		return d.KeyValue.Lookup("geraniumpass/claims/"+account+"/"+probe) != nil
	})
	if claim := string(d.KeyValue.Lookup("geraniumpass/claims/" + account + "/" + probe)); !strings.Contains(claim, home) {
		t.Fatalf("claim %s is not of the entry's own domain", claim)
	}
	if s := booking(d, 1, "", probe, probe); s.result.Verdict != caller.Whole {
		t.Fatalf("the repeat got %+v", s.result)
	}
	relay.Set(stand.Break{Cut: true})
	relay.Set(stand.Break{})
	if s := <-first; s.result.Verdict != caller.Whole {
		t.Errorf("the first got %+v, want the answer of the one run", s.result)
	}
	if n := d.Runs.Runs(probe); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

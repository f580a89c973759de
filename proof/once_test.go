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

// postBooking sends a non-idempotent call. With an empty idempotency key the call cannot be
// deduplicated.
func postBooking(d *deploy.Deployment, entry int, query, probe, idempotencyKey string) sentRequest {
	return sentRequest{
		probe:  probe,
		result: newCaller(d, entry).Plain("POST", plain, "/book"+query, []byte(`{"probe":"`+probe+`"}`), probe, idempotencyKey),
	}
}

// checkAtMostOnce compares the run counts recorded by the services with the verdicts that callers
// received.
func checkAtMostOnce(t *testing.T, d *deploy.Deployment, results []sentRequest) {
	t.Helper()
	verdictsByProbe := make(map[string][]caller.Verdict)
	for _, s := range results {
		verdictsByProbe[s.probe] = append(verdictsByProbe[s.probe], s.result.Verdict)
	}
	for probe, verdicts := range verdictsByProbe {
		runs := d.Runs.Runs(probe)
		if runs > 1 {
			t.Errorf("%s ran %d times, want at most 1; verdicts %v", probe, runs, verdicts)
		}
		allNotRun := true
		for _, v := range verdicts {
			allNotRun = allNotRun && v == caller.NotRun
			if v == caller.Whole && runs != 1 {
				t.Errorf("%s was answered whole but ran %d times, want 1", probe, runs)
			}
		}
		if allNotRun && runs > 0 {
			t.Errorf("%s ran although all its callers received the verdict not_run", probe)
		}
	}
}

func TestKeyedRepeatsRunOnce(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	// Four callers, spread over all entries, send each operation concurrently.
	l := startLoad(12, func(s, n int) sentRequest {
		probe := fmt.Sprintf("keyed-%d-%d", s/4, n)
		return postBooking(d, s, "?ms=5", probe, "key "+probe)
	})
	l.waitForMore(t, 300)
	results := l.stopAndWait()
	checkVerdicts(t, results, caller.Whole)
	checkAtMostOnce(t, d, results)
}

func TestReusedIdempotencyKeyIsRejected(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	first := postBooking(d, 0, "", "first", "one key")
	second := postBooking(d, 1, "?other=1", "second", "one key")
	if first.result.Verdict != caller.Whole || second.result.Verdict != caller.NotRun || second.result.Status != 422 {
		t.Errorf("got %+v and %+v", first.result, second.result)
	}
	// Idempotency keys are scoped to the client account.
	c := newCaller(d, 0)
	c.Key = otherKey
	if r := c.Plain("POST", plain, "/book", []byte(`{"probe":"third"}`), "third", "one key"); r.Verdict != caller.Whole {
		t.Errorf("got %+v for another account's key", r)
	}
}

func TestAtMostOnceUnderFailures(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(t *testing.T, d *deploy.Deployment, l *load)
	}{
		{name: "agents killed while calls run", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			for i := range 3 {
				a := d.Agents[fmt.Sprintf("%s-%02d", plain, i)]
				a.Kill()
				l.waitForMore(t, 10)
				if err := a.Restart(); err != nil {
					t.Fatal(err)
				}
				l.waitForMore(t, 10)
			}
		}},
		{name: "an entry killed while calls run", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.Entries[1].Kill()
			l.waitForMore(t, 20)
			if err := d.Entries[1].Restart(); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "the key-value service loses answers", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.KeyValue.SetFault(stand.Fault{LoseNext: 40})
			l.waitForMore(t, 60)
			d.KeyValue.SetFault(stand.Fault{})
		}},
		{name: "the key-value service down", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.KeyValue.SetFault(stand.Fault{Down: true})
			l.waitForMore(t, 60)
			d.KeyValue.SetFault(stand.Fault{})
		}},
		{name: "services lost with their answers", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			for _, p := range d.Plains {
				p.Server.Stop()
				l.waitForMore(t, 10)
				if err := p.Server.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{name: "an agent frozen and thawed", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			a := d.Agents[plain+"-00"]
			a.Suspend()
			l.waitForMore(t, 30)
			a.Resume()
		}},
		{name: "links cut while answers are under way", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			for range 3 {
				for _, domain := range d.Plan.Domains {
					d.AgentRelays[domain][plain+"-01"].Set(stand.RelayFault{Cut: true})
				}
				l.waitForMore(t, 20)
				for _, domain := range d.Plan.Domains {
					d.AgentRelays[domain][plain+"-01"].Set(stand.RelayFault{})
				}
				l.waitForMore(t, 20)
			}
		}},
		{name: "an agent killed and the key-value service down together", injectFault: func(t *testing.T, d *deploy.Deployment, l *load) {
			d.KeyValue.SetFault(stand.Fault{Down: true})
			a := d.Agents[plain+"-02"]
			a.Kill()
			l.waitForMore(t, 30)
			if err := a.Restart(); err != nil {
				t.Fatal(err)
			}
			l.waitForMore(t, 10)
			d.KeyValue.SetFault(stand.Fault{LoseNext: 10})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, smallPlan(), deploy.Options{})
			l := startLoad(9, func(s, n int) sentRequest {
				probe := fmt.Sprintf("once-%d-%d", s, n)
				if s%3 == 0 {
					return postBooking(d, s+n, "?ms=20", probe, "")
				}
				// A sender sends each keyed operation in two consecutive iterations; senders with
				// equal s/2 share it.
				probe = fmt.Sprintf("once-keyed-%d-%d", s/2, n/2)
				return postBooking(d, s+n, "?ms=20", probe, "key "+probe)
			})
			l.waitForMore(t, 30)
			tt.injectFault(t, d, l)
			l.waitForMore(t, 30)
			results := l.stopAndWait()
			checkVerdicts(t, results, caller.Whole, caller.NotRun, caller.Unknown, caller.Refused, caller.Lost)
			checkAtMostOnce(t, d, results)
		})
	}
}

func TestKeyValueOutageNeverReportsKeyedCallNotRun(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	if s := postBooking(d, 0, "", "known", "known key"); s.result.Verdict != caller.Whole {
		t.Fatalf("got %+v", s.result)
	}
	d.KeyValue.SetFault(stand.Fault{Down: true})
	if s := postBooking(d, 1, "", "known", "known key"); s.result.Verdict != caller.Unknown || s.result.RetryAfter == "" {
		t.Errorf("repeated request during the outage got %+v, want unknown with Retry-After", s.result)
	}
	if s := postBooking(d, 1, "", "unkeyed", ""); s.result.Verdict != caller.Whole {
		t.Errorf("call without an idempotency key got %+v during the outage, want whole", s.result)
	}
	d.KeyValue.SetFault(stand.Fault{})
	if s := postBooking(d, 2, "", "known", "known key"); s.result.Verdict != caller.Whole {
		t.Errorf("repeated request after the outage got %+v, want the first answer", s.result)
	}
	checkAtMostOnce(t, d, []sentRequest{{probe: "known"}})
}

func TestLostServiceAnswerIsUnknown(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	s := postBooking(d, 0, "?lose=1", "lost", "")
	if s.result.Verdict != caller.Unknown || d.Runs.Runs("lost") != 1 {
		t.Errorf("got %+v after %d runs, want unknown after 1", s.result, d.Runs.Runs("lost"))
	}
}

// TestThawedAgentLedgerIsAccurate queues calls with a short timeout at a frozen agent, so that
// their callers may time out, then thaws the agent. No call may run twice, nor run after it was
// reported as not run.
func TestThawedAgentLedgerIsAccurate(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	a := d.Agents[plain+"-00"]
	l := startLoad(24, func(s, n int) sentRequest {
		probe := fmt.Sprintf("thaw-%d-%d", s, n)
		c := newCaller(d, s)
		c.Timeout = 3 * time.Second
		return sentRequest{
			probe:  probe,
			result: c.Plain("POST", plain, "/book?ms=50", []byte("x"), probe, ""),
		}
	})
	l.waitForMore(t, 24)
	a.Suspend()
	l.waitForMore(t, 72)
	a.Resume()
	l.waitForMore(t, 48)
	results := l.stopAndWait()
	checkVerdicts(t, results, caller.Whole, caller.NotRun, caller.Unknown)
	checkAtMostOnce(t, d, results)
}

// TestCallsSurviveBriefLinkCuts cuts links briefly while non-retryable calls are in flight. Their
// answers must arrive when the links resume.
func TestCallsSurviveBriefLinkCuts(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	l := startLoad(9, func(s, n int) sentRequest {
		return postBooking(d, s+n, "?ms=200", fmt.Sprintf("cut-%d-%d", s, n), "")
	})
	for range 4 {
		l.waitForMore(t, 9)
		for _, domain := range d.Plan.Domains {
			for i := range 3 {
				r := d.AgentRelays[domain][fmt.Sprintf("%s-%02d", plain, i)]
				r.Set(stand.RelayFault{Cut: true})
				r.Set(stand.RelayFault{})
			}
		}
	}
	l.waitForMore(t, 9)
	results := l.stopAndWait()
	checkVerdicts(t, results, caller.Whole)
	checkAtMostOnce(t, d, results)
}

// TestLostDispatchDoesNotMoveClaim loses a keyed dispatch in a link cut after a repeated request
// has run at the instance that holds the claim. Moving the claim would run the operation twice.
func TestLostDispatchDoesNotMoveClaim(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	const probe = "held"
	home := plain + "-00"
	relay := d.AgentRelays[d.Entries[0].Domain][home]
	relay.Set(stand.RelayFault{HoldForward: true})
	first := make(chan sentRequest, 1)
	go func() { first <- postBooking(d, 0, "", probe, probe) }()
	eventually(t, "the claim to be stored", func() bool {
		return d.KeyValue.Lookup("geraniumpass/claims/"+account+"/"+probe) != nil
	})
	if claim := string(d.KeyValue.Lookup("geraniumpass/claims/" + account + "/" + probe)); !strings.Contains(claim, home) {
		t.Fatalf("claim %s does not name the instance in the failure domain of the entry", claim)
	}
	if s := postBooking(d, 1, "", probe, probe); s.result.Verdict != caller.Whole {
		t.Fatalf("repeated request got %+v", s.result)
	}
	relay.Set(stand.RelayFault{Cut: true})
	relay.Set(stand.RelayFault{})
	if s := <-first; s.result.Verdict != caller.Whole {
		t.Errorf("first request got %+v, want the answer of the single run", s.result)
	}
	if n := d.Runs.Runs(probe); n != 1 {
		t.Errorf("operation ran %d times, want 1", n)
	}
}

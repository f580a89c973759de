package proof

import (
	"fmt"
	"testing"

	"geraniumpass/caller"
	"geraniumpass/deploy"
	"geraniumpass/stand"
)

const streamTokens = 60

func sendStream(d *deploy.Deployment, sender, n int) sentRequest {
	probe := fmt.Sprintf("stream-%d-%d", sender, n)
	return sentRequest{
		probe:  probe,
		result: newCaller(d, sender+n).Completion(model, "study "+probe, streamTokens, true, probe),
	}
}

func TestStreamsSurviveAgentKilled(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	l := startLoad(12, func(s, n int) sentRequest { return sendStream(d, s, n) })
	l.waitForMore(t, 12)
	a := d.Agents[model+"-00"]
	eventually(t, "streams to run at the engine of the agent", func() bool { return d.Engines[model+"-00"].Running() > 0 })
	a.Kill()
	l.waitForMore(t, 24)
	if err := a.Restart(); err != nil {
		t.Fatal(err)
	}
	l.waitForMore(t, 24)
	checkVerdicts(t, l.stopAndWait(), caller.Whole)
}

func TestStreamsSurviveEngineKilled(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	l := startLoad(12, func(s, n int) sentRequest { return sendStream(d, s, n) })
	l.waitForMore(t, 12)
	e := d.Engines[model+"-01"]
	eventually(t, "streams to run at the engine", func() bool { return e.Running() > 0 })
	e.Server.Stop()
	l.waitForMore(t, 24)
	if err := e.Server.Start(); err != nil {
		t.Fatal(err)
	}
	l.waitForMore(t, 24)
	checkVerdicts(t, l.stopAndWait(), caller.Whole)
}

func TestStreamsSurviveLinksCut(t *testing.T) {
	breaks := []struct {
		name string
		brk  stand.RelayFault
	}{
		{name: "cut", brk: stand.RelayFault{Cut: true}},
		{name: "towards the agent", brk: stand.RelayFault{HoldForward: true}},
		{name: "towards the entry", brk: stand.RelayFault{HoldBack: true}},
	}
	d := launch(t, smallPlan(), deploy.Options{})
	for _, tt := range breaks {
		t.Run(tt.name, func(t *testing.T) {
			l := startLoad(9, func(s, n int) sentRequest { return sendStream(d, s, n) })
			l.waitForMore(t, 9)
			for _, domain := range d.Plan.Domains {
				d.AgentRelays[domain][model+"-02"].Set(tt.brk)
			}
			l.waitForMore(t, 18)
			for _, domain := range d.Plan.Domains {
				d.AgentRelays[domain][model+"-02"].Set(stand.RelayFault{})
			}
			l.waitForMore(t, 18)
			checkVerdicts(t, l.stopAndWait(), caller.Whole)
			for i := range d.Entries {
				if err := d.WaitUsable(i, len(d.Agents)); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

func TestAnswersMatchTheirRequests(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	l := startLoad(16, func(s, n int) sentRequest {
		probe := fmt.Sprintf("own-%d-%d", s, n)
		c := newCaller(d, s+n)
		if s%2 == 1 {
			c.Key = otherKey
		}
		if n%2 == 0 {
			// All senders use the same body, so only the probe header distinguishes the answers.
			return sentRequest{
				probe:  probe,
				result: c.Plain("POST", plain, "/same?ms=3", []byte("like body"), probe, ""),
			}
		}
		return sentRequest{
			probe:  probe,
			result: c.Plain("GET", plain, fmt.Sprintf("/bulk?size=%d", 200_000+n), nil, probe, ""),
		}
	})
	l.waitForMore(t, 300)
	checkVerdicts(t, l.stopAndWait(), caller.Whole)
}

package proof

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/stand"
)

const (
	groupName             = "geranium-lm"
	groupExperts          = 16
	unlimitedMovesPerHour = 1_000_000
)

// groupPlan returns the small plan with its engines as the ranks of one group, whose low skew
// threshold and high move limit make map switches as frequent as possible.
func groupPlan(checksFence bool) *deploy.Plan {
	p := smallPlan()
	s := &p.Services[0]
	s.Group = groupName
	s.Experts = groupExperts
	s.Slots = 8
	s.ChecksFence = checksFence
	p.Configuration.Groups = []config.Group{{
		Name:         groupName,
		Skew:         0.02,
		MovesPerHour: unlimitedMovesPerHour,
	}}
	return p
}

// driftPopularity changes the popularity of experts until the test ends, so that map switches keep
// occurring.
func driftPopularity(t *testing.T, g *stand.Group) {
	t.Helper()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		random := rand.New(rand.NewPCG(11, 12))
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			p := make([]float64, groupExperts)
			for i := range p {
				p[i] = 1 + 1000*random.ExpFloat64()
			}
			g.SetPopularity(p)
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// leaderOf returns the entry that leads the group, or nil if none is found. It skips frozen and
// stopped entries.
func leaderOf(d *deploy.Deployment, frozen ...*deploy.Process) *deploy.Process {
	for i, p := range d.Entries {
		if !p.Running() || slices.Contains(frozen, p) {
			continue
		}
		s, err := d.Operator(i).Status()
		if err != nil {
			continue
		}
		for _, g := range s.Groups {
			if g.Group == groupName && g.Leading {
				return p
			}
		}
	}
	return nil
}

func mapVersion(g *stand.Group) uint64 {
	return g.Ranks()[0].State().Version
}

// waitForSwitches waits until the group has completed n more map switches.
func waitForSwitches(t *testing.T, g *stand.Group, n int) {
	t.Helper()
	for range n {
		from := mapVersion(g)
		eventually(t, "a map switch", func() bool { return mapVersion(g) > from })
	}
}

// waitForMidSwitch waits until a rank has accepted the step cap of a map switch in progress.
func waitForMidSwitch(t *testing.T, g *stand.Group) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	for time.Now().Before(end) {
		for _, r := range g.Ranks() {
			if r.State().Capped {
				return
			}
		}
	}
	t.Fatal("no rank accepted a step cap before the timeout")
}

func checkSingleMap(t *testing.T, g *stand.Group) {
	t.Helper()
	if n := g.Violations(); n > 0 {
		t.Errorf("%d steps ran on more than one map", n)
	}
}

func TestOneMapUnderFailures(t *testing.T) {
	tests := []struct {
		name        string
		fence       bool
		injectFault func(t *testing.T, d *deploy.Deployment, g *stand.Group)
	}{
		{name: "nothing", injectFault: func(*testing.T, *deploy.Deployment, *stand.Group) {}},
		{name: "leader killed in mid-switch", injectFault: func(t *testing.T, d *deploy.Deployment, g *stand.Group) {
			p := leaderOf(d)
			waitForMidSwitch(t, g)
			p.Kill()
			if err := p.Restart(); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "leader frozen until its lease has lapsed, then going on", injectFault: func(t *testing.T, d *deploy.Deployment, g *stand.Group) {
			p := leaderOf(d)
			waitForMidSwitch(t, g)
			p.Suspend()
			eventually(t, "another leader", func() bool {
				return leaderOf(d, p) != nil
			})
			p.Resume()
		}},
		{name: "platform outage in mid-switch", injectFault: func(t *testing.T, d *deploy.Deployment, g *stand.Group) {
			waitForMidSwitch(t, g)
			d.KeyValue.SetFault(stand.Fault{Down: true})
			step := g.Step()
			eventually(t, "the group to run 500 steps during the outage", func() bool { return g.Step() > step+500 })
			d.KeyValue.SetFault(stand.Fault{})
		}},
		{name: "leases ended while their holder is at work, and the next holder's answer lost", injectFault: func(t *testing.T, d *deploy.Deployment, g *stand.Group) {
			waitForMidSwitch(t, g)
			d.KeyValue.ExpireLeases(time.Minute)
			d.KeyValue.SetFault(stand.Fault{LoseNext: 3})
		}},
		{name: "agents restarted in mid-switch", injectFault: func(t *testing.T, d *deploy.Deployment, g *stand.Group) {
			for _, id := range []string{model + "-00", model + "-01"} {
				waitForMidSwitch(t, g)
				a := d.Agents[id]
				a.Kill()
				if err := a.Restart(); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{name: "orders and replies held in one direction", fence: true, injectFault: func(t *testing.T, d *deploy.Deployment, g *stand.Group) {
			domain := leaderOf(d).Domain
			for _, fault := range []stand.RelayFault{{HoldForward: true}, {HoldBack: true}, {Delay: 20 * time.Millisecond}} {
				waitForMidSwitch(t, g)
				d.AgentRelays[domain][model+"-02"].Set(fault)
				step := g.Step()
				eventually(t, "the group to step or stall", func() bool { return g.Step() > step || g.Stalled() > 0 })
				d.AgentRelays[domain][model+"-02"].Set(stand.RelayFault{})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, groupPlan(tt.fence), deploy.Options{})
			g := d.Groups[groupName]
			driftPopularity(t, g)
			waitForSwitches(t, g, 1)
			tt.injectFault(t, d, g)
			waitForSwitches(t, g, 2)
			checkSingleMap(t, g)
		})
	}
}

// TestLeaderReachesRanksOutsideItsSubset limits every entry to fewer links than there are
// upstreams, so that a leader must also reach ranks outside the subset that it links to.
func TestLeaderReachesRanksOutsideItsSubset(t *testing.T) {
	p := groupPlan(false)
	p.MaxLinks = 4
	d := launch(t, p, deploy.Options{})
	g := d.Groups[groupName]
	driftPopularity(t, g)
	waitForSwitches(t, g, 1)
	checkSingleMap(t, g)
}

package proof

import (
	"fmt"
	"testing"

	"geraniumpass/caller"
	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/entry"
	"geraniumpass/stand"
)

// usedBy returns true while an entry would give the instance new work.
func usedBy(d *deploy.Deployment, i int, id string) bool {
	s, err := d.Operator(i).Status()
	if err != nil {
		return true
	}
	for _, u := range s.Upstreams {
		if u.ID == id {
			return u.Usable
		}
	}
	return false
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	const id = plain + "-01"
	tests := []struct {
		name  string
		leave func(t *testing.T, d *deploy.Deployment)
	}{
		{name: "said by the instance list", leave: func(_ *testing.T, d *deploy.Deployment) {
			d.SetLeaving(id, true)
		}},
		{name: "said by the upstream while the list is stale", leave: func(_ *testing.T, d *deploy.Deployment) {
			d.SetListFault(stand.Fault{Stale: true})
			d.Plains[id].SetLeaving(true)
		}},
		{name: "said by the list while links towards entries are held", leave: func(_ *testing.T, d *deploy.Deployment) {
			for _, domain := range d.Plan.Domains[1:] {
				d.AgentRelays[domain][id].Set(stand.Break{HoldBack: true})
			}
			d.SetLeaving(id, true)
		}},
		{name: "said by an operator while the list is down", leave: func(t *testing.T, d *deploy.Deployment) {
			d.SetListFault(stand.Fault{Down: true})
			change(t, d, 1, config.Op{
				Kind: config.OpDrain,
				Name: id,
			})
		}},
		{name: "said by the list with an entry that starts meanwhile", leave: func(t *testing.T, d *deploy.Deployment) {
			d.Entries[2].Kill()
			d.SetLeaving(id, true)
			if err := d.Entries[2].Restart(); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, smallPlan(), deploy.Options{})
			l := startLoad(9, func(s, n int) sent {
				return booking(d, s+n, "?ms=5", fmt.Sprintf("leave-%d-%d", s, n), "")
			})
			l.atLeast(t, 30)
			tt.leave(t, d)
			eventually(t, "all entries to stop using it", func() bool {
				for i := range d.Entries {
					if usedBy(d, i, id) {
						return false
					}
				}
				return true
			})
			// What was dispatched before may still end there; after a round of requests nothing more may begin.
			l.atLeast(t, 100)
			calls := d.Plains[id].Calls()
			l.atLeast(t, 200)
			if now := d.Plains[id].Calls(); now != calls {
				t.Errorf("%d calls began at a leaving upstream", now-calls)
			}
			results := l.end()
			// An entry that has just started refuses until it holds a configuration.
			onlyVerdicts(t, results, caller.Whole, caller.Refused, caller.Lost, caller.Unknown, caller.NotRun)
			atMostOnce(t, d, results)
		})
	}
}

// change makes an operator's change through an entry and returns its revision.
func change(t *testing.T, d *deploy.Deployment, i int, ops ...config.Op) uint64 {
	t.Helper()
	var reply entry.ChangeReply
	eventually(t, "a change to be accepted", func() bool {
		doc, err := d.Operator(i).Config()
		if err != nil {
			return false
		}
		reply, err = d.Operator(i).Change(entry.ChangeRequest{
			ID:   fmt.Sprintf("%s-%d-%d", t.Name(), i, doc.Revision),
			Base: doc.Revision,
			Who:  "test",
			Ops:  ops,
		})
		return err == nil
	})
	return reply.Revision
}

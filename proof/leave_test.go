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

// isUsable reports whether entry i may dispatch new requests to the instance. It returns true if
// the status of the entry is not available.
func isUsable(d *deploy.Deployment, i int, id string) bool {
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
				d.AgentRelays[domain][id].Set(stand.RelayFault{HoldBack: true})
			}
			d.SetLeaving(id, true)
		}},
		{name: "said by an operator while the list is down", leave: func(t *testing.T, d *deploy.Deployment) {
			d.SetListFault(stand.Fault{Down: true})
			applyChange(t, d, 1, config.Op{
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
			l := startLoad(9, func(s, n int) sentRequest {
				return postBooking(d, s+n, "?ms=5", fmt.Sprintf("leave-%d-%d", s, n), "")
			})
			l.waitForMore(t, 30)
			tt.leave(t, d)
			eventually(t, "all entries to stop dispatching to the leaving instance", func() bool {
				for i := range d.Entries {
					if isUsable(d, i, id) {
						return false
					}
				}
				return true
			})
			// Requests dispatched earlier may still complete there. Once 100 more requests have
			// completed, no new call may begin.
			l.waitForMore(t, 100)
			calls := d.Plains[id].Calls()
			l.waitForMore(t, 200)
			if now := d.Plains[id].Calls(); now != calls {
				t.Errorf("%d calls began at a leaving upstream", now-calls)
			}
			results := l.stopAndWait()
			// A newly started entry refuses requests until it has a configuration.
			checkVerdicts(t, results, caller.Whole, caller.Refused, caller.Lost, caller.Unknown, caller.NotRun)
			checkAtMostOnce(t, d, results)
		})
	}
}

// applyChange applies configuration operations through entry i and returns the accepted revision.
func applyChange(t *testing.T, d *deploy.Deployment, i int, ops ...config.Op) uint64 {
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

package chaos

import (
	"fmt"
	"time"

	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/entry"
)

// acceptedChange is a configuration change that an entry has accepted.
type acceptedChange struct {
	id       string
	revision uint64
}

const (
	changeInterval  = 150 * time.Millisecond
	convergeTimeout = 40 * time.Second
)

// changeTargets changes a target periodically and records the accepted changes.
func (r *run) changeTargets() {
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(changeInterval):
		}
		c := r.d.Operator(n % len(r.d.Entries))
		doc, err := c.Config()
		if err != nil || len(doc.Classes) == 0 {
			continue
		}
		target := doc.Classes[0].Target
		target.Within.Duration = 2*time.Second + time.Duration(n)*time.Millisecond
		id := fmt.Sprintf("soak-change-%d", n)
		reply, err := c.Change(entry.ChangeRequest{
			ID:   id,
			Base: doc.Revision,
			Who:  "soak",
			Ops: []config.Op{{
				Kind:   config.OpSetTarget,
				Name:   doc.Classes[0].Name,
				Target: &target,
			}},
		})
		if err == nil && reply.Accepted {
			r.mu.Lock()
			r.accepted = append(r.accepted, acceptedChange{
				id:       id,
				revision: reply.Revision,
			})
			r.mu.Unlock()
		}
	}
}

// checkAuditTrail waits until every entry has the newest accepted revision and checks that the
// audit trail contains every accepted change.
func (r *run) checkAuditTrail() {
	newest := uint64(0)
	for _, a := range r.accepted {
		newest = max(newest, a.revision)
	}
	err := deploy.Until("every entry to have the newest accepted revision", convergeTimeout, func() bool {
		for i := range r.d.Entries {
			doc, err := r.d.Operator(i).Config()
			if err != nil || doc.Revision < newest {
				return false
			}
		}
		return true
	})
	if err != nil {
		r.addFinding("%v", err)
		return
	}
	records, err := r.d.Operator(0).Audit(1)
	if err != nil {
		r.addFinding("reading the audit trail: %v", err)
		return
	}
	revisions := make(map[string]uint64, len(records))
	for _, rec := range records {
		revisions[rec.ID] = rec.Revision
	}
	for _, a := range r.accepted {
		if revisions[a.id] != a.revision {
			r.addFinding("change %s was accepted as revision %d but the audit trail has it at revision %d", a.id, a.revision, revisions[a.id])
		}
	}
}

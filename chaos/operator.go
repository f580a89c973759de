package chaos

import (
	"fmt"
	"time"

	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/entry"
)

// acceptedChange is a change that an entry has called accepted.
type acceptedChange struct {
	id       string
	revision uint64
}

const (
	changePause = 150 * time.Millisecond
	wholeTime   = 40 * time.Second
)

// operate changes a target again and again and remembers what was accepted.
func (r *run) operate() {
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(changePause):
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

// checkTrail waits until every entry holds the newest accepted revision and looks for every accepted change in the trail.
func (r *run) checkTrail() {
	newest := uint64(0)
	for _, a := range r.accepted {
		newest = max(newest, a.revision)
	}
	err := deploy.Until("every entry to hold the newest accepted revision", wholeTime, func() bool {
		for i := range r.d.Entries {
			doc, err := r.d.Operator(i).Config()
			if err != nil || doc.Revision < newest {
				return false
			}
		}
		return true
	})
	if err != nil {
		r.finding("%v", err)
		return
	}
	records, err := r.d.Operator(0).Audit(1)
	if err != nil {
		r.finding("trail: %v", err)
		return
	}
	at := make(map[string]uint64, len(records))
	for _, rec := range records {
		at[rec.ID] = rec.Revision
	}
	for _, a := range r.accepted {
		if at[a.id] != a.revision {
			r.finding("change %s was accepted as revision %d but stands at %d", a.id, a.revision, at[a.id])
		}
	}
}

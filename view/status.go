package view

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"geraniumpass/plan"
	"geraniumpass/store"
)

// maxRefused and maxRefusedBytes bound how many refused parts are kept, and the text of each.
const (
	maxRefused      = 10
	maxRefusedBytes = 200
)

// StatusPath is where a gateway serves its Status at its ready address.
const StatusPath = "/status"

// Status is what a process has in force, and what it knows to exist beyond that.
type Status struct {
	ID string `json:"id"`
	// Version is that of the routing table.
	Version InForce `json:"version"`
	// Revision is that of the store's state in Era, and the highest one that is known in KnownEra.
	Revision InForce `json:"revision"`
	Era      int64   `json:"era"`
	KnownEra int64   `json:"known_era"`
	// Confirmed reports whether the state was ever known to be the store's, the last time UnconfirmedMs ago.
	Confirmed     bool  `json:"confirmed"`
	UnconfirmedMs int64 `json:"unconfirmed_ms"`
	// Refused are the parts of the newest manifest that this process can't serve.
	Refused []string `json:"refused"`
}

// InForce is a number that only increases, as far as it is in force and known.
type InForce struct {
	// Number is in force since At, for AgeMs; it is zero if none is.
	Number int64     `json:"number"`
	At     time.Time `json:"at,omitzero"`
	AgeMs  int64     `json:"age_ms"`
	From   Origin    `json:"from"`
	// Known is the highest number that is known to exist.
	Known     int64  `json:"known"`
	KnownFrom Origin `json:"known_from"`
	// Backlog is how many numbers are known beyond the one in force, the first of them for BacklogMs.
	Backlog   int64 `json:"backlog"`
	BacklogMs int64 `json:"backlog_ms"`
}

// tracker records what is in force and what is known. Its own lock keeps notices and readers from
// waiting for a change that is being merged.
type tracker struct {
	mu       sync.Mutex
	version  progress
	revision progress
	refused  []string
	// from is the origin of the change that is being merged.
	from Origin
}

// begin records that a change is about to be merged. At is when this process first heard of it.
func (t *tracker) begin(rev int64, table *plan.Table, at time.Time, from Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from = from
	t.revision.notice(rev, at, from)
	if table != nil {
		t.version.notice(table.Version, at, from)
	}
}

// beginChange records that a change from the store is about to be merged.
func (v *Cache) beginChange(c Change, now time.Time) {
	from := Origin{Via: ViaWatch}
	if c.Full {
		from.Via = ViaLoad
	}
	noticed := now
	if !c.Noticed.IsZero() {
		noticed = c.Noticed
	}
	v.status.begin(c.Rev, c.Table, noticed, from)
	v.Notice(c.Beyond, 0, from)
	if v.isNewer(c.Table) || len(c.Refused) > 0 && c.Rev >= v.rev {
		v.setRefused(c.Refused)
	}
}

// beginUpdate records that the state of a peer is about to be merged.
func (v *Cache) beginUpdate(rev int64, table *plan.Table, peer string, refused []string) {
	v.status.begin(rev, table, v.clock.Now(), Origin{
		Via:  ViaPeer,
		Peer: peer,
	})
	if v.isNewer(table) || rev > v.rev {
		v.setRefused(refused)
	}
}

// isNewer reports whether a table would replace the one in force.
func (v *Cache) isNewer(t *plan.Table) bool {
	return t != nil && (v.table == nil || t.Version > v.table.Version)
}

// publish records that a snapshot is in force.
func (t *tracker) publish(s *Snapshot, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	countDelays(revisionDelays, t.revision.advance(s.Rev, now, t.from))
	if s.Table != nil {
		countDelays(versionDelays, t.version.advance(s.Table.Version, now, t.from))
	}
}

// Notice records that a peer or the store has said that a revision and a version of the routing table
// exist. Either is zero if nothing was said of it.
func (v *Cache) Notice(rev, version int64, from Origin) {
	v.status.mu.Lock()
	defer v.status.mu.Unlock()
	now := v.clock.Now()
	v.status.revision.notice(rev, now, from)
	v.status.version.notice(version, now, from)
}

// setRefused records which parts of the newest manifest this process can't serve.
func (v *Cache) setRefused(parts []string) {
	v.status.mu.Lock()
	defer v.status.mu.Unlock()
	v.status.refused = clipParts(parts)
}

// Refused returns the parts of the newest manifest that this process can't serve.
func (v *Cache) Refused() []string {
	v.status.mu.Lock()
	defer v.status.mu.Unlock()
	return v.status.refused
}

// clipParts bounds what is kept of the reasons, which quote the manifest.
func clipParts(parts []string) []string {
	out := make([]string, 0, min(len(parts), maxRefused+1))
	for i, text := range parts {
		if i == maxRefused {
			return append(out, fmt.Sprintf("and %d more", len(parts)-maxRefused))
		}
		out = append(out, strings.ToValidUTF8(text[:min(len(text), maxRefusedBytes)], ""))
	}
	return out
}

// Status returns what is in force now, and what is known beyond that.
func (v *Cache) Status() Status {
	age, confirmed := v.Unconfirmed()
	t := &v.status
	t.mu.Lock()
	defer t.mu.Unlock()
	now := v.clock.Now()
	s := Status{
		ID:        v.name,
		Version:   t.version.status(now),
		Revision:  t.revision.status(now),
		Era:       store.EraOf(t.revision.inForce),
		KnownEra:  store.EraOf(t.revision.known),
		Confirmed: confirmed,
		Refused:   append([]string{}, t.refused...),
	}
	s.Revision.Number = store.NumberOf(t.revision.inForce)
	s.Revision.Known = store.NumberOf(t.revision.known)
	if s.KnownEra > s.Era {
		// A copy gives out its numbers again, so all of those of its era are new here.
		s.Revision.Backlog = max(1, s.Revision.Known)
	}
	if confirmed {
		s.UnconfirmedMs = age.Milliseconds()
	}
	return s
}

package peer

import (
	"time"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/plan"
	"geraniumpass/proto"
	"geraniumpass/store"
	"geraniumpass/view"
)

// revision returns the revision of an update.
func revision(n *proto.Update) int64 {
	return store.Revision(n.Era, n.Rev)
}

// knownRevision returns the revision of a requester. Builds that don't know eras compare numbers only.
func knownRevision(ask *proto.UpdateRequest, own *view.Snapshot) int64 {
	if ask.KnowsEra {
		return store.Revision(ask.Era, ask.Rev)
	}
	return store.Revision(store.EraOf(own.Rev), ask.Rev)
}

// snapshotUpdate returns the lists of a snapshot if the peer lacks them.
func (s *Server) snapshotUpdate(snap *view.Snapshot, ask *proto.UpdateRequest) *proto.Update {
	n := &proto.Update{
		Rev:   store.NumberOf(snap.Rev),
		Era:   store.EraOf(snap.Rev),
		Newer: snap.Rev > knownRevision(ask, snap),
	}
	// The long lists are sent only to peers that lack them, because terminations arrive one by one and
	// each triggers an update.
	if n.Newer {
		n.Packed = ask.AcceptsDelta
		n.Instances = s.instances.encode(snap, snap.Instances, n.Packed)
		n.Members = snap.Members
		n.Lapsed, n.LapsedForMs = snap.Lapsed, lapsedFor(snap.LapsedUntil)
		n.Paces = snap.Paces
		n.Evacuated = lo.Keys(snap.Evacuated)
	}
	return n
}

// deltaUpdate returns what changed after the peer's revision.
func deltaUpdate(d view.Delta) *proto.Update {
	n := &proto.Update{
		Rev:   store.NumberOf(d.Change.Rev),
		Era:   store.EraOf(d.Change.Rev),
		Newer: d.Change.Rev > d.After,
	}
	if n.Newer {
		n.Delta, n.After = true, store.NumberOf(d.After)
		n.Instances = lo.Must(proto.Marshal(d.Change.Put))
		n.InstancesRemoved = d.Change.Removed
		n.Members, n.MembersRemoved = d.Change.Members, d.Change.MembersRemoved
		n.Lapsed, n.LapsedForMs = d.Lapsed, lapsedFor(d.LapsedUntil)
		n.Paces = d.Change.Paces
		n.AllEvacuated = d.Change.Operator
		n.Evacuated = lo.Keys(lo.PickBy(d.Change.Evacuated, func(_ string, on bool) bool { return on }))
		n.EvacuationsEnded = lo.Keys(lo.OmitBy(d.Change.Evacuated, func(_ string, on bool) bool { return on }))
	}
	return n
}

// earlyEvacuations returns the evacuations of a snapshot if they are known up to a later revision than the rest of
// it and than the peer knows them, nil otherwise. n is the update that they are sent with.
func earlyEvacuations(snap *view.Snapshot, ask *proto.UpdateRequest, n *proto.Update) *proto.Evacuations {
	known := knownRevision(ask, snap)
	if n.Newer {
		known = max(known, revision(n))
	}
	rev := snap.EvacuationsRev
	// A peer that has no state or one of another era can't use them.
	usable := ask.AcceptsEvacuations && store.NumberOf(known) > 0 && store.EraOf(known) == store.EraOf(rev)
	if !usable || rev <= snap.Rev || rev <= max(known, ask.EvacuationsRev) {
		return nil
	}
	return &proto.Evacuations{
		Rev:     rev,
		Domains: lo.Keys(snap.Evacuated),
	}
}

// adopt merges the state in an update from a peer into a view and reports whether it was newer. A state whose
// table is newer than the view's and not in the update is left out: with its revision but without its table, this
// entry would never ask the store for the table.
func adopt(v *view.Cache, n *proto.Update) (bool, error) {
	table, err := decodeTable(n)
	if err != nil {
		return false, err
	}
	if e := n.Evacuations; e != nil {
		v.AdoptEvacuations(e.Rev, e.Domains)
	}
	if table == nil && n.TableVersion > tableVersion(v) {
		return false, nil
	}
	var list []core.Instance
	if n.Newer {
		if err := decoder(n.Packed && !n.Delta)(n.Instances, &list); err != nil {
			return false, err
		}
	}
	switch {
	case !n.Newer:
		return v.Adopt(&view.Snapshot{
			Table:   table,
			From:    n.From,
			Refused: n.Refused,
		}), nil
	case n.Delta:
		return v.AdoptDelta(view.Delta{
			After: store.Revision(n.Era, n.After),
			Change: view.Change{
				Rev:            revision(n),
				Table:          table,
				Put:            list,
				Removed:        n.InstancesRemoved,
				Members:        n.Members,
				MembersRemoved: n.MembersRemoved,
				Paces:          n.Paces,
				Evacuated:      evacuations(n),
				Operator:       n.AllEvacuated,
				Refused:        n.Refused,
			},
			Lapsed:      n.Lapsed,
			LapsedUntil: lapsedUntil(n),
			From:        n.From,
		}), nil
	}
	s := &view.Snapshot{
		Rev:       revision(n),
		Table:     table,
		Instances: list,
		Members:   n.Members,
		Lapsed:    n.Lapsed,
		Paces:     n.Paces,
		Evacuated: evacuations(n),
		From:      n.From,
		Refused:   n.Refused,

		LapsedUntil: lapsedUntil(n),
	}
	if e := n.Evacuations; e != nil {
		s.EvacuationsRev, s.Evacuated = e.Rev, lo.SliceToMap(e.Domains, func(domain string) (string, bool) { return domain, true })
	}
	return v.Adopt(s), nil
}

// lapsedFor returns for how much longer lapsed instances are kept, in milliseconds.
func lapsedFor(until map[string]time.Time) map[string]int64 {
	out := make(map[string]int64, len(until))
	for id, end := range until {
		if !end.IsZero() {
			out[id] = max(0, time.Until(end).Milliseconds())
		}
	}
	return out
}

// lapsedUntil returns the times until which the peer keeps its lapsed instances.
func lapsedUntil(n *proto.Update) map[string]time.Time {
	now := time.Now()
	out := make(map[string]time.Time, len(n.LapsedForMs))
	for id, ms := range n.LapsedForMs {
		out[id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return out
}

// tableVersion returns the version of the table that is in force, zero if there is none.
func tableVersion(v *view.Cache) int64 {
	if t := v.Now().Table; t != nil {
		return t.Version
	}
	return 0
}

// decoder returns the function that decodes a packed or a plain value.
func decoder(packed bool) func([]byte, any) error {
	if packed {
		return proto.Unpack
	}
	return proto.Unmarshal
}

// decodeTable returns nil if there is no table.
func decodeTable(n *proto.Update) (*plan.Table, error) {
	if len(n.Table) == 0 {
		return nil, nil //nolint:nilnil // no table is a valid update
	}
	t := &plan.Table{}
	if err := decoder(n.Packed)(n.Table, t); err != nil {
		return nil, err
	}
	return t.Compile(), nil
}

// evacuations returns the evacuations that an update says have begun or ended.
func evacuations(n *proto.Update) map[string]bool {
	out := make(map[string]bool, len(n.Evacuated)+len(n.EvacuationsEnded))
	for _, domain := range n.Evacuated {
		out[domain] = true
	}
	for _, domain := range n.EvacuationsEnded {
		out[domain] = false
	}
	return out
}

package fleet

import (
	"geraniumpass/core"
	"geraniumpass/store"
)

// latestStart is the latest known start of an instance.
type latestStart struct {
	// startedAt is in Unix milliseconds, zero if unknown.
	startedAt int64
	// rev is the highest revision of the instance's entries, zero if unknown.
	rev int64
}

// isEarlier reports whether an entry is of an earlier start than the latest known one. A clock may be set back
// between two starts, so that the order of the store goes before the times, but not across a restoration from
// a copy, which lists earlier entries with later revisions. An entry without a start is another writer's once
// an instance has told its start.
func (l latestStart) isEarlier(in core.Instance) bool {
	ordered := l.rev > 0 && in.Rev > 0 && in.StartedAt > 0 && store.EraOf(l.rev) == store.EraOf(in.Rev)
	switch {
	case in.StartedAt == l.startedAt:
		return false
	case ordered && in.Rev != l.rev:
		return in.Rev < l.rev
	}
	return in.StartedAt < l.startedAt
}

// acceptStart reports whether an entry isn't of an earlier incarnation than the latest known one,
// and if so records its start.
func (r *Registry) acceptStart(in core.Instance) bool {
	known := r.startedAt[in.ID]
	accepted := !known.isEarlier(in)
	next := latestStart{
		startedAt: known.startedAt,
		rev:       max(known.rev, in.Rev),
	}
	if accepted && in.StartedAt > 0 {
		next.startedAt = in.StartedAt
	}
	if next.startedAt > 0 {
		r.startedAt[in.ID] = next
	}
	if len(r.startedAt) > maxStarts {
		r.pruneStarts()
	}
	return accepted
}

// pruneStarts drops the starts of instances that aren't listed any more.
func (r *Registry) pruneStarts() {
	for id := range r.startedAt {
		if _, ok := r.instances[id]; !ok {
			delete(r.startedAt, id)
		}
	}
}

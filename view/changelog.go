package view

import "sort"

// maxChanges bounds the remembered changes. A peer that lags behind them gets a full snapshot.
const maxChanges = 1 << 12

// keyKind is the kind of a key whose changes are remembered.
type keyKind uint8

const (
	keyInstance keyKind = iota
	keyMember
	keyPaces
	keyEvacuation
)

// changeKey identifies what has changed.
type changeKey struct {
	kind keyKind
	name string
}

// changeLog remembers which keys changed at which revision, so that peers get what changed and not
// the whole state. Values aren't kept: a receiver gets the present ones.
type changeLog struct {
	// complete is the revision after which no change is missing.
	complete int64
	// events are in the order of their revisions.
	events []changeEvent
}

type changeEvent struct {
	rev int64
	key changeKey
}

// record adds the keys of a change. A full change doesn't tell what changed, so the log starts anew.
func (l *changeLog) record(c Change) {
	if c.Full {
		l.restart(c.Rev)
		return
	}
	for _, in := range c.Put {
		l.add(c.Rev, keyInstance, in.ID)
	}
	for _, names := range [][]string{c.Removed, c.Invalid} {
		for _, id := range names {
			l.add(c.Rev, keyInstance, id)
		}
	}
	for name := range c.Members {
		l.add(c.Rev, keyMember, name)
	}
	for _, name := range c.MembersRemoved {
		l.add(c.Rev, keyMember, name)
	}
	for group := range c.Paces {
		l.add(c.Rev, keyPaces, group)
	}
	for domain := range c.Evacuated {
		l.add(c.Rev, keyEvacuation, domain)
	}
	l.prune()
}

func (l *changeLog) add(rev int64, kind keyKind, name string) {
	l.events = append(l.events, changeEvent{
		rev: rev,
		key: changeKey{
			kind: kind,
			name: name,
		},
	})
}

// restart forgets all changes up to a revision.
func (l *changeLog) restart(rev int64) {
	l.events = nil
	l.complete = rev
}

// prune drops the older half of the events once there are too many.
func (l *changeLog) prune() {
	if len(l.events) <= maxChanges {
		return
	}
	half := len(l.events) / 2
	l.complete = l.events[half-1].rev
	l.events = append([]changeEvent(nil), l.events[half:]...)
}

// since returns the events after a revision, and false if some of them may be missing.
func (l *changeLog) since(rev int64) ([]changeEvent, bool) {
	if rev < l.complete {
		return nil, false
	}
	first := sort.Search(len(l.events), func(i int) bool { return l.events[i].rev > rev })
	return l.events[first:], true
}

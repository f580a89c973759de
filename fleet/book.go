package fleet

import (
	"time"

	"geraniumpass/core"
)

// Return is how long after the end of a store outage an instance whose entry lapsed may take to report again: about two seconds, less
// what must be left when the outage was only this process's own and the instance has really gone.
const Return = 1800 * time.Millisecond

// Doubted is how long instances are kept that vanished together; it leaves half a second of the two within which one that left must get no more work.
const Doubted = 1500 * time.Millisecond

// bornKept bounds how many starts of instances are remembered: some hundred times what a fleet of today replaces while late words of them may come.
const bornKept = 1 << 14

// Book is the list of instances as one process knows it; it is not safe for use by several goroutines.
type Book struct {
	instances map[string]core.Instance
	// lapsed holds instances whose entry vanished in an outage and that count until then; the zero time stands for an outage that goes on.
	lapsed map[string]time.Time
	// born is the newest start known of each instance, kept for longer than its entry: a late word of an earlier start must not bring that back.
	born map[string]int64
	down bool
	// settled is when entries that vanish count as gone again.
	settled time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		instances: make(map[string]core.Instance),
		lapsed:    make(map[string]time.Time),
		born:      make(map[string]int64),
	}
}

// Lost notes that the store can't be reached; what waits to report again can't do so until it is back.
func (b *Book) Lost() {
	if b.down {
		return
	}
	b.down = true
	for id := range b.lapsed {
		b.lapsed[id] = time.Time{}
	}
}

// Back notes that the store answers again; entries that vanished meanwhile count for Return longer.
func (b *Book) Back(now time.Time) {
	if !b.down {
		return
	}
	b.down = false
	b.settled = now.Add(Return)
	for id, until := range b.lapsed {
		if until.IsZero() {
			b.lapsed[id] = b.settled
		}
	}
}

// Doubt makes entries that vanish from now on count for Doubted longer: many at once may have lapsed in an outage that nobody here saw.
func (b *Book) Doubt(now time.Time) {
	if until := now.Add(Doubted); until.After(b.settled) {
		b.settled = until
	}
}

// Put takes an instance's entry and returns false for one of an earlier start than the newest known, which changes nothing.
func (b *Book) Put(in core.Instance) bool {
	if !b.newest(in) {
		return false
	}
	delete(b.lapsed, in.ID)
	b.instances[in.ID] = in
	return true
}

// newest returns false for an entry of an earlier start, and remembers a later one.
func (b *Book) newest(in core.Instance) bool {
	if in.Born < b.born[in.ID] {
		return false
	}
	if in.Born > 0 {
		b.born[in.ID] = in.Born
	}
	if len(b.born) > bornKept {
		b.forgetStarts()
	}
	return true
}

// forgetStarts drops the starts of instances that are not listed any more.
func (b *Book) forgetStarts() {
	for id := range b.born {
		if _, ok := b.instances[id]; !ok {
			delete(b.born, id)
		}
	}
}

// Drop takes an instance out at once, whatever the store's outages: its entry is there and names no instance to use.
func (b *Book) Drop(id string) {
	delete(b.instances, id)
	delete(b.lapsed, id)
}

// Remove takes the end of an entry: the instance is gone, unless an outage may have made the entry lapse.
func (b *Book) Remove(id string, now time.Time) {
	in, ok := b.instances[id]
	if !ok {
		return
	}
	unsettled := b.down || now.Before(b.settled)
	if !unsettled || in.Leaving {
		delete(b.instances, id)
		delete(b.lapsed, id)
		return
	}
	if _, waiting := b.lapsed[id]; waiting {
		return
	}
	b.lapsed[id] = b.settled
	if b.down {
		// The outage has no known end yet; Back sets the time.
		b.lapsed[id] = time.Time{}
	}
}

// Replace takes a full list; instances that it lacks are removed as by Remove.
func (b *Book) Replace(list []core.Instance, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
		b.Put(in)
	}
	for id := range b.instances {
		if !listed[id] {
			b.Remove(id, now)
		}
	}
}

// Adopt takes the list of another process as it is: what that one has dropped is gone, whatever this one thinks of the store, and what
// has lapsed there is kept for Return here as well, also while the store is out of reach from here: the peer has reached it.
func (b *Book) Adopt(list []core.Instance, lapsed []string, now time.Time) {
	old := b.instances
	b.instances = make(map[string]core.Instance, len(list))
	clear(b.lapsed)
	for _, in := range list {
		switch own, known := old[in.ID]; {
		case b.newest(in):
			b.instances[in.ID] = in
		case known:
			b.instances[in.ID] = own
		}
	}
	for _, id := range lapsed {
		b.lapsed[id] = now.Add(Return)
	}
}

// Lapsed returns the instances that are kept although their entry has vanished.
func (b *Book) Lapsed() []string {
	out := make([]string, 0, len(b.lapsed))
	for id := range b.lapsed {
		out = append(out, id)
	}
	return out
}

// Kept returns true for an instance that is kept although its entry has vanished.
func (b *Book) Kept(id string) bool {
	_, ok := b.lapsed[id]
	return ok
}

// Expire drops lapsed instances whose time is over and returns true when there were any.
func (b *Book) Expire(now time.Time) bool {
	dropped := false
	for id, until := range b.lapsed {
		if until.IsZero() || now.Before(until) {
			continue
		}
		delete(b.lapsed, id)
		delete(b.instances, id)
		dropped = true
	}
	return dropped
}

// Waiting returns true while lapsed instances are kept.
func (b *Book) Waiting() bool {
	return len(b.lapsed) > 0
}

// List returns all instances, those that are leaving included.
func (b *Book) List() []core.Instance {
	out := make([]core.Instance, 0, len(b.instances))
	for _, in := range b.instances {
		out = append(out, in)
	}
	return out
}

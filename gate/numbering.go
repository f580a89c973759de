package gate

import (
	"bytes"
	"strconv"
)

// numbering is what is known of how the numbers of a stream's events rise. They may rise by more than one,
// as an event may hold several tokens. Within a run no event can be missing.
type numbering struct {
	// begins is true until the first number of a run. It follows the last one of the run before.
	begins bool
	// risen is true once two numbers of a run are known, and wide once a number was more than one above
	// the one before.
	risen bool
	wide  bool
}

// follow returns the numbering and the number of the last event once events were seen, and false if the
// numbers don't rise or an event is missing. last is the number of the event that precedes events,
// negative if there is none.
func (n numbering) follow(events []byte, last int64) (numbering, int64, bool) {
	for line := range bytes.SplitSeq(events, lineEnd) {
		v, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
		if err != nil || last >= 0 && !n.allows(id, last) {
			return n, last, false
		}
		n.risen = n.risen || last >= 0 && !n.begins
		n.wide = n.wide || last >= 0 && id-last > 1
		n.begins = false
		last = id
	}
	return n, last, true
}

// allows reports whether an event may follow the last one. Where the numbers of a stream have always risen by
// one, an event is missing if a run begins higher.
func (n numbering) allows(id, last int64) bool {
	countsEach := n.begins && n.risen && !n.wide
	return id == last+1 || id > last && !countsEach
}

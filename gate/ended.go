package gate

import (
	"geraniumpass/core"
	"geraniumpass/view"
)

// ended returns true for an instance at whose address another one listens now, as a request has found out or the instance list tells. A row of
// the list that was itself found wrong takes no other one out: anybody may have written it.
func (g *Gate) ended(snap *view.Snapshot, in core.Instance) bool {
	if g.loads.isMisplaced(in.Start()) {
		return true
	}
	next, ok := snap.Successor(in)
	return ok && !g.loads.isMisplaced(next.Start())
}

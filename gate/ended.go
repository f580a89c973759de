package gate

import (
	"geraniumpass/core"
	"geraniumpass/view"
)

// isReplaced reports whether another instance now listens at the address of in, according to an
// earlier answer or to the instance list. A list row whose own address proved wrong replaces no
// other instance, since anybody may have written that row.
func (g *Gate) isReplaced(snap *view.Snapshot, in core.Instance) bool {
	if g.loads.isAddressReused(in.Start()) {
		return true
	}
	next, ok := snap.Successor(in)
	return ok && !g.loads.isAddressReused(next.Start())
}

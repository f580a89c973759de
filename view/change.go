package view

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/plan"
)

// Change is the result of a read or a watch of the store.
type Change struct {
	// Rev is the store revision up to which the change is complete.
	Rev int64
	// Full reports that the lists are complete, so that anything missing from them has been
	// removed.
	Full bool
	// Operator reports that Table and Evacuated are complete, so that other failure domains aren't evacuated.
	Operator bool
	// More reports that this is a part of the state and the rest follows. Only Table and Evacuated are set, Rev
	// tells how recent these are, and Put lists instances that are leaving; the state as a whole isn't complete
	// up to Rev.
	More  bool
	Table *plan.Table
	// AsOf is when the state up to Rev was the store's, zero if that is now.
	AsOf time.Time
	// Noticed is when the store's answer was received, before it was decoded, zero if unknown.
	Noticed time.Time
	// Beyond is a later revision that the store has, as far as its answer tells.
	Beyond int64
	// Refused are the parts of a manifest in the change that this process can't serve.
	Refused []string
	Put     []core.Instance
	Removed []string
	// Left are those of Removed whose last entry said that they leave.
	Left []string
	// Invalid are the IDs of entries that exist but don't describe a usable instance.
	Invalid []string
	// Members maps the names of entries of this system to their link addresses; MembersRemoved lists
	// removed ones.
	Members        map[string]string
	MembersRemoved []string
	// Paces are the slow instances of each group in the change; an empty list means that the group
	// has none left.
	Paces map[string][]core.Pace
	// Evacuated maps failure domains to whether their evacuation has begun or ended in the change. EvacuationsRev
	// is the revision up to which that is complete, if it is later than Rev.
	Evacuated      map[string]bool
	EvacuationsRev int64
}

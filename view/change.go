package view

import (
	"geraniumpass/core"
	"geraniumpass/plan"
)

// Change is what a read or a watch of the store brought.
type Change struct {
	// Rev is the store's revision up to which the change is complete.
	Rev int64
	// Full says that the lists are complete, so that whatever they lack is gone.
	Full  bool
	Table *plan.Table
	Put   []core.Instance
	Gone  []string
	// Void are the ids of entries that are there and name no instance to use.
	Void []string
	// Members are entries of this system by name, with the address of their links; MembersGone have ended.
	Members     map[string]string
	MembersGone []string
	// Paces are the slow instances of each group that the change names; an empty list is of a group that has none any more.
	Paces map[string][]core.Pace
}

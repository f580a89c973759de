package shift

// Order is an instruction from a leader to the guard of one rank.
type Order struct {
	Fence   int64
	Op      Op
	Epoch   int64
	Version int64
	Step    int64
	// Ahead is how many steps ahead a hold must lie, so that all ranks are armed before the group
	// reaches it.
	Ahead int64
}

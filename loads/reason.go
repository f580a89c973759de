package loads

// Reason is why a request leaves its instance, empty if it has no reason to.
type Reason string

const (
	// ReasonSlowInstance means that the instance is slow and thereby delays its whole group.
	ReasonSlowInstance Reason = "slow_instance"
	// ReasonGroupStalled means that the group of the instance makes no step.
	ReasonGroupStalled Reason = "group_stalled"
	// ReasonGroupClosed means that the group of the instance lacks a rank.
	ReasonGroupClosed Reason = "group_closed"
)

// LeavesGroup reports whether no other instance of the group can go on with the request either.
func (r Reason) LeavesGroup() bool {
	return r == ReasonGroupStalled || r == ReasonGroupClosed
}

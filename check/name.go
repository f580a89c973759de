package check

// Name identifies an invariant; docs/INVARIANTS.md explains each.
type Name string

// The seven invariants of the brief, in its order.
const (
	OneMap        Name = "one_map_in_every_step"
	WholeAnswer   Name = "whole_answer_to_own_request"
	NotRunTrue    Name = "not_run_never_ran"
	AtMostOnce    Name = "non_idempotent_at_most_once"
	LeavingIdle   Name = "leaving_gets_no_new_work"
	GracefulStop  Name = "stop_cuts_nothing"
	ConfigForward Name = "configuration_never_reverts"
)

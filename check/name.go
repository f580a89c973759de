package check

// Name identifies an invariant; docs/INVARIANTS.md explains each.
type Name string

// The system's invariants; the values are keys of the expvar maps.
const (
	OneMap            Name = "one_map_in_every_step"
	CompleteAnswer    Name = "whole_answer_to_own_request"
	NotRunNeverRan    Name = "not_run_never_ran"
	AtMostOnce        Name = "non_idempotent_at_most_once"
	LeavingGetsNoWork Name = "leaving_gets_no_new_work"
	GracefulStop      Name = "stop_cuts_nothing"
	ConfigMonotonic   Name = "configuration_never_reverts"
)

package core

// Outcome states whether a request without an upstream response may have run.
type Outcome string

// OutcomeNotRun means that the request did not run and will not run.
const OutcomeNotRun Outcome = "not_run"

// OutcomeUnknown means that the request may have run.
const OutcomeUnknown Outcome = "unknown"

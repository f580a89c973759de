package core

// Outcome says what is known of a request that got no upstream answer.
type Outcome string

// OutcomeNotRun means that the request certainly did not run and will not.
const OutcomeNotRun Outcome = "not_run"

// OutcomeUnknown means that the request may have run.
const OutcomeUnknown Outcome = "unknown"

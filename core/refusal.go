package core

import (
	"fmt"
	"time"
)

// Refusal is the error for a request that ends without an upstream response.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error returns the reason, the outcome and the detail on one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// NotRun returns a refusal which guarantees that the request did not run and will not run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{
		Outcome: OutcomeNotRun,
		Reason:  reason,
		Detail:  detail,
	}
}

// Unknown returns a refusal for a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{
		Outcome: OutcomeUnknown,
		Reason:  reason,
		Detail:  detail,
	}
}

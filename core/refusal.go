package core

import (
	"fmt"
	"time"
)

// Refusal is the error by which a request ends without an upstream's answer.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error returns the outcome, the reason and the detail on one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// NotRun returns a refusal that promises that the request did not run and will not.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{
		Outcome: OutcomeNotRun,
		Reason:  reason,
		Detail:  detail,
	}
}

// Unknown returns a refusal that leaves open whether the request ran.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{
		Outcome: OutcomeUnknown,
		Reason:  reason,
		Detail:  detail,
	}
}

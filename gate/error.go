package gate

import (
	"time"

	"geraniumpass/loads"
)

// MismatchedAnswerError reports that only answers to other requests arrived.
type MismatchedAnswerError struct {
	ID string
}

// SilenceTimeoutError reports that an instance did not begin or continue its answer in time.
type SilenceTimeoutError struct {
	Duration time.Duration
}

// RelocationError reports that a request leaves an instance although the instance has not failed.
type RelocationError struct {
	Reason loads.Reason
}

// Error returns a message with the reason.
func (e *RelocationError) Error() string {
	return "request leaves its instance: " + string(e.Reason)
}

// Error returns a message with the time waited.
func (e *SilenceTimeoutError) Error() string {
	return "no data from instance for " + e.Duration.String()
}

// Error returns a message with the ID of the request that the last answer belongs to.
func (e *MismatchedAnswerError) Error() string {
	return "received the answer to request " + e.ID
}

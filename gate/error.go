package gate

import (
	"strconv"
	"time"
)

// MismatchedAnswerError reports that only answers to other requests arrived.
type MismatchedAnswerError struct {
	ID string
}

// SilenceTimeoutError reports that an instance did not begin or continue its answer in time.
type SilenceTimeoutError struct {
	Duration time.Duration
}

// Error returns a message with the time waited.
func (e *SilenceTimeoutError) Error() string {
	return "no data from instance for " + e.Duration.String()
}

// Error returns a message with the ID of the request that the last answer belongs to.
func (e *MismatchedAnswerError) Error() string {
	return "received the answer to request " + e.ID
}

// AnswerTooLargeError reports that an answer exceeds the limit for buffered answers.
type AnswerTooLargeError struct {
	Limit int
}

// Error returns a message with the limit in bytes.
func (e *AnswerTooLargeError) Error() string {
	return "answer exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

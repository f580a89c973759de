package gate

import (
	"strconv"
	"time"
)

// StrayError says that only answers to other requests came.
type StrayError struct {
	ID string
}

// SilentError says that an instance was left because it did not begin to answer.
type SilentError struct {
	For time.Duration
}

// Error names the time.
func (e *SilentError) Error() string {
	return "silent for " + e.For.String()
}

// Error names the request that the last one answered.
func (e *StrayError) Error() string {
	return "got the answer to request " + e.ID
}

// LongError says that an answer is longer than what is taken in before it is passed on.
type LongError struct {
	Limit int
}

// Error names the limit.
func (e *LongError) Error() string {
	return "an answer of more than " + strconv.Itoa(e.Limit) + " bytes"
}

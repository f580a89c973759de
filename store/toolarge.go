package store

import "fmt"

// TooLargeError reports a response of more than is read for a call. The same call would get the
// same response again.
type TooLargeError struct {
	Call  string
	Limit int64
	// Unit is what the limit counts: bytes or events.
	Unit string
}

// Error returns the path of the call and the limit with its unit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s returned more than %d %s", e.Call, e.Limit, e.Unit)
}

package store

import "fmt"

// TooLargeError reports a response of more bytes than are read for a call. The same call would get the
// same response again.
type TooLargeError struct {
	Call  string
	Limit int64
}

// Error returns the path of the call and the limit in bytes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s returned more than %d bytes", e.Call, e.Limit)
}

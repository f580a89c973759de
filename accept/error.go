package accept

import (
	"expvar"
	"fmt"
	"net/http"
	"strconv"
)

const (
	statusHeadTooLarge = http.StatusRequestHeaderFieldsTooLarge
	statusUnavailable  = http.StatusServiceUnavailable
	// retryAfterS is the Retry-After of clients that are refused for want of memory, in seconds.
	retryAfterS = 1
)

// refusals counts clients that were refused, by status, and connections that were closed, by reason.
var refusals = expvar.NewMap("clients_refused")

// RefusedError reports that a client exceeded a bound and was refused with a status. Nothing of its request
// has run.
type RefusedError struct {
	Status int
}

// Error returns a message with the status.
func (e *RefusedError) Error() string {
	return "client refused with status " + strconv.Itoa(e.Status)
}

// Timeout implements net.Error.
func (e *RefusedError) Timeout() bool {
	return false
}

// Temporary implements net.Error.
func (e *RefusedError) Temporary() bool {
	return false
}

func (e *RefusedError) name() string {
	return strconv.Itoa(e.Status)
}

// answer returns the refusal as sent to the client.
func (e *RefusedError) answer() []byte {
	retry := ""
	if e.Status == statusUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterS)
	}
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n", e.Status, http.StatusText(e.Status), retry))
}

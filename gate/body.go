package gate

import (
	"errors"
	"net/http"
	"time"

	"geraniumpass/accept"
)

const (
	// unroutedBodyTime is how long the rest of a request that is refused unread may take to arrive.
	unroutedBodyTime = 10 * time.Second
	// noMemoryBackoff is the Retry-After of requests for which there is no memory, most of which is held for
	// less than that.
	noMemoryBackoff = time.Second
	// maxLoggedBytes is the length of a caller's text in a log line.
	maxLoggedBytes = 128
)

// bound bounds the time for a body that the request may be refused without.
func (r *request) bound() {
	r.conn = accept.FromContext(r.ctx)
	if r.req.ContentLength != 0 {
		_ = http.NewResponseController(r.w).SetReadDeadline(r.receivedAt.Add(unroutedBodyTime))
	}
}

// readBody buffers the whole body, so that no part of an incomplete request reaches an upstream.
func (r *request) readBody() int {
	if r.req.ContentLength == 0 {
		r.conn.MarkRunning()
		return 0
	}
	rc := http.NewResponseController(r.w)
	_ = rc.SetReadDeadline(r.deadline)
	undo := r.onExpiry(func() { _ = rc.SetReadDeadline(elapsedDeadline) })
	body, err := r.conn.ReadBody(r.req.Body, r.req.ContentLength, int64(r.snap.Table.Limits.BodyBytes))
	if undo() && err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		r.body = body
		r.conn.MarkRunning()
		return 0
	}
	return r.refuseBody(err)
}

// refuseBody ends a request whose body was not read, and its connection, without waiting for the rest.
func (r *request) refuseBody(err error) int {
	late := r.g.clock.Now().After(r.deadline)
	r.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(r.w).SetReadDeadline(r.g.clock.Now())
	var tooLarge *accept.TooLargeError
	var noMemory *accept.NoMemoryError
	switch {
	case errors.As(err, &tooLarge):
		return r.fail(http.StatusRequestEntityTooLarge, "too_large")
	case errors.As(err, &noMemory):
		return r.reject("no_memory", noMemoryBackoff)
	case r.g.expired.Err() != nil:
		return r.reject(reasonStopping, r.retryAfter(0))
	case r.ctx.Err() != nil:
		return statusCallerGone
	case late:
		return r.fail(http.StatusRequestTimeout, "body_late")
	}
	return r.fail(http.StatusBadRequest, "body_broken")
}

// shortened returns the beginning of a caller's text for the log.
func shortened(s string) string {
	return s[:min(len(s), maxLoggedBytes)]
}

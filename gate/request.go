package gate

import (
	"context"
	"net/http"
	"time"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/plan"
	"geraniumpass/quota"
	"geraniumpass/view"
)

// request is one caller's request while it is answered.
type request struct {
	g    *Gate
	w    http.ResponseWriter
	in   *http.Request
	ctx  context.Context
	body []byte

	call    Call
	snap    *view.Snapshot
	route   *plan.Route
	account string
	service *plan.Service

	came time.Time
	// begun is when the first byte of an upstream's answer came, zero before.
	begun time.Time
	// spent is how much of its time the caller had spent before it asked here.
	spent time.Duration
	// until is when the final answer is due.
	until time.Time
	// firstEventDue is when the first event of a stream is due, zero when it has no time of its own; the caller leaves soon after.
	firstEventDue time.Time

	// sends counts upstreams that were sent at least a byte, tried names them.
	sends int
	tried map[core.Start]bool
	// paid is true while a repeat has been taken of the allowance and not been made.
	paid bool
	// doubt is true once a send may have run without an answer.
	doubt bool
	// failure is an upstream's whole answer that a repeat may still better.
	failure *answer
	// permit is what the next send takes of an instance's limit.
	permit quota.Permit
	// stream is what has been passed on of a stream.
	stream delivered
	// digest is what the request is known by when it comes again, once hashed.
	digest crash.Digest
	hashed bool
	// instance is the last one sent to, and refused the last one's reason.
	instance string
	reason   string
}

// delivered is how far a stream has come at the caller.
type delivered struct {
	begun bool
	// last is the last event passed on, negative before the first.
	last int64
	// at is when events were last passed on, pause the longest time between two of them.
	at    time.Time
	pause time.Duration
	// unnumbered is true once an event without a number has been passed on, after which no other run knows where to go on.
	unnumbered bool
}

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// due is when the next that the caller waits for has to have come: a stream's first event, or the end of the answer.
func (r *request) due() time.Time {
	if r.stream.begun || r.firstEventDue.IsZero() {
		return r.until
	}
	return earlier(r.until, r.firstEventDue)
}

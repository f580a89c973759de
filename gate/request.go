package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumpass/accept"
	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// request is the state of one caller's request while it is in flight.
type request struct {
	g    *Gate
	w    http.ResponseWriter
	req  *http.Request
	ctx  context.Context
	body []byte
	// conn is the caller's connection, nil if its listener has no bounds.
	conn *accept.Conn

	call    Call
	snap    *view.Snapshot
	route   *plan.Route
	account string
	// accountRank is the priority of the client account, nil if it has none of its own.
	accountRank *int
	service     *plan.Service

	receivedAt time.Time
	// firstByteAt is when the first byte of an upstream's answer arrived, zero before.
	firstByteAt time.Time
	// spentBefore is how much of its time the caller had used before this request.
	spentBefore time.Duration
	// deadline is when the final answer is due.
	deadline time.Time
	// firstEventDeadline is when the first event of a stream is due, zero if it has no deadline of
	// its own. The caller disconnects soon after.
	firstEventDeadline time.Time

	// urgency is the priority for the engine as of the admission, zero if it was not decided.
	urgency int
	// admittedAt is when it was last decided that the answer is expected before the process ends, which no
	// longer matters once the request may have run.
	admittedAt time.Time
	// sends counts the attempts of which at least a byte was sent; tried holds the instances of all
	// attempts, including failed dials.
	sends int
	tried map[core.Start]bool
	// left holds the names of the groups that the request left because they were stalled or closed.
	// relocated is set once it left an instance.
	left      []string
	relocated bool
	// retryReserved is set while a retry was taken from the budget and not used yet.
	retryReserved bool
	// mayHaveRun is set once the request may have run without an answer reaching this entry.
	mayHaveRun bool
	// failedAnswer is a complete answer with a failure, sent to the caller if no retry succeeds.
	failedAnswer *answer
	// permit holds the tokens of the picked instance's limits that the next attempt uses.
	permit permit
	// begun is set once the caller has the beginning of an answer that arrives in parts.
	begun atomic.Bool
	// stream is the progress of the event stream at the caller.
	stream streamProgress
	// digest identifies repetitions of the request; it is valid once hashed is set.
	digest crash.Digest
	hashed bool
	// segments holds the digests of call.Segments once they are known.
	segments []crash.Digest
	// delayed is the set of the groups that the present pick avoids because of the time of their steps.
	delayed map[string]bool
	// closed is set once all instances were known to belong to closed groups.
	closed bool
	// lastInstance is the ID of the last instance tried, reason the cause of the last failure.
	lastInstance string
	reason       string
}

// streamProgress is how much of a stream the caller has received.
type streamProgress struct {
	started bool
	// lastEvent is the number of the last event forwarded, negative before the first.
	lastEvent int64
	numbering numbering
	// lastAt is when events were last forwarded, maxPause the longest time between two forwards.
	lastAt   time.Time
	maxPause time.Duration
	// hasUnnumbered is set once an event without a number was forwarded. The stream then can't be
	// resumed by another run.
	hasUnnumbered bool
}

// answer is a complete answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// nextDeadline returns the deadline of the complete answer. If the caller has nothing of the answer yet, it
// is that of a stream's first event or of the process's final answers if they are earlier.
func (r *request) nextDeadline() time.Time {
	d := r.deadline
	if r.begun.Load() {
		return d
	}
	if !r.firstEventDeadline.IsZero() {
		d = earlier(d, r.firstEventDeadline)
	}
	if due, stopping := r.g.finalDue(); stopping {
		d = earlier(d, due)
	}
	return d
}

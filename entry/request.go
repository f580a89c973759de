package entry

import (
	"time"

	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/proto"
)

// request is the state of a caller's request from admission to answer.
type request struct {
	id         string
	account    string
	class      config.Class
	service    string
	method     string
	path       string
	headers    []proto.Header
	body       []byte
	stream     bool
	idempotent bool
	key        string
	startedAt  time.Time
	deadline   time.Time
	cost       float64
	prefixHash uint64

	// delivered counts the stream events delivered to the caller.
	delivered uint32
	headSent  bool
	status    int
	// isEventStream is set if the head delivered to the caller announces an event stream.
	isEventStream bool
	// tried holds the IDs of agents that refused or lost the request.
	tried map[string]bool
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun  bool
	firstDataAt time.Time
	domain      string
}

// targetDeadline returns the time by which the class's target requires an answer.
func (r *request) targetDeadline() time.Time {
	return r.startedAt.Add(r.class.Target.Within.Duration)
}

// dispatch returns the message for the next attempt.
func (r *request) dispatch(now time.Time, sent time.Duration) *proto.Dispatch {
	return &proto.Dispatch{
		Request:    r.id,
		Account:    r.account,
		Class:      r.class.Name,
		Method:     r.method,
		Path:       r.path,
		Headers:    r.headers,
		Body:       r.body,
		Stream:     r.stream,
		Idempotent: r.idempotent,
		Remaining:  r.deadline.Sub(now),
		TargetLeft: r.targetDeadline().Sub(now),
		ResumeFrom: r.delivered,
		Cost:       r.cost,
		Within:     r.class.Target.Within.Duration,
		Sent:       sent,
	}
}

// resumable reports whether another attempt can continue the answer already delivered. Only event
// streams can be resumed, since the position is a count of events.
func (r *request) resumable() bool {
	return r.stream && (!r.headSent || r.isEventStream)
}

// sink receives an answer.
type sink interface {
	// Head receives the status and the headers; it is called once, or once more after each Reset.
	Head(status int, headers []proto.Header) error
	// Data receives the next chunk of the body; it fails with a *callerGoneError if the caller
	// disconnected.
	Data(p []byte) error
	// Reset discards a partial answer before a retry; it returns false if the caller may have
	// received part of it.
	Reset() bool
}

// callerGoneError indicates that the caller disconnected.
type callerGoneError struct{}

// Error implements error.
func (*callerGoneError) Error() string {
	return "caller went away"
}

// refusal returns the final refusal of the request; its outcome is not_run only if no attempt can
// have run.
func (r *request) refusal(reason core.Reason, detail string) *core.Refusal {
	if r.mayHaveRun {
		return core.Unknown(reason, detail)
	}
	return core.NotRun(reason, detail)
}

package entry

import (
	"time"

	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/proto"
)

// request is one caller's request from its admission to its answer.
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
	started    time.Time
	deadline   time.Time
	cost       float64
	prefix     uint64

	// delivered counts the events of a stream that the caller has been given.
	delivered uint32
	headSent  bool
	status    int
	// events is true when the head that the caller has been given announces events.
	events bool
	// tried names the agents that refused or lost the request.
	tried map[string]bool
	// sent is true once an attempt left for an agent that did not surely refuse it.
	sent     bool
	answered time.Time
	domain   string
}

// due is the moment by which the class's target wants the request answered.
func (r *request) due() time.Time {
	return r.started.Add(r.class.Target.Within.Duration)
}

// dispatch returns the message of the next attempt.
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
		TargetLeft: r.due().Sub(now),
		ResumeFrom: r.delivered,
		Cost:       r.cost,
		Within:     r.class.Target.Within.Duration,
		Sent:       sent,
	}
}

// resumable returns true when another attempt may go on behind what the caller has: only events are told apart by their number.
func (r *request) resumable() bool {
	return r.stream && (!r.headSent || r.events)
}

// sink is where an answer goes.
type sink interface {
	// Head takes the status and the headers, once.
	Head(status int, headers []proto.Header) error
	// Data takes the next piece of the body and fails with a *goneError when the caller went away.
	Data(p []byte) error
	// Reset forgets an answer that was begun and is made anew; it returns false when the caller has seen some of it.
	Reset() bool
}

// goneError says that the caller went away.
type goneError struct{}

// Error says that the caller went away.
func (*goneError) Error() string {
	return "caller went away"
}

// refusal is the final answer of a request that is given up; it is not_run only when no attempt can have run.
func (r *request) refusal(reason core.Reason, detail string) *core.Refusal {
	if r.sent {
		return core.Unknown(reason, detail)
	}
	return core.NotRun(reason, detail)
}

package gate

import (
	"context"
	"errors"
	"net"

	"github.com/samber/lo"

	"geraniumpass/crash"
	"geraniumpass/head"
	"geraniumpass/pool"
)

// isDisconnect reports whether err means that the peer closed the connection, as opposed to a
// timeout or a close by this process.
func isDisconnect(err error) bool {
	var timeout net.Error
	var silent *SilenceTimeoutError
	switch {
	case err == nil, errors.As(err, &silent), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	var mismatched *MismatchedAnswerError
	var overLimit *pool.ReadLimitError
	var malformed *head.MalformedError
	return !errors.As(err, &mismatched) && !errors.As(err, &overLimit) && !errors.As(err, &malformed)
}

// recordDisconnect checks whether an instance that closed its connection has terminated, and if so
// counts that against the request, and against the segments of its prompt unless the answer was in
// progress. Instances that were leaving terminate as planned. When a group breaks, its other ranks close
// their connections although their instances are alive.
func (r *request) recordDisconnect(a *attempt) {
	in := a.instance
	row, listed := r.g.view.Now().Instance(in.ID)
	if !listed || row.Leaving {
		return
	}
	terminated, certain := true, true
	if row.Start() == in.Start() {
		terminated, certain = r.g.hasTerminated(in)
	}
	if terminated {
		run := crash.Run{
			Digest:  r.contentDigest(),
			Account: r.account,
			Start:   in.Start(),
			SentAt:  a.sentAt,
			Certain: certain,
			Begun:   a.deliveries > 0,
		}
		if !a.isProgressing() {
			run.Segments = r.segmentDigests()
		}
		r.g.crashes.RecordRun(run)
	}
	r.g.log.Info("instance closed the connection before the end of its answer", "id", r.call.ID, "digest", r.contentDigest().String(), "account", r.account,
		"segments", r.segmentDigests(), "instance", in.ID, "born", in.StartedAt, "ended", terminated)
}

// crashReason returns why the request must not be sent any more, empty if it may be: instances
// terminate when they run it, or any request whose prompt has one of its segments. Such requests come
// at any entry, and every instance that begins one terminates and breaks its group, so that the group
// serves nobody else for as long as they come.
func (r *request) crashReason() string {
	if r.g.crashes.Refuses(r.contentDigest()) {
		return "ends_instances"
	}
	if d, blocked := r.g.crashes.BlockedSegment(r.segmentDigests()); blocked {
		r.g.log.Info("request has a blocked segment", "id", r.call.ID, "segment", d.String())
		return "segment_ends_instances"
	}
	return ""
}

// contentDigest returns the digest that identifies repetitions of the request.
func (r *request) contentDigest() crash.Digest {
	if !r.hashed {
		caller := r.account
		if caller == "" {
			caller = r.call.Key
		}
		r.digest = r.g.hasher.Digest(crash.Request{
			Method:  r.req.Method,
			Host:    r.req.Host,
			URI:     r.req.RequestURI,
			Account: caller,
			Body:    r.body,
		})
		r.hashed = true
	}
	return r.digest
}

// segmentDigests returns the digests of the prompt segments that other requests may share.
func (r *request) segmentDigests() []crash.Digest {
	if r.segments == nil && len(r.call.Segments) > 0 {
		r.segments = lo.Map(r.call.Segments, func(id string, _ int) crash.Digest { return r.g.hasher.Segment(id) })
	}
	return r.segments
}

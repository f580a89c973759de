package gate

import (
	"context"
	"errors"
	"net"

	"geraniumpass/core"
	"geraniumpass/crash"
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
	var stray *MismatchedAnswerError
	var long *AnswerTooLargeError
	return !errors.As(err, &stray) && !errors.As(err, &long)
}

// recordDisconnect checks whether an instance that closed its connection has ended, and if so
// counts that against the request. Instances that were leaving end as planned. When a group breaks,
// its other ranks close their connections although their instances are alive.
func (r *request) recordDisconnect(in core.Instance) {
	row, listed := r.g.view.Now().Instance(in.ID)
	if !listed || row.Leaving {
		return
	}
	ended, confirmed := true, true
	if row.Start() == in.Start() {
		ended, confirmed = r.g.hasEnded(in)
	}
	if ended {
		r.g.crashes.RecordTermination(r.fingerprint(), r.account, in.Start(), confirmed)
	}
	r.g.log.Info("instance closed the connection before the end of its answer", "id", r.call.ID, "digest", r.fingerprint().String(), "account", r.account,
		"instance", in.ID, "born", in.StartedAt, "ended", ended)
}

// isCrashing reports whether the request must not be sent any more because instances end when they
// run it. Its callers retry it at any entry, and every instance that begins it ends and breaks its
// group, so that nobody else is served meanwhile.
func (r *request) isCrashing() bool {
	return r.g.crashes.Refuses(r.fingerprint())
}

// fingerprint returns the digest that identifies repetitions of the request.
func (r *request) fingerprint() crash.Digest {
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

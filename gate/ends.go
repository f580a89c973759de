package gate

import (
	"context"
	"errors"
	"net"

	"geraniumpass/core"
	"geraniumpass/crash"
)

// isCut returns true for an error that tells of the connection's end at the other side, not of silence or of our own doing.
func isCut(err error) bool {
	var timeout net.Error
	var silent *SilentError
	switch {
	case err == nil, errors.As(err, &silent), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	var stray *StrayError
	var long *LongError
	return !errors.As(err, &stray) && !errors.As(err, &long)
}

// recordCut looks whether the instance ended with the connection that it cut, and counts that against the request. An instance that was leaving
// ends as planned, and the connections at the other ranks of a broken group are cut while their instances live.
func (r *request) recordCut(in core.Instance) {
	row, listed := r.g.view.Now().Instance(in.ID)
	if !listed || row.Leaving {
		return
	}
	ended, sure := true, true
	if row.Start() == in.Start() {
		ended, sure = r.g.hasEnded(in)
	}
	if ended {
		r.g.ends.RecordTermination(r.fingerprint(), r.account, in.Start(), sure)
	}
	r.g.log.Info("cut by its instance", "id", r.call.ID, "digest", r.fingerprint().String(), "account", r.account,
		"instance", in.ID, "born", in.StartedAt, "ended", ended)
}

// isCrashing returns true for a request that must not be sent any more. Its callers send the same one again, at any entry, and each instance
// that begins it ends and breaks its group, so that nobody else is served either for as long as it comes.
func (r *request) isCrashing() bool {
	return r.g.ends.Refuses(r.fingerprint())
}

// fingerprint returns the digest by which the request is known when it comes again.
func (r *request) fingerprint() crash.Digest {
	if !r.hashed {
		caller := r.account
		if caller == "" {
			caller = r.call.Key
		}
		r.digest = r.g.hasher.Digest(crash.Request{
			Method:  r.in.Method,
			Host:    r.in.Host,
			URI:     r.in.RequestURI,
			Account: caller,
			Body:    r.body,
		})
		r.hashed = true
	}
	return r.digest
}

package gate

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"geraniumpass/core"
	"geraniumpass/head"
	"geraniumpass/plan"
	"geraniumpass/pool"
)

const (
	// silenceTimeoutFactor times the route's target latency is how long an idempotent request waits
	// for an instance to answer before it fails over.
	silenceTimeoutFactor = 2.5
	// streamSilenceTimeoutFactor is the same for the first event of a stream. It stays below the
	// five times the target latency after which callers disconnect, and is larger because queuing
	// is not silence.
	streamSilenceTimeoutFactor = 3.0
	// silencePollInterval is how often a waiting attempt checks again whether other instances
	// answer.
	silencePollInterval = 150 * time.Millisecond
	// minSilenceTimeout keeps a normal delay from causing a failover.
	minSilenceTimeout = 200 * time.Millisecond
	// maxJoinedBytes is the size up to which a body is sent in one write with its head.
	maxJoinedBytes = 16 << 10
)

// attempt is one send of a request to an instance over one connection.
type attempt struct {
	r        *request
	instance core.Instance
	conn     *pool.Conn
	reply    Reply
	// reuseConn is set once the answer was read completely and the connection can be reused.
	reuseConn bool
	// verified is set once the instance has begun a verified answer.
	verified bool
	// deliveries is how often events of the answer have been forwarded.
	deliveries int
	// admittedAt is when it was last decided that the request can be answered before the process ends.
	admittedAt time.Time
	// sentAt is when the request was sent.
	sentAt time.Time
	// disconnected is set when the instance closed the connection before the end of its answer.
	disconnected bool
	departure    *departure
}

// run sends the request and handles the answer.
func (a *attempt) run() (verdict, int) {
	r := a.r
	var resp *http.Response
	// Closing a body reads the rest of it, so this runs after the connection was aborted or
	// released.
	defer func() {
		if resp != nil {
			_ = resp.Body.Close()
		}
	}()
	stop := context.AfterFunc(a.r.ctx, a.conn.Abort)
	defer func() {
		// A connection that was aborted because the caller disconnected is never reused.
		if stop() && a.reuseConn {
			a.conn.Release(a.reply.Idle)
			return
		}
		a.conn.Abort()
		a.conn.Discard()
	}()
	_ = a.conn.SetDeadline(r.deadline)
	defer r.onExpiry(a.expireWait)()
	if !a.send() {
		a.r.reason = "not_sent"
		return a.orCallerGone(verdictNotSent), 0
	}
	a.r.sends++
	sent := r.g.clock.Now()
	a.sentAt = sent
	a.trackDeparture()
	defer r.g.departures.remove(a.departure)
	r.g.loads.addWaiting(a.instance.Start(), sent)
	resp, err := a.awaitHead(sent)
	r.g.loads.removeWaiting(a.instance.Start(), sent)
	if err != nil {
		return a.recordNoAnswer(err), 0
	}
	if resp.StatusCode != http.StatusMisdirectedRequest {
		r.g.crashes.RecordAnswer(a.instance.Start(), a.conn.Opened, sent)
		a.recordReply(sent)
	}
	if a.reply.Slots > 0 {
		a.r.g.loads.recordReport(a.instance.Start(), a.reply.Running, a.reply.Waiting, a.r.g.clock.Now())
	}
	if a.isStream(resp) {
		a.recordVerified()
		return a.forwardStream(resp)
	}
	return a.handleAnswer(resp)
}

// awaitFirstByte waits for the first byte of the answer. A repeatable request fails over from a
// silent instance: a request of an idempotent route once its silence timeout expires, a stream at a
// rank of a group only while the service answers or no other instance is silent. A stall of the
// whole group therefore causes no failover.
func (a *attempt) awaitFirstByte(sent time.Time) error {
	r := a.r
	// silentAt is zero if silence alone is no reason to fail over.
	var silentAt time.Time
	if timeout := a.silenceTimeout(); timeout > 0 {
		silentAt = sent.Add(timeout)
	}
	for {
		deadline := r.nextDeadline()
		if !silentAt.IsZero() {
			deadline = earlier(deadline, silentAt)
		}
		a.departure.startWait(deadline)
		_, err := a.conn.Reader.Peek(1)
		reason := a.departure.endWait()
		if err == nil {
			return a.conn.SetDeadline(r.nextDeadline())
		}
		var timeout net.Error
		now := r.g.clock.Now()
		if !errors.As(err, &timeout) || !timeout.Timeout() || !now.Before(r.nextDeadline()) || r.ctx.Err() != nil {
			return err
		}
		if reason != "" {
			if err := a.tryLeave(reason); err != nil {
				return err
			}
			continue
		}
		if a.failsOver(now) {
			return &SilenceTimeoutError{Duration: now.Sub(sent)}
		}
		silentAt = now.Add(silencePollInterval)
	}
}

// failsOver reports whether the request leaves an instance that has not answered within its silence
// timeout, and if so reserves a retry.
func (a *attempt) failsOver(now time.Time) bool {
	r := a.r
	if r.route.Kind != plan.KindIdempotent && !r.g.health.isAnswering(r.service.Name, now) && a.isOtherSilent() {
		return false
	}
	return r.canFailOver()
}

// isOtherSilent reports whether this entry also waits for another instance of the service.
func (a *attempt) isOtherSilent() bool {
	for _, in := range a.r.g.view.Now().Usable(a.r.service.Name) {
		if in.Start() != a.instance.Start() && a.r.g.loads.silentFor(in.Start(), a.r.g.clock.Now()) > 0 {
			return true
		}
	}
	return false
}

// silenceTimeout returns how long an instance may stay silent before the request fails over. It
// returns zero, which means no timeout, if the request must not be sent again or if less than two
// such timeouts are left.
func (a *attempt) silenceTimeout() time.Duration {
	r := a.r
	if !r.route.Repeatable() || r.sends >= r.route.Attempts {
		return 0
	}
	timeout := max(time.Duration(silenceTimeoutFactor*float64(r.route.Aim)), minSilenceTimeout)
	if r.route.Kind == plan.KindStream {
		timeout = r.streamSilenceTimeout()
	}
	if r.g.clock.Now().Add(2 * timeout).After(r.deadline) {
		return 0
	}
	return timeout
}

// streamSilenceTimeout returns how long an instance may keep a stream of this route waiting before
// the request fails over.
func (r *request) streamSilenceTimeout() time.Duration {
	return max(time.Duration(streamSilenceTimeoutFactor*float64(r.route.Aim)), minSilenceTimeout)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordNoAnswer records why an attempt got no answer and returns its verdict.
func (a *attempt) recordNoAnswer(err error) verdict {
	var relocation *RelocationError
	if errors.As(err, &relocation) {
		return a.recordLeave(relocation.Reason)
	}
	a.r.reason = "no_answer"
	a.disconnected = isDisconnect(err)
	var malformed *head.MalformedError
	if errors.As(err, &malformed) {
		malformedAnswers.Add(1)
		a.r.g.log.Warn("answer is malformed", "id", shortened(a.r.call.ID), "instance", a.instance.ID, "born", a.instance.StartedAt, "error", malformed)
		return a.orCallerGone(verdictLost)
	}
	a.r.g.log.Debug("instance did not answer", "id", a.r.call.ID, "instance", a.instance.ID, "reused", a.conn.Reused, "error", shortened(err.Error()))
	return a.orCallerGone(verdictLost)
}

// recordLoss records that the attempt was lost. A verified answer that breaks off adds to the failure
// score but doesn't count towards failingThreshold, because all answers of a group break off when it
// loses a rank.
func (a *attempt) recordLoss(now time.Time) {
	if a.verified {
		a.r.g.loads.recordFailure(a.instance.Start(), lostWeight, now)
		return
	}
	a.r.g.recordLoss(a.instance, now)
}

// recordLoss records that an instance lost a request.
func (g *Gate) recordLoss(in core.Instance, now time.Time) {
	if g.loads.recordLoss(in.Start(), now) {
		g.log.Warn("instance is failing, consecutive requests got no answer", "instance", in.ID, "born", in.StartedAt, "service", in.Service)
	}
}

// recordAnswer records that an instance began a verified answer, or completed one that it had begun
// before it lost other requests.
func (g *Gate) recordAnswer(in core.Instance) {
	if g.loads.recordAnswer(in.Start()) {
		g.log.Info("instance answers again, no longer failing", "instance", in.ID, "born", in.StartedAt, "service", in.Service)
	}
}

func (a *attempt) orCallerGone(v verdict) verdict {
	if a.r.ctx.Err() != nil {
		return verdictCallerGone
	}
	return v
}

// send writes the request and reports whether any of it was sent. An instance may answer without reading the rest.
func (a *attempt) send() bool {
	head, body := a.encode(), a.r.body
	if len(body) <= maxJoinedBytes {
		head, body = append(head, body...), nil
	}
	n, err := a.conn.Write(head)
	if err == nil && len(body) > 0 {
		// A large body is held once and not copied for each attempt.
		_, err = a.conn.Write(body)
	}
	if err == nil {
		return true
	}
	a.r.g.log.Debug("request was not sent in full", "id", a.r.call.ID, "instance", a.instance.ID, "error", err)
	return n > 0
}

// encode returns the head of the request as sent to the upstream: the request line unchanged, with a
// Content-Length that the entry computed itself.
func (a *attempt) encode() []byte {
	r := a.r
	h := forwardedHeader(r.req.Header)
	r.g.dialect.Write(h, AttemptInfo{
		Instance:  a.instance.ID,
		Remaining: r.deadline.Sub(r.g.clock.Now()),
		Account:   r.account,
		Urgency:   r.currentUrgency(),
		LastEvent: r.stream.lastEvent,
	})
	if len(r.body) > 0 || r.req.Method != http.MethodGet && r.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	var b bytes.Buffer
	b.WriteString(r.req.Method + " " + r.req.RequestURI + " HTTP/1.1\r\nHost: " + r.req.Host + "\r\n")
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"geraniumpass/core"
	"geraniumpass/plan"
	"geraniumpass/pool"
)

const (
	// maxStrayAnswers is how many answers to others are passed over in wait for the own one.
	maxStrayAnswers = 2
	// patienceAims is how many times its aim an idempotent request waits at one instance before another is asked.
	patienceAims = 2.5
	// streamPatienceAims is the same for a stream's first event: callers leave after five times the aim, and a queue is no silence.
	streamPatienceAims = 3.0
	// silencePoll is how often it is looked again whether other instances answer.
	silencePoll = 150 * time.Millisecond
	// minPatience keeps instances from being left for a usual delay.
	minPatience = 200 * time.Millisecond
)

// attempt is one send of a request to an instance over one connection.
type attempt struct {
	r     *request
	in    core.Instance
	conn  *pool.Conn
	reply Reply
	// finished is true once the connection has been kept or discarded.
	finished bool
	// sound is true once the instance has begun a sound answer.
	sound bool
	// cut is true once the instance has ended the connection before the end of its answer.
	cut bool
}

// run sends the request and handles what comes back.
func (a *attempt) run() (verdict, int) {
	r := a.r
	var resp *http.Response
	// Closing a body reads the rest of it, so that it comes after the connection was reset or given back.
	defer func() {
		if resp != nil {
			_ = resp.Body.Close()
		}
	}()
	stop := context.AfterFunc(a.r.ctx, a.conn.Abort)
	defer func() {
		// A connection that the caller's leaving has closed is never kept.
		if stop() && a.finished {
			a.conn.Keep(a.reply.Idle)
			return
		}
		a.conn.Abort()
		a.conn.Discard()
	}()
	_ = a.conn.SetDeadline(r.until)
	if n, err := a.conn.Write(a.message()); err != nil && n == 0 {
		a.r.reason = "not_sent"
		return a.gone(verdictUnsent), 0
	}
	a.r.sends++
	sent := r.g.clock.Now()
	r.g.loads.waits(a.in.Start(), sent)
	err := a.awaitFirst(sent)
	r.g.loads.waited(a.in.Start(), sent)
	if err != nil {
		return a.unanswered(err), 0
	}
	if r.begun.IsZero() {
		r.begun = r.g.clock.Now()
	}
	if resp, err = a.read(); err != nil {
		return a.unanswered(err), 0
	}
	if resp.StatusCode != http.StatusMisdirectedRequest {
		r.g.ends.RecordResponse(a.in.Start(), a.conn.Opened, sent)
		a.noteStatements(sent)
	}
	if a.reply.Slots > 0 {
		a.r.g.loads.report(a.in.Start(), a.reply.Running, a.reply.Waiting, a.r.g.clock.Now())
	}
	if a.streams(resp) {
		a.noteSound()
		return a.passStream(resp)
	}
	return a.takeAnswer(resp)
}

// awaitFirst waits for the first byte of the answer. An instance that stays silent is left for another where the request may be
// repeated: a plain one when its time is well over, a rank of a group only while others of the service answer or none is waited for,
// so that nothing speaks for a stall of the whole group.
func (a *attempt) awaitFirst(sent time.Time) error {
	r := a.r
	patience := a.patience()
	for {
		until := r.due()
		if patience > 0 {
			until = earlier(until, r.g.clock.Now().Add(patience))
		}
		_ = a.conn.SetDeadline(until)
		_, err := a.conn.Reader.Peek(1)
		if err == nil {
			return a.conn.SetDeadline(r.due())
		}
		var timeout net.Error
		now := r.g.clock.Now()
		if !errors.As(err, &timeout) || !timeout.Timeout() || !now.Before(r.due()) || r.ctx.Err() != nil {
			return err
		}
		elsewhere := r.route.Kind == plan.KindIdempotent || r.g.pulse.isAnswering(r.service.Name, now) || !a.othersSilent()
		if elsewhere && r.canFailOver() {
			return &SilentError{For: now.Sub(sent)}
		}
		patience = silencePoll
	}
}

// othersSilent returns true when this entry waits for another instance of the service as well.
func (a *attempt) othersSilent() bool {
	for _, in := range a.r.g.view.Now().Usable(a.r.service.Name) {
		if in.Start() != a.in.Start() && a.r.g.loads.silent(in.Start(), a.r.g.clock.Now()) > 0 {
			return true
		}
	}
	return false
}

// patience is how long an instance may stay silent before another is asked, zero for as long as the request lasts.
func (a *attempt) patience() time.Duration {
	r := a.r
	if !r.route.Repeatable() || r.sends >= r.route.Attempts {
		return 0
	}
	patience := max(time.Duration(patienceAims*float64(r.route.Aim)), minPatience)
	if r.route.Kind == plan.KindStream {
		patience = r.streamPatience()
	}
	if r.g.clock.Now().Add(2 * patience).After(r.until) {
		return 0
	}
	return patience
}

// streamPatience is how long an upstream may keep a stream of this route waiting before another is asked.
func (r *request) streamPatience() time.Duration {
	return max(time.Duration(streamPatienceAims*float64(r.route.Aim)), minPatience)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// unanswered notes why an attempt got no answer.
func (a *attempt) unanswered(err error) verdict {
	a.r.reason = "no_answer"
	a.cut = isCut(err)
	a.r.g.log.Debug("no answer", "id", a.r.call.ID, "instance", a.in.ID, "reused", a.conn.Reused, "error", err)
	return a.gone(verdictLost)
}

// lose notes that the attempt is lost. An answer that has begun and breaks off, as all of a group's do when it loses a rank, is a failure, but no sign
// that the instance answers nothing.
func (a *attempt) lose(now time.Time) {
	if a.sound {
		a.r.g.loads.failed(a.in.Start(), lostWeight, now)
		return
	}
	a.r.g.lose(a.in, now)
}

// lose notes that an instance lost a request.
func (g *Gate) lose(in core.Instance, now time.Time) {
	if g.loads.lost(in.Start(), now) {
		g.log.Warn("instance loses its requests", "instance", in.ID, "born", in.StartedAt, "service", in.Service)
	}
}

// answers notes that an instance has begun a sound answer, or ended one that it began before others were lost.
func (g *Gate) answers(in core.Instance) {
	if g.loads.answers(in.Start()) {
		g.log.Info("instance answers again", "instance", in.ID, "born", in.StartedAt, "service", in.Service)
	}
}

func (a *attempt) gone(v verdict) verdict {
	if a.r.ctx.Err() != nil {
		return verdictGone
	}
	return v
}

// message is the request as the upstream gets it: line and body unchanged, with one length that we have counted ourselves.
func (a *attempt) message() []byte {
	r := a.r
	h := forwarded(r.in.Header)
	r.g.dialect.Write(h, Sending{
		Instance:  a.in.ID,
		Left:      r.until.Sub(r.g.clock.Now()),
		Account:   r.account,
		Late:      r.isLate(),
		LastEvent: r.stream.last,
	})
	if len(r.body) > 0 || r.in.Method != http.MethodGet && r.in.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	var b bytes.Buffer
	b.WriteString(r.in.Method + " " + r.in.RequestURI + " HTTP/1.1\r\nHost: " + r.in.Host + "\r\n")
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// read returns the head of the answer that belongs to the request.
func (a *attempt) read() (*http.Response, error) {
	for stray := 0; ; {
		resp, err := http.ReadResponse(a.conn.Reader, a.r.in)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		a.reply = a.r.g.dialect.Reply(resp.StatusCode, resp.Header)
		if a.reply.ID == a.r.call.ID || a.reply.ID == "" && !a.conn.Reused {
			return resp, nil
		}
		a.r.g.log.Warn("an answer to another request", "id", a.r.call.ID, "instance", a.in.ID, "answers", a.reply.ID, "status", resp.StatusCode)
		if stray++; stray > maxStrayAnswers || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, &StrayError{ID: a.reply.ID}
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

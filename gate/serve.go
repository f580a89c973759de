package gate

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumpass/core"
	"geraniumpass/meter"
	"geraniumpass/plan"
)

const (
	// callerMargin is kept of a caller's own time so that the final answer still reaches it: several delays between caller and entry.
	callerMargin = 20 * time.Millisecond
	// firstEventMargin is how long before its caller would leave a stream that has no event yet gets its final answer: several times what a
	// busy entry takes to wake. A caller who leaves first gets no answer, and a server that stands still can't be told to stop.
	firstEventMargin = 100 * time.Millisecond
	// usualBudget stands in for the time of a route and a caller that both name none.
	usualBudget = 30 * time.Second
	// noTableBackoff is when a caller comes back to an entry that knows no table yet; one is read within some ms of the store's answer.
	noTableBackoff = 500 * time.Millisecond
)

// ServeHTTP answers one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	r := &request{
		g:     g,
		w:     w,
		in:    in,
		ctx:   in.Context(),
		snap:  g.view.Now(),
		came:  g.clock.Now(),
		tried: make(map[core.Start]bool),
	}
	status := r.serve()
	r.note(status)
	if status == statusGone || status == statusBroken {
		r.breakOff()
	}
}

// breakOff ends the caller's connection so that it doesn't take what it has for a whole answer.
func (r *request) breakOff() {
	if !r.in.ProtoAtLeast(1, 1) {
		// Such a caller knows no chunks: a connection that is closed in order is the end of a whole answer for it, a reset is not.
		if c, _, err := http.NewResponseController(r.w).Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// Statuses of requests that end without a status line of their own.
const (
	statusGone   = -1
	statusBroken = -2
)

// notBegun stands in the log for a request that no upstream began to answer.
const notBegun = -1

// serve returns the status that the caller got.
func (r *request) serve() int {
	if r.g.leaving.Load() {
		r.w.Header().Set("Connection", "close")
	}
	if r.snap.Table == nil {
		return r.refuse("no_table", noTableBackoff)
	}
	call, err := r.g.dialect.Read(r.in.Header)
	if err != nil || !strings.HasPrefix(r.in.RequestURI, "/") {
		r.w.Header().Set("Connection", "close")
		return r.fail(http.StatusBadRequest, "bad_request")
	}
	r.call = call
	if status := r.admit(); status != 0 {
		return status
	}
	if status := r.readBody(); status != 0 {
		return status
	}
	r.stream.last = call.LastEvent
	if r.route.Kind == plan.KindStream && r.route.Patience > firstEventMargin {
		r.firstEventDue = r.g.clock.Now().Add(r.route.Patience - firstEventMargin)
	}
	return r.exchange()
}

// admit finds the route and the account; it returns zero when the request may go on.
func (r *request) admit() int {
	path, _, _ := strings.Cut(r.in.RequestURI, "?")
	r.route = r.snap.Table.Match(r.in.Host, path)
	if r.route == nil {
		return r.fail(http.StatusNotFound, "no_route")
	}
	if a := r.snap.Table.Account(r.call.Key); a != nil {
		r.account = a.Name
	} else if r.snap.Table.RequiresKey() && !r.route.Anonymous {
		return r.fail(http.StatusUnauthorized, "no_account")
	}
	limit := r.route.Timeout
	if limit <= 0 {
		limit = usualBudget
	}
	if r.call.Budget > 0 {
		limit = min(limit, r.call.Budget-callerMargin)
	}
	r.until = r.came.Add(limit)
	r.spent = r.g.budgets.spent(r.route, r.call.Budget, r.came)
	r.service = r.pickService()
	if r.service == nil {
		return r.refuse("no_service", noTableBackoff)
	}
	return 0
}

// pickService draws one of the route's services by weight.
func (r *request) pickService() *plan.Service {
	sum := 0
	for _, s := range r.route.Shares {
		sum += s.Weight
	}
	if sum <= 0 {
		return nil
	}
	n := r.g.draw(sum)
	for _, s := range r.route.Shares {
		if n -= s.Weight; n < 0 {
			return r.snap.Table.Service(s.Service)
		}
	}
	return nil
}

// readBody takes the whole body in, so that nothing reaches an upstream of a request that can't be completed.
func (r *request) readBody() int {
	if r.in.ContentLength == 0 {
		return 0
	}
	if most := r.snap.Table.Limits.BodyBytes; most > 0 {
		r.in.Body = http.MaxBytesReader(r.w, r.in.Body, int64(most))
	}
	_ = http.NewResponseController(r.w).SetReadDeadline(r.until)
	body, err := io.ReadAll(r.in.Body)
	_ = http.NewResponseController(r.w).SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		r.body = body
		return 0
	case errors.As(err, &large):
		return r.fail(http.StatusRequestEntityTooLarge, "too_large")
	case r.ctx.Err() != nil:
		return statusGone
	case r.g.clock.Now().After(r.until):
		return r.fail(http.StatusRequestTimeout, "body_late")
	}
	r.w.Header().Set("Connection", "close")
	return r.fail(http.StatusBadRequest, "body_broken")
}

// refuse promises that the request has not run and says when to come back.
func (r *request) refuse(reason string, after time.Duration) int {
	r.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return r.fail(http.StatusServiceUnavailable, reason)
}

// fail ends the request with a status of this system's own.
func (r *request) fail(status int, reason string) int {
	r.reason = reason
	h := r.w.Header()
	h["Content-Type"] = nil
	h["Date"] = nil
	h.Set("Content-Length", "0")
	r.w.WriteHeader(status)
	return status
}

// note logs and counts how the request ended.
func (r *request) note(status int) {
	took := r.g.since(r.came)
	name, aim := "none", time.Duration(0)
	if r.route != nil {
		name, aim = r.route.Name, r.route.Aim
	}
	result := resultOf(status)
	r.g.meter.Observe(meter.Sample{
		Class:  name,
		Domain: r.g.opts.Domain,
		Result: result,
		Took:   took,
		OnTime: status == http.StatusOK && took <= aim,
	})
	outcomes.Add(string(result), 1)
	version := int64(0)
	if r.snap.Table != nil {
		version = r.snap.Table.Version
	}
	r.g.log.Info("request", "id", r.call.ID, "route", name, "status", status, "reason", r.reason, "instance", r.instance,
		"sends", r.sends, "ms", took.Milliseconds(), "begun_ms", r.begunAfter(), "event", r.stream.last, "pause_ms", r.stream.pause.Milliseconds(), "table", version, "rev", r.snap.Rev)
}

// begunAfter is the time in ms from the request to the first byte of an upstream's answer, -1 when none came: a request that an upstream
// took in and did not begin is told from one that it was working on.
func (r *request) begunAfter() int64 {
	if r.begun.IsZero() {
		return notBegun
	}
	return r.begun.Sub(r.came).Milliseconds()
}

func resultOf(status int) meter.Result {
	switch {
	case status == statusGone:
		return meter.ResultGone
	case status >= 200 && status < 300:
		return meter.ResultWhole
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests,
		status >= 400 && status < 500:
		return meter.ResultNotRun
	}
	return meter.ResultUnknown
}

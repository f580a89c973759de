package gate

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumpass/core"
	"geraniumpass/meter"
	"geraniumpass/plan"
	"geraniumpass/store"
)

const (
	// callerMargin is subtracted from a caller's budget so that the final answer still reaches the
	// caller. It covers several network delays between caller and entry.
	callerMargin = 20 * time.Millisecond
	// firstEventMargin is subtracted from the time a caller waits for the first event of a stream,
	// so that the final answer is sent before the caller disconnects. It covers several times the
	// wake-up delay of a busy entry. A caller that disconnects first gets no answer, and its request
	// can't be canceled on a stalled server.
	firstEventMargin = 100 * time.Millisecond
	// defaultBudget applies if neither the route nor the caller sets a time limit.
	defaultBudget = 30 * time.Second
	// noTableBackoff is the Retry-After while the entry has no routing table, which is loaded
	// within milliseconds of the store's answer.
	noTableBackoff = 500 * time.Millisecond
)

// ServeHTTP handles one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	r := &request{
		g:          g,
		w:          w,
		req:        req,
		ctx:        req.Context(),
		snap:       g.view.Now(),
		receivedAt: g.clock.Now(),
		tried:      make(map[core.Start]bool),
	}
	r.bound()
	status := r.serve()
	r.recordOutcome(status)
	if status == statusCallerGone || status == statusAborted {
		r.abortConnection()
	}
}

// abortConnection closes the caller's connection so that the caller doesn't mistake a partial answer
// for a complete one.
func (r *request) abortConnection() {
	if !r.req.ProtoAtLeast(1, 1) {
		// HTTP/1.0 callers don't support chunked encoding and interpret an orderly close as the end
		// of a complete answer, so the connection is reset.
		if c, _, err := http.NewResponseController(r.w).Hijack(); err == nil {
			if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// Status values of requests that end without a status line.
const (
	statusCallerGone = -1
	statusAborted    = -2
)

// noFirstByte is logged as begun_ms for a request that no upstream began to answer.
const noFirstByte = -1

// serve handles the request and returns the status sent to the caller.
func (r *request) serve() int {
	if _, stopping := r.g.finalDue(); stopping {
		r.w.Header().Set("Connection", "close")
	}
	if r.snap.Table == nil {
		return r.reject("no_table", noTableBackoff)
	}
	call, err := r.g.dialect.Read(r.req.Header)
	if err != nil || !strings.HasPrefix(r.req.RequestURI, "/") {
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
	r.stream.lastEvent = call.LastEvent
	if len(call.Segments) > 0 {
		r.g.crashes.CountRequest(r.segmentDigests())
	}
	if reason := r.crashReason(); reason != "" {
		return r.failCrashing(reason)
	}
	if status := r.checkRoom(); status != 0 {
		return status
	}
	if r.route.Kind == plan.KindStream && r.route.Patience > firstEventMargin {
		r.firstEventDeadline = r.g.clock.Now().Add(r.route.Patience - firstEventMargin)
	}
	return r.tryUpstreams()
}

// admit resolves route, account and service. It returns zero if the request is admitted.
func (r *request) admit() int {
	path, _, _ := strings.Cut(r.req.RequestURI, "?")
	r.route = r.snap.Table.Match(r.req.Host, path)
	if r.route == nil {
		return r.fail(http.StatusNotFound, "no_route")
	}
	if !r.route.Served() {
		return r.reject("route_not_understood", noTableBackoff)
	}
	if a := r.snap.Table.Account(r.call.Key); a != nil {
		if a.Name == "" && !r.route.Anonymous {
			return r.reject("account_not_understood", noTableBackoff)
		}
		r.account, r.accountRank = a.Name, a.Rank
	} else if r.snap.Table.RequiresKey() && (!r.route.Anonymous || r.call.Key != "") {
		return r.fail(http.StatusUnauthorized, "no_account")
	}
	limit := r.route.Timeout
	if limit <= 0 {
		limit = defaultBudget
	}
	if r.call.Budget > 0 {
		limit = min(limit, r.call.Budget-callerMargin)
	}
	r.deadline = r.receivedAt.Add(limit)
	r.spentBefore = r.g.budgets.spent(r.route, r.call.Budget, r.receivedAt)
	r.service = r.pickService()
	if r.service == nil {
		return r.reject("no_service", noTableBackoff)
	}
	return 0
}

// pickService picks one of the route's services at random by weight.
func (r *request) pickService() *plan.Service {
	sum := 0
	for _, s := range r.route.Shares {
		sum += s.Weight
	}
	if sum <= 0 {
		return nil
	}
	n := r.g.randomIntN(sum)
	for _, s := range r.route.Shares {
		if n -= s.Weight; n < 0 {
			return r.snap.Table.Service(s.Service)
		}
	}
	return nil
}

// reject answers 503 with a Retry-After, which guarantees that the request was not executed.
func (r *request) reject(reason string, after time.Duration) int {
	r.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return r.fail(http.StatusServiceUnavailable, reason)
}

// fail ends the request with a status generated by the entry.
func (r *request) fail(status int, reason string) int {
	r.reason = reason
	h := r.w.Header()
	h["Content-Type"] = nil
	h["Date"] = nil
	h.Set("Content-Length", "0")
	r.w.WriteHeader(status)
	return status
}

// recordOutcome logs and counts how the request ended.
func (r *request) recordOutcome(status int) {
	took := r.g.elapsed(r.receivedAt)
	name, aim := "none", time.Duration(0)
	if r.route != nil {
		name, aim = r.route.Name, r.route.Aim
	}
	result := resultOf(status)
	if r.sends > 0 && result != meter.ResultNotExecuted {
		r.g.durations.record(name, took, r.g.clock.Now())
	}
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
	r.g.log.Info("request", "id", shortened(r.call.ID), "route", name, "status", status, "reason", r.reason, "instance", r.lastInstance,
		"sends", r.sends, "ms", took.Milliseconds(), "begun_ms", r.firstByteMillis(), "event", r.stream.lastEvent, "pause_ms", r.stream.maxPause.Milliseconds(), "table", version, "rev", store.NumberOf(r.snap.Rev))
}

// firstByteMillis returns the time in milliseconds from the request to the first byte of an
// upstream's answer, or noFirstByte. It distinguishes requests that an upstream accepted but did not
// begin from those it was working on.
func (r *request) firstByteMillis() int64 {
	if r.firstByteAt.IsZero() {
		return noFirstByte
	}
	return r.firstByteAt.Sub(r.receivedAt).Milliseconds()
}

func resultOf(status int) meter.Result {
	switch {
	case status == statusCallerGone:
		return meter.ResultCallerGone
	case status >= 200 && status < 300:
		return meter.ResultComplete
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests,
		status >= 400 && status < 500:
		return meter.ResultNotExecuted
	}
	return meter.ResultUnknown
}

package gate

import (
	"expvar"
	"net/http"
	"slices"

	"geraniumpass/core"
	"geraniumpass/loads"
)

// relocations counts the requests that left an instance, by reason, and what became of them.
var relocations = expvar.NewMap("relocations")

// trackDeparture makes the attempt known to Relocate if its request may run more than once.
func (a *attempt) trackDeparture() {
	r := a.r
	a.departure = &departure{
		service: r.service.Name,
		conn:    a.conn,
		placement: loads.Placement{
			Start:      a.instance.Start(),
			Repeatable: r.route.Repeatable(),
			Gap:        r.route.Gap,
			Aim:        r.route.Aim,
			Slots:      a.instance.Slots,
		},
	}
	if r.route.Repeatable() && r.sends < r.route.Attempts {
		r.g.departures.add(a.departure)
	}
}

// tryLeave returns a *RelocationError if the request can go on at another instance, else nil. The
// request then stays, because no other instance would answer.
func (a *attempt) tryLeave(reason loads.Reason) error {
	r := a.r
	leftBefore := r.left
	if group := r.g.groups.GroupOf(a.instance.Start()); group != "" && reason.LeavesGroup() {
		r.left = append(slices.Clip(r.left), group)
	}
	if r.ctx.Err() != nil || !r.canFailOver() {
		r.left = leftBefore
		return nil
	}
	return &RelocationError{Reason: reason}
}

// recordLeave records that the request leaves its instance. Neither the instance nor the request has
// failed, so nothing else counts it.
func (a *attempt) recordLeave(reason loads.Reason) verdict {
	r := a.r
	r.reason = string(reason)
	r.relocated = true
	relocations.Add(string(reason), 1)
	r.g.log.Info("request leaves its instance", "id", r.call.ID, "reason", reason, "instance", a.instance.ID, "event", r.stream.lastEvent)
	return a.orCallerGone(verdictRelocated)
}

// recordRelocated counts what became of a request that left an instance.
func (r *request) recordRelocated(status int) {
	switch {
	case !r.relocated:
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		relocations.Add("completed", 1)
	case status == statusCallerGone:
		relocations.Add("caller_gone", 1)
	default:
		relocations.Add("lost", 1)
	}
}

// hasLeft reports whether the request has left the group of an incarnation because it was stalled or
// closed.
func (r *request) hasLeft(start core.Start) bool {
	return len(r.left) > 0 && slices.Contains(r.left, r.g.groups.GroupOf(start))
}

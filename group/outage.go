package group

import (
	"expvar"
	"strconv"
	"time"

	"geraniumpass/outage"
)

var (
	// groupOutages counts the phases that the group of this rank went through.
	groupOutages = expvar.NewMap("group_outages")
	// formingErrors is the distribution of the difference between the expected and the observed forming
	// times.
	formingErrors = expvar.NewMap("group_forming_error_ms")
)

// formingErrorBounds returns the upper bounds of the buckets of formingErrors, in ascending order.
func formingErrorBounds() []time.Duration {
	return []time.Duration{
		25 * time.Millisecond,
		50 * time.Millisecond,
		100 * time.Millisecond,
		250 * time.Millisecond,
		time.Second,
	}
}

// watchOutage observes the condition of the group and logs and counts a change of its phase. The caller
// holds mu.
func (a *Agent) watchOutage(now time.Time) {
	before := a.seen.outage.Phase()
	ended, ok := a.seen.observeOutage(now)
	if ok {
		a.recordOutage(&ended)
	}
	phase := a.seen.outage.Phase()
	if phase == before || phase == outage.PhaseOpen {
		return
	}
	groupOutages.Add(string(phase), 1)
	e := a.seen.outage.Estimate(now)
	a.Log.Info("group outage", "group", a.report.Group, "phase", string(phase), "missing", e.Missing, "epoch", a.report.Epoch,
		"basis", e.Basis.String(), "opens_in_ms", e.OpensIn.Milliseconds())
}

func (a *Agent) recordOutage(ended *outage.Outage) {
	groupOutages.Add("ended", 1)
	a.Log.Info("group outage ended", "group", a.report.Group, "epoch", a.report.Epoch, "closed_ms", ended.Closed.Milliseconds(),
		"missing_ms", ended.Missing.Milliseconds(), "forming_ms", ended.Forming.Milliseconds(), "expected_forming_ms", ended.ExpectedForming.Milliseconds())
	if ended.Forming > 0 && ended.ExpectedForming > 0 {
		formingErrors.Add(formingErrorBucket((ended.Forming - ended.ExpectedForming).Abs()), 1)
	}
}

// formingErrorBucket returns the name of the bucket that counts a difference: its upper bound, included, in
// milliseconds, or "more".
func formingErrorBucket(d time.Duration) string {
	for _, bound := range formingErrorBounds() {
		if d <= bound {
			return strconv.FormatInt(bound.Milliseconds(), 10)
		}
	}
	return "more"
}

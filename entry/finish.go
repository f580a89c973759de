package entry

import (
	"errors"

	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/meter"
)

// finish records the metrics of a completed request and logs its result.
func (e *Entry) finish(r *request, err error) {
	now := e.clock.Now()
	took := now.Sub(r.startedAt)
	measured := took
	if r.class.Target.Measure == config.MeasureFirstToken && !r.firstDataAt.IsZero() {
		measured = r.firstDataAt.Sub(r.startedAt)
	}
	result := meter.ResultComplete
	var refusal *core.Refusal
	var gone *callerGoneError
	switch {
	case errors.As(err, &refusal) && refusal.Outcome == core.OutcomeNotRun:
		result = meter.ResultNotExecuted
	case errors.As(err, &refusal):
		result = meter.ResultUnknown
	case errors.As(err, &gone):
		result = meter.ResultCallerGone
	}
	e.meter.Observe(meter.Sample{
		Class:  r.class.Name,
		Domain: r.domain,
		Result: result,
		Took:   measured,
		OnTime: result == meter.ResultComplete && measured <= r.class.Target.Within.Duration,
	})
	if err != nil {
		e.log.Info("request ended", "request", r.id, "account", r.account, "class", r.class.Name, "result", result, "took", took, "error", err)
		return
	}
	e.log.Debug("request ended", "request", r.id, "account", r.account, "class", r.class.Name, "result", result, "took", took)
}

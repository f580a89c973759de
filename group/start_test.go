package group

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/shift"
)

// stubEngine returns a fixed report and ignores orders.
type stubEngine struct {
	report Report
}

func (e *stubEngine) Report(context.Context) (Report, error)        { return e.report, nil }
func (e *stubEngine) Counts(context.Context) ([]int64, error)       { return []int64{5}, nil }
func (e *stubEngine) Lists(context.Context) (int64, [][]int, error) { return 0, nil, nil }
func (e *stubEngine) Do(context.Context, shift.Order, [][][]int) (bool, error) {
	return true, nil
}

// TestAgentRejectsStaleStart restarts the engine under its agent and then delivers a delayed report
// of the earlier start.
func TestAgentRejectsStaleStart(t *testing.T) {
	e := &stubEngine{}
	e.report.EngineStart = 100
	a := NewAgent(e, clockwork.NewFakeClock(), hclog.NewNullLogger())
	ctx := context.Background()
	a.poll(ctx)
	a.tally.Add([]int64{9})
	a.preparing = 7
	e.report.EngineStart = 200
	if _, err := a.readReport(ctx); err != nil {
		t.Fatal(err)
	}
	if a.preparing != shift.None {
		t.Errorf("still waits for version %d, which the earlier engine start was ordered to prepare", a.preparing)
	}
	if counted, _ := a.tally.Take(); counted != nil {
		t.Error("counts of the earlier engine start were kept")
	}
	e.report.EngineStart = 100
	var start *StaleStartError
	if _, err := a.readReport(ctx); !errors.As(err, &start) || start.Known != 200 || start.Got != 100 {
		t.Errorf("stale report of the earlier engine start: got error %v", err)
	}
}

package group

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/shift"
)

// fixedEngine reports what the test sets and takes no orders.
type fixedEngine struct {
	report Report
}

func (e *fixedEngine) Report(context.Context) (Report, error)        { return e.report, nil }
func (e *fixedEngine) Counts(context.Context) ([]int64, error)       { return []int64{5}, nil }
func (e *fixedEngine) Lists(context.Context) (int64, [][]int, error) { return 0, nil, nil }
func (e *fixedEngine) Do(context.Context, shift.Order, [][][]int) (bool, error) {
	return true, nil
}

// TestAgentKeepsToOneStart has an engine start again under its agent, and a late word of its earlier start come after that.
func TestAgentKeepsToOneStart(t *testing.T) {
	e := &fixedEngine{}
	e.report.Born = 100
	a := NewAgent(e, clockwork.NewFakeClock(), hclog.NewNullLogger())
	ctx := context.Background()
	a.poll(ctx)
	a.tally.Add([]int64{9})
	a.copying = 7
	e.report.Born = 200
	if _, err := a.look(ctx); err != nil {
		t.Fatal(err)
	}
	if a.copying != shift.None {
		t.Errorf("still waits for the copy of version %d, which its engine's earlier start was told", a.copying)
	}
	if counted, _ := a.tally.Take(); counted != nil {
		t.Error("counts of the engine's earlier start are told")
	}
	e.report.Born = 100
	var start *StartError
	if _, err := a.look(ctx); !errors.As(err, &start) || start.Known != 200 || start.Got != 100 {
		t.Errorf("a late word of the earlier start was taken: %v", err)
	}
}

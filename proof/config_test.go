package proof

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/entry"
	"geraniumpass/oper"
	"geraniumpass/setup"
	"geraniumpass/stand"
)

// changeInput and changeOutput describe one operation of the history that porcupine checks.
type changeInput struct {
	id   string
	base uint64
}

type changeOutput struct {
	accepted bool
	unsure   bool
	revision uint64
}

// registerModel models a configuration that accepts a change only if it is based on the current
// revision.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		revision := state.(uint64)
		in, out := input.(changeInput), output.(changeOutput)
		switch {
		case out.accepted:
			return in.base == revision && out.revision == revision+1, revision + 1
		default:
			// Rejected: a concurrent change was accepted first.
			return in.base != revision, revision
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history collects the operations of concurrent operators.
type history struct {
	mu          sync.Mutex
	ops         []porcupine.Operation
	acceptedIDs map[string]bool
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	if out := op.Output.(changeOutput); out.accepted {
		h.acceptedIDs[op.Input.(changeInput).id] = true
	}
}

// submitChanges submits one operator's changes until n of them are accepted; it fails after 500
// attempts.
func submitChanges(d *deploy.Deployment, h *history, operator, n int) error {
	client := d.Operator(operator % len(d.Entries))
	accepted := 0
	for try := 0; accepted < n && try < 500; try++ {
		doc, err := client.Config()
		if err != nil {
			continue
		}
		id := fmt.Sprintf("op-%d-%d", operator, try)
		started := time.Now().UnixNano()
		out, err := submitChange(client, id, doc.Revision, operator, try)
		if err != nil {
			return err
		}
		for out.unsure {
			// Retrying a change under the same ID is idempotent and returns the outcome of the
			// first attempt.
			if out, err = submitChange(client, id, doc.Revision, operator, try); err != nil {
				return err
			}
		}
		h.add(porcupine.Operation{
			ClientId: operator,
			Input:    changeInput{id: id, base: doc.Revision},
			Call:     started,
			Output:   out,
			Return:   time.Now().UnixNano(),
		})
		if out.accepted {
			accepted++
		}
	}
	if accepted < n {
		return fmt.Errorf("operator %d got %d of %d changes accepted", operator, accepted, n)
	}
	return nil
}

func submitChange(client *oper.Client, id string, base uint64, operator, try int) (changeOutput, error) {
	target := config.Target{
		Measure: config.MeasureComplete,
		Within:  setup.Duration{Duration: time.Duration(1000+operator*100+try) * time.Millisecond},
		Percent: 95,
	}
	reply, err := client.Change(entry.ChangeRequest{
		ID:   id,
		Base: base,
		Who:  fmt.Sprint("operator ", operator),
		Ops: []config.Op{{
			Kind:   config.OpSetTarget,
			Name:   "lookup",
			Target: &target,
		}},
	})
	var failed *oper.CallError
	switch {
	case err == nil:
		return changeOutput{accepted: reply.Accepted, revision: reply.Revision}, nil
	case errors.As(err, &failed) && failed.Status == 409:
		return changeOutput{}, nil
	case errors.As(err, &failed) && (failed.Reply.Unsure || failed.Status == 503):
		return changeOutput{unsure: true}, nil
	}
	return changeOutput{}, err
}

// raceOperators runs concurrent operators while injectFault runs, then checks that the history is
// linearizable and that the audit log is complete.
func raceOperators(t *testing.T, d *deploy.Deployment, operators, changesPerOperator int, injectFault func()) {
	t.Helper()
	h := &history{acceptedIDs: make(map[string]bool)}
	var wg sync.WaitGroup
	failed := make(chan error, operators)
	for o := range operators {
		wg.Go(func() { failed <- submitChanges(d, h, o, changesPerOperator) })
	}
	injectFault()
	wg.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			t.Error(err)
		}
	}
	if res := porcupine.CheckOperationsTimeout(registerModel, h.ops, waitLimit); res != porcupine.Ok {
		t.Errorf("linearizability check of %d operations returned %s", len(h.ops), res)
	}
	checkRolledOut(t, d, h.acceptedIDs)
}

// checkRolledOut waits until every entry and agent runs the newest revision, then checks that the
// audit log contains each accepted change exactly once and has no revision gaps.
func checkRolledOut(t *testing.T, d *deploy.Deployment, ids map[string]bool) {
	t.Helper()
	started := time.Now()
	newest := uint64(len(ids) + 1)
	eventually(t, "every entry and agent to run the newest revision", func() bool {
		for i := range d.Entries {
			s, err := d.Operator(i).Status()
			if err != nil || s.Revision < newest {
				return false
			}
			for _, u := range s.Upstreams {
				if u.Revision < newest {
					return false
				}
			}
		}
		return true
	})
	t.Logf("newest revision running on every entry and agent after %s", time.Since(started).Round(time.Millisecond))
	records, err := d.Operator(0).Audit(1)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]int)
	for i, r := range records {
		seen[r.ID]++
		if r.Revision != uint64(i+1) {
			t.Fatalf("audit record %d has revision %d", i, r.Revision)
		}
	}
	for id := range ids {
		if seen[id] != 1 {
			t.Errorf("accepted change %s appears %d times in the audit log, want 1", id, seen[id])
		}
	}
}

func TestConcurrentConfigChangesAreLinearizable(t *testing.T) {
	tests := []struct {
		name               string
		operators          int
		changesPerOperator int
		injectFault        func(d *deploy.Deployment)
	}{
		{name: "two operators", operators: 2, changesPerOperator: 20, injectFault: func(*deploy.Deployment) {}},
		{name: "ten operators", operators: 10, changesPerOperator: 6, injectFault: func(*deploy.Deployment) {}},
		{name: "ten operators whose writes' answers are lost", operators: 10, changesPerOperator: 5, injectFault: func(d *deploy.Deployment) {
			d.KeyValue.SetFault(stand.Fault{LoseNext: 25})
		}},
		{name: "two operators and enough changes to roll pages", operators: 2, changesPerOperator: 160, injectFault: func(*deploy.Deployment) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, smallPlan(), deploy.Options{})
			raceOperators(t, d, tt.operators, tt.changesPerOperator, func() { tt.injectFault(d) })
		})
	}
}

func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	target := config.Target{
		Measure: config.MeasureComplete,
		Within:  setup.Duration{Duration: 1234 * time.Millisecond},
		Percent: 99,
	}
	op := config.Op{
		Kind:   config.OpSetTarget,
		Name:   "lookup",
		Target: &target,
	}
	waitForTarget := func(t *testing.T, d *deploy.Deployment, revision uint64) {
		t.Helper()
		eventually(t, "every entry to run the accepted revision", func() bool {
			for i := range d.Entries {
				doc, err := d.Operator(i).Config()
				if err != nil || doc.Revision < revision {
					return false
				}
				if doc.Classes[0].Target != target {
					t.Fatalf("%s has target %+v at revision %d", d.Entries[i].ID, doc.Classes[0].Target, doc.Revision)
				}
			}
			return true
		})
	}
	t.Run("every entry replaced during an outage", func(t *testing.T) {
		t.Parallel()
		d := launch(t, smallPlan(), deploy.Options{})
		revision := applyChange(t, d, 0, op)
		d.KeyValue.SetFault(stand.Fault{Down: true})
		eventually(t, "every agent to run the accepted revision", func() bool {
			s, err := d.Operator(0).Status()
			if err != nil {
				return false
			}
			for _, u := range s.Upstreams {
				if u.Revision < revision {
					return false
				}
			}
			return true
		})
		for _, p := range d.Entries {
			p.Kill()
		}
		for _, p := range d.Entries {
			if err := p.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		waitForTarget(t, d, revision)
		d.KeyValue.SetFault(stand.Fault{})
		waitForTarget(t, d, revision)
	})
	t.Run("a failure domain cut off from the platform and healed", func(t *testing.T) {
		t.Parallel()
		d := launch(t, smallPlan(), deploy.Options{})
		d.StoreRelays["hall-c"].Set(stand.RelayFault{Cut: true})
		revision := applyChange(t, d, 0, op)
		// Links to entries and agents in other failure domains propagate the change.
		waitForTarget(t, d, revision)
		d.StoreRelays["hall-c"].Set(stand.RelayFault{})
		waitForTarget(t, d, revision)
	})
	t.Run("agents replaced during an outage", func(t *testing.T) {
		t.Parallel()
		d := launch(t, smallPlan(), deploy.Options{})
		revision := applyChange(t, d, 1, op)
		waitForTarget(t, d, revision)
		d.KeyValue.SetFault(stand.Fault{Down: true})
		for _, a := range d.Agents {
			a.Kill()
			if err := a.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		checkRolledOut(t, d, map[string]bool{})
		waitForTarget(t, d, revision)
	})
}

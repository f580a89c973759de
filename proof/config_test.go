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

// changeInput and changeOutput are one operation of the history that porcupine checks.
type changeInput struct {
	id   string
	base uint64
}

type changeOutput struct {
	accepted bool
	unsure   bool
	revision uint64
}

// registerModel is a configuration that takes a change only against its present revision.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		revision := state.(uint64)
		in, out := input.(changeInput), output.(changeOutput)
		switch {
		case out.accepted:
			return in.base == revision && out.revision == revision+1, revision + 1
		default:
			// Refused: another change came first.
			return in.base != revision, revision
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history collects operations of many operators.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	ids map[string]bool
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	if out := op.Output.(changeOutput); out.accepted {
		h.ids[op.Input.(changeInput).id] = true
	}
}

// compete has an operator make changes until n of them are accepted.
func compete(d *deploy.Deployment, h *history, operator, n int) error {
	client := d.Operator(operator % len(d.Entries))
	accepted := 0
	for try := 0; accepted < n && try < 500; try++ {
		doc, err := client.Config()
		if err != nil {
			continue
		}
		id := fmt.Sprintf("op-%d-%d", operator, try)
		started := time.Now().UnixNano()
		out, err := oneChange(client, id, doc.Revision, operator, try)
		if err != nil {
			return err
		}
		for out.unsure {
			// Repeating a change under its own id is harmless and tells what became of it.
			if out, err = oneChange(client, id, doc.Revision, operator, try); err != nil {
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

func oneChange(client *oper.Client, id string, base uint64, operator, try int) (changeOutput, error) {
	target := config.Target{
		Measure: config.MeasureWhole,
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

// race lets operators compete while something is broken, and checks the history and the trail.
func race(t *testing.T, d *deploy.Deployment, operators, each int, hurt func()) {
	t.Helper()
	h := &history{ids: make(map[string]bool)}
	var wg sync.WaitGroup
	failed := make(chan error, operators)
	for o := range operators {
		wg.Go(func() { failed <- compete(d, h, o, each) })
	}
	hurt()
	wg.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			t.Error(err)
		}
	}
	if res := porcupine.CheckOperationsTimeout(registerModel, h.ops, waitLimit); res != porcupine.Ok {
		t.Errorf("history of %d operations is %s", len(h.ops), res)
	}
	inForceEverywhere(t, d, h.ids)
}

// inForceEverywhere waits until every entry and agent holds the newest revision, and looks for every accepted change in the trail.
func inForceEverywhere(t *testing.T, d *deploy.Deployment, ids map[string]bool) {
	t.Helper()
	started := time.Now()
	newest := uint64(len(ids) + 1)
	eventually(t, "everyone to hold the newest revision", func() bool {
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
	t.Logf("in force everywhere after %s", time.Since(started).Round(time.Millisecond))
	records, err := d.Operator(0).Audit(1)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]int)
	for i, r := range records {
		seen[r.ID]++
		if r.Revision != uint64(i+1) {
			t.Fatalf("record %d has revision %d", i, r.Revision)
		}
	}
	for id := range ids {
		if seen[id] != 1 {
			t.Errorf("accepted change %s stands %d times in the trail", id, seen[id])
		}
	}
}

func TestOperatorsRace(t *testing.T) {
	tests := []struct {
		name      string
		operators int
		each      int
		hurt      func(d *deploy.Deployment)
	}{
		{name: "two operators", operators: 2, each: 20, hurt: func(*deploy.Deployment) {}},
		{name: "ten operators", operators: 10, each: 6, hurt: func(*deploy.Deployment) {}},
		{name: "ten operators whose writes' answers are lost", operators: 10, each: 5, hurt: func(d *deploy.Deployment) {
			d.KeyValue.SetFault(stand.Fault{LoseNext: 25})
		}},
		{name: "two operators and enough changes to roll pages", operators: 2, each: 160, hurt: func(*deploy.Deployment) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, smallPlan(), deploy.Options{})
			race(t, d, tt.operators, tt.each, func() { tt.hurt(d) })
		})
	}
}

func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	target := config.Target{
		Measure: config.MeasureWhole,
		Within:  setup.Duration{Duration: 1234 * time.Millisecond},
		Percent: 99,
	}
	op := config.Op{
		Kind:   config.OpSetTarget,
		Name:   "lookup",
		Target: &target,
	}
	holds := func(t *testing.T, d *deploy.Deployment, revision uint64) {
		t.Helper()
		eventually(t, "every entry to hold the accepted revision", func() bool {
			for i := range d.Entries {
				doc, err := d.Operator(i).Config()
				if err != nil || doc.Revision < revision {
					return false
				}
				if doc.Classes[0].Target != target {
					t.Fatalf("%s has %+v at revision %d", d.Entries[i].ID, doc.Classes[0].Target, doc.Revision)
				}
			}
			return true
		})
	}
	t.Run("every entry replaced during an outage", func(t *testing.T) {
		t.Parallel()
		d := launch(t, smallPlan(), deploy.Options{})
		revision := change(t, d, 0, op)
		d.KeyValue.SetFault(stand.Fault{Down: true})
		eventually(t, "agents to hold the accepted revision", func() bool {
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
		holds(t, d, revision)
		d.KeyValue.SetFault(stand.Fault{})
		holds(t, d, revision)
	})
	t.Run("a failure domain cut off from the platform and healed", func(t *testing.T) {
		t.Parallel()
		d := launch(t, smallPlan(), deploy.Options{})
		d.StoreRelays["hall-c"].Set(stand.Break{Cut: true})
		revision := change(t, d, 0, op)
		// The domain still has links to entries and agents elsewhere, which bring it the change.
		holds(t, d, revision)
		d.StoreRelays["hall-c"].Set(stand.Break{})
		holds(t, d, revision)
	})
	t.Run("agents replaced during an outage", func(t *testing.T) {
		t.Parallel()
		d := launch(t, smallPlan(), deploy.Options{})
		revision := change(t, d, 1, op)
		holds(t, d, revision)
		d.KeyValue.SetFault(stand.Fault{Down: true})
		for _, a := range d.Agents {
			a.Kill()
			if err := a.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		inForceEverywhere(t, d, map[string]bool{})
		holds(t, d, revision)
	})
}

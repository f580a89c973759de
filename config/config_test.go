package config

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"geraniumpass/check"
	"geraniumpass/proto"
	"geraniumpass/setup"
)

func target(within time.Duration) Target {
	return Target{
		Measure: MeasureComplete,
		Within:  setup.Duration{Duration: within},
		Percent: 95,
	}
}

// documentChain returns the documents of revisions 0 to n, each one change after the previous.
func documentChain(t interface{ Fatal(...any) }, n int) []*Document {
	docs := []*Document{{}}
	for i := range n {
		tg := target(time.Duration(i+1) * time.Second)
		op := Op{Kind: OpSetClass, Class: &Class{Name: "lookup", Target: tg}}
		next, err := Apply(docs[i], Record{ID: fmt.Sprint("change ", i), Revision: uint64(i + 1), Who: "test", Ops: []Op{op}})
		if err != nil {
			t.Fatal(err)
		}
		short, _ := Trim(next)
		docs = append(docs, short)
	}
	return docs
}

func TestHolderRevisionNeverDecreases(t *testing.T) {
	check.SetFatal(true)
	docs := documentChain(t, 400)
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder(clockwork.NewFakeClock())
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(docs)-1), 1, 20).Draw(t, "revisions") {
			before := h.Document().Revision
			accepted := h.Offer(docs[i])
			if accepted != (docs[i].Revision > before) || h.Document().Revision != max(before, docs[i].Revision) {
				t.Fatalf("held revision %d, was offered %d, now holds %d", before, docs[i].Revision, h.Document().Revision)
			}
		}
	})
}

func TestTwoContentsOfOneRevisionViolateInvariant(t *testing.T) {
	check.SetFatal(false)
	defer check.SetFatal(true)
	docs := documentChain(t, 2)
	h := NewHolder(clockwork.NewFakeClock())
	h.Offer(docs[2])
	other := *docs[2]
	other.Records = []Record{{ID: "another"}}
	before := check.Violations(check.ConfigMonotonic)
	h.Offer(&other)
	if check.Violations(check.ConfigMonotonic) != before+1 {
		t.Error("two contents of one revision were not reported as a violation")
	}
}

// holderSender applies the frames sent to it to a holder.
type holderSender struct {
	h *Holder
}

func (s holderSender) Send(f *proto.Frame) error {
	return ApplyUpdate(s.h, f.Config)
}

func TestExchangeUpdatesAnyHolder(t *testing.T) {
	docs := documentChain(t, 400)
	tests := []struct {
		name string
		have int
	}{
		{name: "nothing", have: 0},
		{name: "records are gone", have: 10},
		{name: "records are there", have: 390},
		{name: "the newest", have: 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			newest, behind := NewHolder(clockwork.NewFakeClock()), NewHolder(clockwork.NewFakeClock())
			newest.Offer(docs[400])
			behind.Offer(docs[tt.have])
			SendUpdate(newest, holderSender{h: behind}, &proto.ConfigRequest{SinceRevision: uint64(tt.have)})
			if got := behind.Document(); got.Revision != 400 || got.Classes[0].Target.Within != docs[400].Classes[0].Target.Within {
				t.Errorf("holds revision %d with %+v", got.Revision, got.Classes)
			}
		})
	}
}

func TestApplyRejectsInvalidChanges(t *testing.T) {
	key := "0000000000000000000000000000000000000000000000000000000000000000"
	account := func(name string) Op {
		return Op{Kind: OpSetAccount, Account: &Account{Name: name, KeySHA256: []string{key}}}
	}
	tests := []struct {
		name string
		ops  []Op
	}{
		{name: "no target time", ops: []Op{{Kind: OpSetClass, Class: &Class{Name: "a", Target: target(0)}}}},
		{name: "percent above 100", ops: []Op{{Kind: OpSetClass, Class: &Class{Name: "a", Target: Target{Measure: MeasureComplete, Within: setup.Duration{Duration: time.Second}, Percent: 101}}}}},
		{name: "unknown class", ops: []Op{{Kind: OpRemoveClass, Name: "nobody"}}},
		{name: "missing value", ops: []Op{{Kind: OpSetAccount}}},
		{name: "two accounts with one key", ops: []Op{account("a"), account("b")}},
		{name: "unknown kind", ops: []Op{{Kind: "weigh"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := &Document{}
			_, err := Apply(doc, Record{ID: "x", Revision: 1, Who: "test", Ops: tt.ops})
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Errorf("got %v, want an *InvalidError", err)
			}
			if doc.Revision != 0 || len(doc.Accounts) != 0 {
				t.Error("the document was changed")
			}
		})
	}
}

func ExampleDocument_Classify() {
	doc := &Document{Classes: []Class{
		{Name: "lookup", Match: Match{Services: []string{"geranium-lm"}, Label: "lookup"}},
		{Name: "summary", Match: Match{Services: []string{"geranium-lm"}}},
	}}
	fmt.Println(doc.Classify("geranium-lm", "engineering", "lookup").Name)
	fmt.Println(doc.Classify("geranium-lm", "engineering", "").Name)
	fmt.Println(doc.Classify("simdesk", "engineering", "").Name)
	// Output:
	// lookup
	// summary
	// unclassified
}

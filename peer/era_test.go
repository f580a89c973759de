package peer

import (
	"testing"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/store"
	"geraniumpass/view"
)

// TestUpdatesAcrossEras guards against peers that stay with a state from before the store was restored,
// because its revision has a higher number, and against builds that don't know eras asking again and
// again for an update that they discard.
func TestUpdatesAcrossEras(t *testing.T) {
	tests := []struct {
		name    string
		request proto.UpdateRequest
		newer   bool
		delta   bool
	}{
		{"earlier era, higher number", proto.UpdateRequest{Rev: 900, Era: 1, KnowsEra: true, AcceptsDelta: true}, true, false},
		{"same era", proto.UpdateRequest{Rev: 40, Era: 2, KnowsEra: true, AcceptsDelta: true}, true, true},
		{"same revision", proto.UpdateRequest{Rev: 41, Era: 2, KnowsEra: true, AcceptsDelta: true}, false, false},
		{"later era, lower number", proto.UpdateRequest{Rev: 7, Era: 3, KnowsEra: true, AcceptsDelta: true}, false, false},
		{"older build, higher number", proto.UpdateRequest{Rev: 900, AcceptsDelta: true}, false, false},
		{"older build, lower number", proto.UpdateRequest{Rev: 40, AcceptsDelta: true}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			from, to := newNode(t, "a"), newNode(t, "b")
			row := core.Instance{ID: "i-1", Service: "s", Rev: store.Revision(2, 41)}
			from.view.Apply(view.Change{Rev: store.Revision(2, 40), Full: true})
			from.view.Apply(view.Change{Rev: store.Revision(2, 41), Put: []core.Instance{row}})
			s := &Server{
				View:         from.view,
				Terminations: from.terminations,
				Quotas:       from.quotas,
				Leaving:      from.leaving,
			}
			n, _ := s.update(&tt.request)
			if n.Newer != tt.newer || n.Delta != tt.delta || n.Rev != 41 || n.Era != 2 {
				t.Fatalf("newer %v, delta %v, revision %d of era %d", n.Newer, n.Delta, n.Rev, n.Era)
			}
			known := store.Revision(tt.request.Era, tt.request.Rev)
			if !tt.request.KnowsEra {
				return
			}
			to.view.Apply(view.Change{Rev: known, Full: true})
			adopted, err := adopt(to.view, n)
			if err != nil || adopted != tt.newer || to.view.Now().Rev != max(known, store.Revision(2, 41)) {
				t.Errorf("adopted %v, %v, now at %d", adopted, err, to.view.Now().Rev)
			}
		})
	}
}

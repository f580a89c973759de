package peer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/samber/lo"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/view"
)

// TestUpdateSizeFollowsTheChange guards against updates that grow with the fleet. Each entry gets an
// update for each change, so the bytes that the whole fleet exchanges grow with its square if one
// changed row brings all others along.
func TestUpdateSizeFollowsTheChange(t *testing.T) {
	const most = 600
	for _, entries := range []int{9, 42, 99, 432, 864} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			n := newNode(t, "a")
			c := view.Change{Rev: 1, Full: true, Members: make(map[string]string)}
			for i := range entries {
				c.Members[fmt.Sprintf("front-%03d", i)] = "10.128.0.1:8229"
				c.Put = append(c.Put, core.Instance{ID: fmt.Sprintf("i-%08d", i), Service: "geranium-lm", Domain: "hall-a", Address: "10.128.0.1:8080", Slots: 6, Rev: 1})
			}
			n.view.Apply(c)
			row := c.Put[0]
			row.Leaving, row.Rev = true, 2
			n.view.Apply(view.Change{Rev: 2, Put: []core.Instance{row}})
			s := &Server{
				View:         n.view,
				Terminations: n.terminations,
				Quotas:       n.quotas,
				Leaving:      n.leaving,
			}
			u, ok := s.update(&proto.UpdateRequest{Rev: 1, AcceptsDelta: true})
			if !ok {
				t.Fatal("no update for a changed row")
			}
			var b bytes.Buffer
			lo.Must0(proto.Encode(&b, &proto.Frame{Update: u}))
			if b.Len() > most {
				t.Errorf("an update for one changed row takes %d bytes, want at most %d", b.Len(), most)
			}
		})
	}
}

package group

import (
	"reflect"
	"testing"

	"geraniumpass/proto"
)

// wide is a map of as many sets, ranks and places as the larger fleets of the users have.
func wide() [][][]int {
	out := make([][][]int, 16)
	for s := range out {
		out[s] = make([][]int, 24)
		for r := range out[s] {
			out[s][r] = []int{r, r + 24, r + 48, r + 72, (r + 1) % 24}
		}
	}
	return out
}

func changed(base [][][]int, rows int) [][][]int {
	out, _ := withRows(base, nil)
	for i := range rows {
		out[i%16][i%24] = []int{i % 96, 95}
	}
	return out
}

func TestMapsByRows(t *testing.T) {
	base := wide()
	tests := []struct {
		name string
		next [][][]int
		rows int
	}{
		{"nothing changes", changed(base, 0), 0},
		{"one row", changed(base, 1), 1},
		{"a copy a rank", changed(base, 24), 24},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rows := rowsBetween(base, tt.next)
			if len(rows) != tt.rows {
				t.Errorf("%d rows, want %d", len(rows), tt.rows)
			}
			var m maps
			if _, ok := m.of(&proto.GroupOrder{Version: 1, Map: base}); !ok {
				t.Fatal("a whole map was not taken")
			}
			got, ok := m.of(&proto.GroupOrder{Version: 2, Base: 1, Rows: rows})
			if !ok || !reflect.DeepEqual(got, tt.next) {
				t.Errorf("rows don't make the map that they were taken from")
			}
			if !reflect.DeepEqual(base, wide()) {
				t.Error("the base was changed")
			}
		})
	}
}

func TestMapsThatAreNotKnown(t *testing.T) {
	tests := []struct {
		name string
		o    proto.GroupOrder
	}{
		{"no base", proto.GroupOrder{Version: 9, Base: 7}},
		{"base too old", proto.GroupOrder{Version: 9, Base: 1}},
		{"row of no set", proto.GroupOrder{Version: 9, Base: 5, Rows: []proto.MapRow{{Set: 16}}}},
		{"row of no rank", proto.GroupOrder{Version: 9, Base: 5, Rows: []proto.MapRow{{Rank: -1}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m maps
			for v := range int64(mapsKept + 1) {
				m.of(&proto.GroupOrder{Version: v + 1, Map: wide()})
			}
			if _, ok := m.of(&tt.o); ok {
				t.Error("a map was made of what isn't known")
			}
		})
	}
}

// TestOrderOfASwitchIsSmall stands for a leader behind a link of 8 Mbit/s: with 4 KB for each of 24 ranks its next orders waited 94 ms.
func TestOrderOfASwitchIsSmall(t *testing.T) {
	base := wide()
	next := changed(base, 24)
	const perRank = 400
	b, err := proto.Marshal(&proto.GroupOrder{Version: 2, Base: 1, Rows: rowsBetween(base, next)})
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > perRank {
		t.Errorf("an order takes %d bytes, want at most %d", len(b), perRank)
	}
}

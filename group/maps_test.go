package group

import (
	"reflect"
	"slices"
	"testing"

	"geraniumpass/proto"
)

// wide is a map of as many sets, ranks and places as the larger fleets of the users have.
func wide() [][][]int {
	out := make([][][]int, 16)
	for s := range out {
		out[s] = make([][]int, 24)
		for r := range out[s] {
			out[s][r] = []int{r, r + 24, r + 48, r + 72, 96 + (r+1)%24}
		}
	}
	return out
}

func changed(base [][][]int, rows int) [][][]int {
	out, _ := withChange(base, nil)
	for i := range rows {
		out[i%16][i%24] = []int{i % 96, 120}
	}
	return out
}

func TestMapsByChanges(t *testing.T) {
	base := wide()
	shorter, _ := withChange(base, nil)
	shorter[15][23] = []int{23}
	longer, _ := withChange(base, nil)
	longer[0][0] = append(slices.Clone(longer[0][0]), 130, 131)
	tests := []struct {
		name string
		next [][][]int
	}{
		{"nothing changes", changed(base, 0)},
		{"one row", changed(base, 1)},
		{"a copy a rank", changed(base, 24)},
		{"every row", changed(base, 384)},
		{"a row gives copies up", shorter},
		{"a row takes more", longer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m maps
			if _, ok := m.of(&proto.GroupOrder{Version: 1, Map: base}); !ok {
				t.Fatal("a whole map was not taken")
			}
			got, ok := m.of(&proto.GroupOrder{Version: 2, Base: 1, Change: changeBetween(base, tt.next)})
			if !ok || !reflect.DeepEqual(got, tt.next) {
				t.Errorf("the change doesn't make the map that it was taken from")
			}
			again, ok := m.of(&proto.GroupOrder{Version: 2})
			if !ok || !reflect.DeepEqual(again, tt.next) {
				t.Error("the map is not known any more when its order comes again")
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
		{"neither map nor base", proto.GroupOrder{Version: 9}},
		{"row outside", proto.GroupOrder{Version: 9, Base: 5, Change: []byte{0x80, 0x03, 1, 0}}},
		{"place outside", proto.GroupOrder{Version: 9, Base: 5, Change: []byte{0, 5*edits + editRemove}}},
		{"a place removed twice", proto.GroupOrder{Version: 9, Base: 5, Change: []byte{0, editRemove, 0, editRemove}}},
		{"cut", proto.GroupOrder{Version: 9, Base: 5, Change: []byte{0, editAdd}}},
		{"number without an end", proto.GroupOrder{Version: 9, Base: 5, Change: []byte{0xff}}},
		{"number too large", proto.GroupOrder{Version: 9, Base: 5, Change: []byte{0, editAdd, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}}},
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

// TestOrderOfASwitchIsSmall stands for a leader behind a link of 6 Mbit/s that tells 64 ranks a map with 112 copies: with 1.4 KB for each of
// them the last rank heard of it after 0.12 s, later than its copy takes. With 40 ms for all ranks, 470 bytes are left for each.
func TestOrderOfASwitchIsSmall(t *testing.T) {
	const (
		copies  = 112
		perRank = 470
	)
	base := make([][][]int, 12)
	for s := range base {
		for r := range 64 {
			base[s] = append(base[s], []int{r, r + 64, r + 128, r + 192})
		}
	}
	next, _ := withChange(base, nil)
	for i := range copies {
		r := i * 7 % 64
		next[i%12][r] = []int{r, r + 64, r + 128, 192 + (r+1)%64}
	}
	b, err := proto.Marshal(&proto.GroupOrder{Version: 2, Base: 1, Change: changeBetween(base, next)})
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > perRank {
		t.Errorf("an order takes %d bytes, want at most %d", len(b), perRank)
	}
}

// FuzzChange gives ranks changes that no leader makes: they are refused or give a map, and never change their base.
func FuzzChange(f *testing.F) {
	f.Add([]byte{0, editAdd, 3})
	f.Add([]byte{1, editReplace, 9, 0, editRemove})
	f.Fuzz(func(t *testing.T, change []byte) {
		base := wide()
		out, ok := withChange(base, change)
		if ok && len(out) != len(base) {
			t.Error("sets were lost")
		}
		if !reflect.DeepEqual(base, wide()) {
			t.Error("the base was changed")
		}
	})
}

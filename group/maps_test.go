package group

import (
	"reflect"
	"slices"
	"testing"

	"geraniumpass/proto"
)

// wideLayout returns a map with as many sets, ranks and slots as the larger fleets of users have.
func wideLayout() [][][]int {
	out := make([][][]int, 16)
	for s := range out {
		out[s] = make([][]int, 24)
		for r := range out[s] {
			out[s][r] = []int{r, r + 24, r + 48, r + 72, 96 + (r+1)%24}
		}
	}
	return out
}

func withChangedRows(base [][][]int, rows int) [][][]int {
	out, _ := applyChange(base, nil)
	for i := range rows {
		out[i%16][i%24] = []int{i % 96, 120}
	}
	return out
}

func TestMapCacheAppliesChanges(t *testing.T) {
	base := wideLayout()
	shorter, _ := applyChange(base, nil)
	shorter[15][23] = []int{23}
	longer, _ := applyChange(base, nil)
	longer[0][0] = append(slices.Clone(longer[0][0]), 130, 131)
	tests := []struct {
		name string
		next [][][]int
	}{
		{"nothing changes", withChangedRows(base, 0)},
		{"one row", withChangedRows(base, 1)},
		{"a copy a rank", withChangedRows(base, 24)},
		{"every row", withChangedRows(base, 384)},
		{"a row gives copies up", shorter},
		{"a row takes more", longer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m mapCache
			if _, ok := m.resolve(&proto.GroupOrder{Version: 1, Map: base}); !ok {
				t.Fatal("a complete map was rejected")
			}
			got, ok := m.resolve(&proto.GroupOrder{Version: 2, BaseVersion: 1, MapDelta: encodeChange(base, tt.next)})
			if !ok || !reflect.DeepEqual(got, tt.next) {
				t.Errorf("applying the encoded change does not yield the next map")
			}
			again, ok := m.resolve(&proto.GroupOrder{Version: 2})
			if !ok || !reflect.DeepEqual(again, tt.next) {
				t.Error("the map is not cached for a resent order")
			}
			if !reflect.DeepEqual(base, wideLayout()) {
				t.Error("the base was changed")
			}
		})
	}
}

func TestMapCacheRejectsInvalidOrders(t *testing.T) {
	tests := []struct {
		name string
		o    proto.GroupOrder
	}{
		{"no base", proto.GroupOrder{Version: 9, BaseVersion: 7}},
		{"base too old", proto.GroupOrder{Version: 9, BaseVersion: 1}},
		{"neither map nor base", proto.GroupOrder{Version: 9}},
		{"row outside", proto.GroupOrder{Version: 9, BaseVersion: 5, MapDelta: []byte{0x80, 0x03, 1, 0}}},
		{"place outside", proto.GroupOrder{Version: 9, BaseVersion: 5, MapDelta: []byte{0, 5*editKinds + editRemove}}},
		{"a place removed twice", proto.GroupOrder{Version: 9, BaseVersion: 5, MapDelta: []byte{0, editRemove, 0, editRemove}}},
		{"cut", proto.GroupOrder{Version: 9, BaseVersion: 5, MapDelta: []byte{0, editAdd}}},
		{"number without an end", proto.GroupOrder{Version: 9, BaseVersion: 5, MapDelta: []byte{0xff}}},
		{"number too large", proto.GroupOrder{Version: 9, BaseVersion: 5, MapDelta: []byte{0, editAdd, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m mapCache
			for v := range int64(maxCachedMaps + 1) {
				m.resolve(&proto.GroupOrder{Version: v + 1, Map: wideLayout()})
			}
			if _, ok := m.resolve(&tt.o); ok {
				t.Error("an invalid order yielded a map")
			}
		})
	}
}

// TestPrepareOrderSize covers a leader behind a link of 6 Mbit/s that sends 64 ranks a map with 112
// copies. At 1.4 KB per rank the last rank got its order after 0.12 s, later than its copy takes;
// 40 ms for all ranks leave 470 bytes per rank.
func TestPrepareOrderSize(t *testing.T) {
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
	next, _ := applyChange(base, nil)
	for i := range copies {
		r := i * 7 % 64
		next[i%12][r] = []int{r, r + 64, r + 128, 192 + (r+1)%64}
	}
	b, err := proto.Marshal(&proto.GroupOrder{Version: 2, BaseVersion: 1, MapDelta: encodeChange(base, next)})
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > perRank {
		t.Errorf("an order takes %d bytes, want at most %d", len(b), perRank)
	}
}

// FuzzChange applies changes that no leader produces: they are rejected or yield a map, and never
// modify their base.
func FuzzChange(f *testing.F) {
	f.Add([]byte{0, editAdd, 3})
	f.Add([]byte{1, editReplace, 9, 0, editRemove})
	f.Fuzz(func(t *testing.T, change []byte) {
		base := wideLayout()
		out, ok := applyChange(base, change)
		if ok && len(out) != len(base) {
			t.Error("sets were lost")
		}
		if !reflect.DeepEqual(base, wideLayout()) {
			t.Error("the base was changed")
		}
	})
}

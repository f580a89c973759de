package group

import (
	"slices"

	"geraniumpass/proto"
)

// mapsKept is how many maps a rank remembers: the one in use, the next, and some that were given up.
const mapsKept = 4

// maps are the newest maps that a rank was told, by which the next one takes a few rows instead of all: a whole map of 16 sets and
// 24 ranks is some 4 KB, and a leader's link of 8 Mbit/s needs 94 ms for that of all ranks.
type maps struct {
	versions []int64
	layouts  [][][][]int
}

// of returns the map that an order names, remembered from now on; ok is false when its base is not known.
func (m *maps) of(o *proto.GroupOrder) (layout [][][]int, ok bool) {
	if i := slices.Index(m.versions, o.Version); i >= 0 {
		return m.layouts[i], true
	}
	layout = o.Map
	if layout == nil {
		i := slices.Index(m.versions, o.Base)
		if i < 0 {
			return nil, false
		}
		if layout, ok = withRows(m.layouts[i], o.Rows); !ok {
			return nil, false
		}
	}
	m.versions = append(m.versions, o.Version)
	m.layouts = append(m.layouts, layout)
	if len(m.versions) > mapsKept {
		m.versions = slices.Delete(m.versions, 0, 1)
		m.layouts = slices.Delete(m.layouts, 0, 1)
	}
	return layout, true
}

// rowsBetween returns the rows of next that differ from base, which has as many sets and ranks.
func rowsBetween(base, next [][][]int) []proto.MapRow {
	var out []proto.MapRow
	for s := range next {
		for r, experts := range next[s] {
			if !slices.Equal(base[s][r], experts) {
				out = append(out, proto.MapRow{
					Set:     s,
					Rank:    r,
					Experts: experts,
				})
			}
		}
	}
	return out
}

// withRows returns base with some rows replaced; it shares the others. ok is false when a row lies outside of it.
func withRows(base [][][]int, rows []proto.MapRow) (out [][][]int, ok bool) {
	out = make([][][]int, len(base))
	for s := range base {
		out[s] = slices.Clone(base[s])
	}
	for _, row := range rows {
		if row.Set < 0 || row.Set >= len(out) || row.Rank < 0 || row.Rank >= len(out[row.Set]) {
			return nil, false
		}
		out[row.Set][row.Rank] = row.Experts
	}
	return out, true
}

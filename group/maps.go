package group

import (
	"slices"

	"geraniumpass/proto"
)

// mapsKept is how many maps a rank remembers: the one in use, the next, and some that were given up.
const mapsKept = 4

// maps are the newest maps that a rank was told, by which the next one takes what it changes instead of all: whole maps
// for all ranks of a large group keep a leader's link busy while the group waits.
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
		if layout, ok = withChange(m.layouts[i], o.Change); !ok {
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

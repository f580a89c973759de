package group

import (
	"slices"

	"geraniumpass/proto"
)

// maxCachedMaps is how many maps a rank keeps: the one in use, the next, and some of abandoned
// switches.
const maxCachedMaps = 4

// mapCache holds the newest maps that a rank received, so that an order needs to carry only the
// change to one of them. Whole maps for all ranks of a large group would keep a leader's link busy
// while the group waits.
type mapCache struct {
	versions []int64
	layouts  [][][][]int
}

// resolve returns the map that an order refers to and caches it. ok is false if the base is not
// cached or the change is invalid.
func (m *mapCache) resolve(o *proto.GroupOrder) (layout [][][]int, ok bool) {
	if i := slices.Index(m.versions, o.Version); i >= 0 {
		return m.layouts[i], true
	}
	layout = o.Map
	if layout == nil {
		i := slices.Index(m.versions, o.BaseVersion)
		if i < 0 {
			return nil, false
		}
		if layout, ok = applyChange(m.layouts[i], o.MapDelta); !ok {
			return nil, false
		}
	}
	m.versions = append(m.versions, o.Version)
	m.layouts = append(m.layouts, layout)
	if len(m.versions) > maxCachedMaps {
		m.versions = slices.Delete(m.versions, 0, 1)
		m.layouts = slices.Delete(m.layouts, 0, 1)
	}
	return layout, true
}

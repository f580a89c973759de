package loads

import "geraniumpass/core"

// PlacesVersion returns a number that rises whenever an incarnation changes its group or rank, or is
// forgotten.
func (b *Board) PlacesVersion() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placesVersion
}

// GroupsOf returns the names of the groups of the incarnations, in the order in which they first occur.
func (b *Board) GroupsOf(starts []core.Start) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	known := make(map[string]bool)
	for _, start := range starts {
		if name := b.placeOf[start].group; name != "" && !known[name] {
			known[name] = true
			out = append(out, name)
		}
	}
	return out
}

// Named returns the recent status of each named group, by name. The ranks are shared and must not be
// changed.
func (b *Board) Named(names []string) map[string]Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	out := make(map[string]Status, len(names))
	for _, name := range names {
		if p := b.byName[name]; p != nil {
			if s, ok := p.status(now); ok {
				out[name] = s
			}
		}
	}
	return out
}

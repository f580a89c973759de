package view

import (
	"maps"

	"geraniumpass/store"
)

// applyEvacuations merges the evacuations of a change. A full change contains all of them.
func (v *Cache) applyEvacuations(c Change) {
	next := make(map[string]bool, len(v.evacuated)+len(c.Evacuated))
	if !c.Full {
		maps.Copy(next, v.evacuated)
	}
	for domain, evacuated := range c.Evacuated {
		if evacuated {
			next[domain] = true
		} else {
			delete(next, domain)
		}
	}
	v.setEvacuated(next)
}

// setEvacuated replaces the set of evacuated failure domains.
func (v *Cache) setEvacuated(next map[string]bool) {
	for domain := range next {
		if !v.evacuated[domain] {
			v.log.Info("failure domain is being evacuated, its instances get no more requests", "domain", domain, "revision", store.NumberOf(v.rev))
		}
	}
	for domain := range v.evacuated {
		if !next[domain] {
			v.log.Info("evacuation of failure domain has ended", "domain", domain, "revision", store.NumberOf(v.rev))
			v.recordReturn(domain)
		}
	}
	v.evacuated = next
}

package view

import (
	"maps"

	"geraniumpass/store"
)

// applyEvacuations merges the evacuations of a change. A full change contains all of them.
func (v *Cache) applyEvacuations(c Change) {
	v.changeEvacuations(func() {
		next := make(map[string]bool, len(v.evacuated)+len(c.Evacuated))
		if !c.Full {
			maps.Copy(next, v.evacuated)
		}
		for domain, evacuated := range c.Evacuated {
			delete(v.carry.evacuated, domain)
			if evacuated {
				next[domain] = true
			} else {
				delete(next, domain)
			}
		}
		v.evacuated = next
	})
}

// evacuatedDomains returns the failure domains whose instances must get no requests: those that the
// store lists and those that are carried over.
func (v *Cache) evacuatedDomains() map[string]bool {
	out := make(map[string]bool, len(v.evacuated)+len(v.carry.evacuated))
	maps.Copy(out, v.evacuated)
	maps.Copy(out, v.carry.evacuated)
	return out
}

// changeEvacuations makes a change to the evacuated failure domains and handles those that are
// evacuated from now on and those that aren't any more.
func (v *Cache) changeEvacuations(change func()) {
	before := v.evacuatedDomains()
	change()
	after := v.evacuatedDomains()
	for domain := range after {
		if !before[domain] {
			v.log.Info("failure domain is being evacuated, its instances get no more requests", "domain", domain, "revision", store.NumberOf(v.rev))
		}
	}
	for domain := range before {
		if !after[domain] {
			v.log.Info("evacuation of failure domain has ended", "domain", domain, "revision", store.NumberOf(v.rev))
			v.recordReturn(domain)
		}
	}
}

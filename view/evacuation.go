package view

import (
	"maps"

	"geraniumpass/core"
	"geraniumpass/store"
)

// applyEvacuations merges the evacuations of a change. A full change contains all of them. What a change of
// an earlier revision than the operator's last known keys says is outdated.
func (v *Cache) applyEvacuations(c Change) {
	rev := max(c.Rev, c.EvacuationsRev)
	if rev < v.operatorRev {
		return
	}
	v.operatorRev = rev
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

// completeOperator adds the end of each evacuation that a change with all of the operator's keys doesn't list.
func (v *Cache) completeOperator(c *Change) {
	if !c.Operator {
		return
	}
	for domain := range v.evacuated {
		if !c.Evacuated[domain] {
			c.Evacuated[domain] = false
		}
	}
}

// applyPart merges the operator's keys and the departures of a change that isn't complete. The revision of the state stays, so
// that the rest is still asked for.
func (v *Cache) applyPart(c Change) {
	if v.rev == 0 {
		// A table without instances and terminations would be in force.
		return
	}
	v.beginChange(c, v.clock.Now())
	v.applyTable(c.Table)
	if store.EraOf(c.Rev) != store.EraOf(v.rev) {
		return
	}
	changed := v.applyDepartures(c.Put)
	if c.Operator && c.Rev >= v.operatorRev {
		v.completeOperator(&c)
		v.applyEvacuations(c)
		changed = true
	}
	if changed {
		v.publish()
	}
}

// applyDepartures records which of the known instances are leaving, before the rest of the state is known, and
// reports whether there are any.
func (v *Cache) applyDepartures(list []core.Instance) bool {
	changed := false
	for _, in := range list {
		own, known := v.instances.Instance(in.ID)
		if !in.Leaving || !known || own.Leaving || in.Rev <= own.Rev || in.Start() != own.Start() {
			continue
		}
		v.logLeaving(in)
		changed = v.instances.Put(in) || changed
	}
	return changed
}

// AdoptEvacuations replaces the evacuated failure domains by those that a peer knows at a revision, and reports
// whether that is later than what is known. The revision of the state stays.
func (v *Cache) AdoptEvacuations(rev int64, domains []string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rev == 0 || rev <= v.operatorRev || store.EraOf(rev) != store.EraOf(v.rev) {
		return false
	}
	c := Change{
		Rev:       rev,
		Full:      true,
		Evacuated: make(map[string]bool, len(domains)),
	}
	for _, domain := range domains {
		c.Evacuated[domain] = true
	}
	v.applyEvacuations(c)
	v.publish()
	return true
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

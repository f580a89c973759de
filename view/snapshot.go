package view

import (
	"geraniumpass/core"
	"geraniumpass/plan"
)

// Snapshot is everything known at one revision of the store; it is never changed once published.
type Snapshot struct {
	Rev int64
	// Table is nil until a first one is known.
	Table     *plan.Table
	Instances []core.Instance
	Members   map[string]string
	// Lapsed names the instances that are kept although their entry has vanished; they are dropped without a new revision.
	Lapsed []string

	byService map[string][]core.Instance
	byID      map[string]core.Instance
	// newest is the latest row of each address.
	newest map[string]core.Instance
}

func (s *Snapshot) index() *Snapshot {
	s.byService = make(map[string][]core.Instance)
	s.byID = make(map[string]core.Instance, len(s.Instances))
	s.newest = make(map[string]core.Instance, len(s.Instances))
	for _, in := range s.Instances {
		s.byID[in.ID] = in
		if other, ok := s.newest[in.Address]; !ok || in.Rev > other.Rev {
			s.newest[in.Address] = in
		}
		if !in.Leaving {
			s.byService[in.Service] = append(s.byService[in.Service], in)
		}
	}
	return s
}

// Usable returns the instances of a service that take new requests.
func (s *Snapshot) Usable(service string) []core.Instance {
	return s.byService[service]
}

// Superseded returns true for an instance at whose address another one has started since: it has ended, whether its entry is still there
// or is kept for a while after it vanished. Ended instances look idle, so that after a fault of all machines most requests of two seconds
// went to them and were refused.
func (s *Snapshot) Superseded(in core.Instance) bool {
	return s.newest[in.Address].Rev > in.Rev
}

// Instance returns an instance by its id.
func (s *Snapshot) Instance(id string) (core.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok
}

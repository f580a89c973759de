package view

import (
	"geraniumpass/core"
	"geraniumpass/plan"
)

// usualPace is that of an instance that nobody says to be slow.
const usualPace = 1.0

// Snapshot is everything known at one revision of the store; it is never changed once published.
type Snapshot struct {
	Rev int64
	// Table is nil until a first one is known.
	Table     *plan.Table
	Instances []core.Instance
	Members   map[string]string
	// Lapsed names the instances that are kept although their entry has vanished; they are dropped without a new revision.
	Lapsed []string
	// Paces are the slow instances by group.
	Paces map[string][]core.Pace

	byService map[string][]core.Instance
	byID      map[string]core.Instance
	// newest is the latest row of each address, of services that the table names.
	newest map[string]core.Instance
	paceOf map[core.Start]float64
}

func (s *Snapshot) index() *Snapshot {
	s.byService = make(map[string][]core.Instance)
	s.byID = make(map[string]core.Instance, len(s.Instances))
	s.newest = make(map[string]core.Instance, len(s.Instances))
	s.paceOf = make(map[core.Start]float64)
	for _, paces := range s.Paces {
		for _, p := range paces {
			s.paceOf[p.Start] = p.Pace
		}
	}
	for _, in := range s.Instances {
		s.byID[in.ID] = in
		if other, ok := s.newest[in.Address]; s.named(in.Service) && (!ok || in.Rev > other.Rev) {
			s.newest[in.Address] = in
		}
		if !in.Leaving {
			s.byService[in.Service] = append(s.byService[in.Service], in)
		}
	}
	return s
}

// named returns true for a service of the routing table; an entry of another one says nothing of who listens at its address.
func (s *Snapshot) named(service string) bool {
	return s.Table == nil || s.Table.Service(service) != nil
}

// Usable returns the instances of a service that take new requests.
func (s *Snapshot) Usable(service string) []core.Instance {
	return s.byService[service]
}

// Successor returns the instance that has started at the address of another one since: that one has ended, whether its entry is still there
// or is kept for a while after it vanished. Ended instances look idle, so that after a fault of all machines most requests of two seconds
// went to them and were refused.
func (s *Snapshot) Successor(in core.Instance) (core.Instance, bool) {
	next, ok := s.newest[in.Address]
	return next, ok && next.Rev > in.Rev
}

// Pace returns how many times its usual time an instance takes for a step of its group.
func (s *Snapshot) Pace(in core.Instance) float64 {
	return max(usualPace, s.paceOf[in.Start()])
}

// Instance returns an instance by its id.
func (s *Snapshot) Instance(id string) (core.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok
}

package view

import (
	"time"

	"geraniumpass/core"
	"geraniumpass/plan"
)

// normalPace is the pace of instances that aren't listed as slow.
const normalPace = 1.0

// Snapshot is the state known at one revision of the store; it is immutable once published.
type Snapshot struct {
	Rev int64
	// Table is nil until a first table is known.
	Table     *plan.Table
	Instances []core.Instance
	Members   map[string]string
	// Lapsed lists the instances that are kept although their entry has disappeared. Dropping them
	// doesn't change the revision.
	Lapsed []string
	// LapsedUntil holds when the instances in Lapsed are dropped, by ID. Times are zero or missing where
	// that isn't known.
	LapsedUntil map[string]time.Time
	// Paces are the slow instances by group.
	Paces map[string][]core.Pace
	// Evacuated is the set of failure domains that the store lists as being evacuated.
	Evacuated map[string]bool
	// EvacuationsRev is the revision up to which Evacuated is known. It is later than Rev while the rest is read.
	EvacuationsRev int64
	// From is the id of the peer that sent the snapshot, empty for this process's own.
	From string
	// Refused are the parts of the newest manifest that the peer can't serve.
	Refused []string

	// carried is the set of further evacuated failure domains, and withheld that of incarnations that get
	// no requests, both known from before the store was restored.
	carried   map[string]bool
	withheld  map[core.Start]bool
	coldUntil map[core.Start]time.Time
	// ranking holds the names of the members in the order in which they become watchers.
	ranking   []string
	byService map[string][]core.Instance
	byID      map[string]core.Instance
	// newestByAddress maps each address to its latest row, for services in the routing table.
	newestByAddress map[string]core.Instance
	paceByStart     map[core.Start]float64
}

func (s *Snapshot) index() *Snapshot {
	s.byService = make(map[string][]core.Instance)
	s.byID = make(map[string]core.Instance, len(s.Instances))
	s.newestByAddress = make(map[string]core.Instance, len(s.Instances))
	s.paceByStart = make(map[core.Start]float64)
	for _, paces := range s.Paces {
		for _, p := range paces {
			s.paceByStart[p.Start] = p.Pace
		}
	}
	for _, in := range s.Instances {
		s.byID[in.ID] = in
		other, ok := s.newestByAddress[in.Address]
		if s.inTable(in.Service) && !s.withheld[in.Start()] && (!ok || in.Rev > other.Rev) {
			s.newestByAddress[in.Address] = in
		}
		if !in.Leaving && !s.withheld[in.Start()] && !s.IsEvacuated(in) {
			s.byService[in.Service] = append(s.byService[in.Service], in)
		}
	}
	return s
}

// inTable reports whether the routing table contains a service. Entries of other services don't
// show which instance listens at their address.
func (s *Snapshot) inTable(service string) bool {
	return s.Table == nil || s.Table.Service(service) != nil
}

// IsEvacuated reports whether an instance must get no requests because its failure domain is being
// evacuated.
func (s *Snapshot) IsEvacuated(in core.Instance) bool {
	return s.Evacuated[in.Domain] || s.carried[in.Domain]
}

// ColdUntil returns when an instance is warm, which is in the past or zero if it is already.
func (s *Snapshot) ColdUntil(in core.Instance) time.Time {
	return s.coldUntil[in.Start()]
}

// HasCold reports whether any instance was cold when the snapshot was published.
func (s *Snapshot) HasCold() bool {
	return len(s.coldUntil) > 0
}

// Usable returns the instances of a service that accept new requests.
func (s *Snapshot) Usable(service string) []core.Instance {
	return s.byService[service]
}

// Successor returns the instance that started later at the address of in, which proves that in has
// terminated, even if its entry still exists or in is kept after its entry disappeared. Terminated
// instances look idle and would attract new requests: after a failure of all machines, most of the
// requests sent in the following 2 s went to them and were refused.
func (s *Snapshot) Successor(in core.Instance) (core.Instance, bool) {
	next, ok := s.newestByAddress[in.Address]
	return next, ok && next.Rev > in.Rev
}

// Pace returns the step time of an instance in its group as a multiple of the usual one.
func (s *Snapshot) Pace(in core.Instance) float64 {
	return max(normalPace, s.paceByStart[in.Start()])
}

// Instance returns the instance with the given ID.
func (s *Snapshot) Instance(id string) (core.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok
}

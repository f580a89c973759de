package entry

import (
	"sort"

	"geraniumpass/core"
	"geraniumpass/meter"
)

// Status is an operator's view of one entry and its upstreams.
type Status struct {
	Entry     string            `json:"entry"`
	Domain    string            `json:"domain"`
	Revision  uint64            `json:"revision"`
	AgeMillis int64             `json:"age_ms"`
	Stopping  bool              `json:"stopping"`
	InFlight  int64             `json:"in_flight"`
	Upstreams []UpstreamStatus  `json:"upstreams"`
	Classes   []ClassStatus     `json:"classes"`
	Groups    []GroupStatus     `json:"groups"`
	Entries   map[string]uint64 `json:"entries"`
}

// UpstreamStatus is the state of one upstream as seen by this entry.
type UpstreamStatus struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	Kind     core.Kind `json:"kind"`
	Domain   string    `json:"domain"`
	Linked   bool      `json:"linked"`
	Usable   bool      `json:"usable"`
	Leaving  bool      `json:"leaving"`
	Healthy  bool      `json:"healthy"`
	Running  int       `json:"running"`
	Limit    int       `json:"limit"`
	Queued   float64   `json:"queued_cost"`
	Drain    float64   `json:"drain_per_second"`
	Revision uint64    `json:"revision"`
}

// ClassStatus is the state of one class; Met reports whether its target was met over the last
// minute.
type ClassStatus struct {
	Class   string      `json:"class"`
	Measure string      `json:"measure"`
	Within  string      `json:"within"`
	Percent float64     `json:"percent"`
	Met     bool        `json:"met"`
	Rows    []meter.Row `json:"rows"`
}

// GroupStatus is the state of a rank group as known to this entry as its leader or candidate.
type GroupStatus struct {
	Group   string  `json:"group"`
	Leading bool    `json:"leading"`
	Phase   string  `json:"phase"`
	Version uint64  `json:"version"`
	Skew    float64 `json:"skew"`
	Moves   int     `json:"moves"`
}

func (e *Entry) status() Status {
	doc := e.config.Document()
	s := Status{
		Entry:     e.cfg.ID,
		Domain:    e.cfg.Domain,
		Revision:  doc.Revision,
		AgeMillis: e.config.Age().Milliseconds(),
		Stopping:  e.stopping.Load(),
		InFlight:  e.inFlight.Load(),
		Entries:   e.gossip.revisions(),
		Groups:    e.groups.status(),
	}
	drained := make(map[string]bool, len(doc.Drained))
	for _, id := range doc.Drained {
		drained[id] = true
	}
	for _, p := range e.peers.list() {
		s.Upstreams = append(s.Upstreams, p.status(drained))
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].ID < s.Upstreams[j].ID })
	rows := e.meter.Rows()
	for _, c := range doc.Classes {
		s.Classes = append(s.Classes, classStatus(c.Name, string(c.Target.Measure), c.Target.Within.String(), c.Target.Percent, rows))
	}
	return s
}

func classStatus(name, measure, within string, percent float64, rows []meter.Row) ClassStatus {
	s := ClassStatus{
		Class:   name,
		Measure: measure,
		Within:  within,
		Percent: percent,
	}
	all, onTime := 0.0, 0.0
	for _, r := range rows {
		if r.Class == name {
			s.Rows = append(s.Rows, r)
			all += float64(r.Recent)
			onTime += float64(r.Recent) * r.OnTimeShare
		}
	}
	s.Met = all == 0 || onTime/all*100 >= percent
	return s
}

func (p *peer) status(drained map[string]bool) UpstreamStatus {
	usable := p.usable(drained)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := UpstreamStatus{
		ID:      p.id,
		Service: p.service,
		Kind:    p.kind,
		Domain:  p.domain,
		Linked:  p.link != nil,
		Usable:  usable,
		Leaving: p.listedLeaving,
	}
	if p.report == nil {
		return s
	}
	s.Leaving = s.Leaving || p.report.Leaving
	s.Healthy = p.report.Healthy
	s.Running = p.report.Running
	s.Limit = p.report.Limit
	s.Drain = p.report.DrainRate
	s.Revision = p.report.Revision
	for _, q := range p.report.Queued {
		s.Queued += q.Cost
	}
	return s
}

package gate

import (
	"expvar"
	"sync"
	"time"

	"geraniumpass/admit"
	"geraniumpass/loads"
	"geraniumpass/plan"
)

// minSpent is the spent time from which a caller counts as one that was refused before. The delay of a
// first try is shorter, and refused callers come back later.
const minSpent = 25 * time.Millisecond

// admissions counts the decisions on room by reason.
var admissions = expvar.NewMap("admissions")

// shedders holds what is known of the room of each service. It is safe for concurrent use.
type shedders struct {
	random func() float64
	mode   ShedMode

	mu        sync.Mutex
	byService map[string]*admit.Shedder
	// gapOf is the shortest pause that any route to a service of table allows.
	table *plan.Table
	gapOf map[string]time.Duration
}

func newShedders(mode ShedMode, random func() float64) *shedders {
	return &shedders{
		random:    random,
		mode:      mode,
		byService: make(map[string]*admit.Shedder),
	}
}

func (s *shedders) of(service string) *admit.Shedder {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.byService[service]
	if one == nil {
		one = s.create()
		s.byService[service] = one
	}
	return one
}

// sweep forgets the services that a routing table doesn't name.
func (s *shedders) sweep(t *plan.Table) {
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.byService {
		if t.Service(service) == nil {
			delete(s.byService, service)
		}
	}
}

func (s *shedders) create() *admit.Shedder {
	if s.mode == ShedAll {
		return admit.New(s.random)
	}
	return admit.NewRanked(s.random)
}

// gaps returns the shortest pause that any route to each service allows. The map must not be changed.
func (s *shedders) gaps(t *plan.Table) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != t {
		s.table, s.gapOf = t, gapsByService(t)
	}
	return s.gapOf
}

// needsRoom reports whether the request runs in a group whose steps its route limits.
func (r *request) needsRoom() bool {
	e := r.service.Engine
	return r.route.Kind == plan.KindStream && r.route.Gap > 0 && e != nil && e.Sets > 0
}

// checkRoom refuses the request if the groups have no room for it. It returns zero if the request is
// admitted.
func (r *request) checkRoom() int {
	if !r.needsRoom() || r.g.shedders.mode == ShedOff {
		return 0
	}
	now := r.g.clock.Now()
	groups := admissionGroups(r.g.groupsOf(r.service.Name), r.route.Gap)
	d := r.g.shedders.of(r.service.Name).Decide(now, r.service.Engine, groups, r.demand())
	admissions.Add(d.Reason, 1)
	r.urgency = d.Urgency
	if d.Admit {
		return 0
	}
	after := d.RetryAfter
	if after <= 0 {
		after = r.retryAfter(0)
	}
	return r.reject(d.Reason, after)
}

func (r *request) demand() admit.Demand {
	return admit.Demand{
		Class:           r.route.Name,
		ClassRank:       r.route.Rank,
		AccountRank:     r.accountRank,
		Account:         r.account,
		PromptTokens:    r.call.PromptTokens,
		MaxAnswerTokens: r.call.MaxAnswerTokens,
		LengthHint:      r.call.LengthHint,
		Aim:             r.route.Aim,
		Gap:             r.route.Gap,
		Spent:           r.spentBefore,
		Remaining:       r.deadline.Sub(r.receivedAt),
		Returned:        r.spentBefore >= minSpent,
	}
}

// admissionGroups returns the groups as they matter for requests with the given pause.
func admissionGroups(groups map[string]loads.Status, gap time.Duration) []admit.Group {
	out := make([]admit.Group, 0, len(groups))
	for name := range groups {
		s := groups[name]
		out = append(out, admit.Group{
			Name:     name,
			Usable:   s.IsUsable(gap),
			Ranks:    len(s.Ranks),
			Running:  s.Running(),
			Waiting:  s.Waiting(),
			StepTime: s.StepTime,
			Age:      s.Age + s.RanksAge,
		})
	}
	return out
}

// observeRoom records the present statuses of the groups of all services with engines.
func (g *Gate) observeRoom() {
	snap := g.view.Now()
	if snap.Table == nil {
		return
	}
	gaps := g.shedders.gaps(snap.Table)
	for i := range snap.Table.Services {
		s := &snap.Table.Services[i]
		if s.Engine == nil || s.Engine.Sets == 0 {
			continue
		}
		groups := admissionGroups(g.groupsOf(s.Name), gaps[s.Name])
		g.shedders.of(s.Name).Observe(g.clock.Now(), s.Engine, groups)
	}
}

// gapsByService returns the shortest pause that any route to a service allows.
func gapsByService(t *plan.Table) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for i := range t.Routes {
		route := &t.Routes[i]
		for _, share := range route.Shares {
			known := out[share.Service]
			if route.Gap > 0 && (known == 0 || route.Gap < known) {
				out[share.Service] = route.Gap
			}
		}
	}
	return out
}

// recordLength records the length of a stream that is complete at the caller, unless its numbers don't tell
// how many events it had.
func (r *request) recordLength() {
	if !r.needsRoom() || r.service.Engine.StepTokens <= 0 || r.stream.numbering.wide {
		return
	}
	tokens := int(r.stream.lastEvent+1) * r.service.Engine.StepTokens
	r.g.shedders.of(r.service.Name).Finished(r.g.clock.Now(), r.route.Name, r.call.LengthHint, tokens)
}

package stand

import (
	"math"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"geraniumpass/proto"
)

// RankOrder is an order as an engine takes it.
type RankOrder struct {
	Kind    proto.OrderKind `json:"kind"`
	Fence   uint64          `json:"fence"`
	Seq     uint64          `json:"seq"`
	Version uint64          `json:"version"`
	Step    uint64          `json:"step"`
	Map     []byte          `json:"map,omitempty"`
}

// RankReply is an engine's answer to an order.
type RankReply struct {
	OK    bool            `json:"ok"`
	State proto.RankState `json:"state"`
}

// Rank is one rank's side of a group: the map it steps under and the orders it holds.
type Rank struct {
	group      *Group
	index      int
	checkFence bool

	mu     sync.Mutex
	state  proto.RankState
	fence  uint64
	seq    uint64
	maps   map[uint64][]byte
	loaded map[uint64]time.Time
}

// State returns a copy of what the rank holds.
func (r *Rank) State() proto.RankState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view()
}

func (r *Rank) view() proto.RankState {
	s := r.state
	for v, at := range r.loaded {
		if v > s.Staged && !time.Now().Before(at) {
			s.Staged = v
		}
	}
	s.Map = r.maps[s.Version]
	s.Tokens = r.group.tokensOf(r.index)
	return s
}

// Order carries one order out; only a rank that checks fencing numbers refuses an old one.
func (r *Rank) Order(o RankOrder) RankReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checkFence {
		if o.Fence < r.fence || o.Fence == r.fence && o.Seq < r.seq {
			return RankReply{State: r.view()}
		}
		r.fence, r.seq = o.Fence, o.Seq
	}
	ok := r.apply(o)
	return RankReply{
		OK:    ok,
		State: r.view(),
	}
}

func (r *Rank) apply(o RankOrder) bool {
	s := &r.state
	switch o.Kind {
	case proto.OrderInquire:
		return true
	case proto.OrderStage:
		if _, ok := r.loaded[o.Version]; !ok {
			r.loaded[o.Version] = r.group.store.load(r.missing(o.Map))
			r.maps[o.Version] = o.Map
		}
		return r.view().Staged >= o.Version
	case proto.OrderCap:
		if s.Step > o.Step || s.Granted || s.Version >= o.Version || r.view().Staged < o.Version {
			return false
		}
		s.Capped, s.CapMap, s.CapStep = true, o.Version, o.Step
		return true
	case proto.OrderUncap:
		if s.Capped && s.CapMap == o.Version && !s.Granted {
			s.Capped, s.CapMap, s.CapStep = false, 0, 0
		}
		return !s.Capped
	case proto.OrderGrant:
		if s.Version == o.Version {
			return true
		}
		if !s.Capped || s.CapMap != o.Version {
			return false
		}
		s.Granted, s.GrantMap, s.GrantStep = true, o.Version, s.CapStep
		return true
	}
	return false
}

// missing counts the experts of a map that this rank doesn't hold under its present one.
func (r *Rank) missing(next []byte) int {
	return placementDiff(r.maps[r.state.Version], next, r.index)
}

// begin starts step s and returns the map's version, or false while the rank holds back.
func (r *Rank) begin(s uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := &r.state
	if st.Step != s {
		return 0, false
	}
	if st.Capped && s >= st.CapStep {
		if !st.Granted {
			return 0, false
		}
		st.Version = st.GrantMap
		st.Capped, st.CapMap, st.CapStep = false, 0, 0
		st.Granted, st.GrantMap, st.GrantStep = false, 0, 0
	}
	st.Step = s + 1
	return st.Version, true
}

func (e *Engine) handleRank(ctx *fasthttp.RequestCtx) {
	if e.rank == nil {
		ctx.NotFound()
		return
	}
	if ctx.IsGet() {
		write(ctx, RankReply{
			OK:    true,
			State: e.rank.State(),
		})
		return
	}
	var o RankOrder
	if read(ctx, &o) {
		write(ctx, e.rank.Order(o))
	}
}

// Group is a set of ranks in lock-step; it compares the map of all ranks in every step.
type Group struct {
	ranks []*Rank
	store *weightStore
	base  time.Duration
	stop  chan struct{}
	wg    sync.WaitGroup

	mu         sync.Mutex
	popularity []float64
	step       uint64
	violations int
	stalled    time.Duration
}

// Violations counts the steps in which two ranks used different maps.
func (g *Group) Violations() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.violations
}

// Step returns the last step that all ranks have begun.
func (g *Group) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// Stalled returns how long the group has waited for ranks that held back.
func (g *Group) Stalled() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalled
}

// Ranks returns the group's ranks.
func (g *Group) Ranks() []*Rank {
	return g.ranks
}

// SetPopularity changes the tokens that each expert draws.
func (g *Group) SetPopularity(p []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity = append([]float64{}, p...)
}

// NewGroup returns a running group whose ranks start under the given map, step every base and load weights at rate experts a second.
func NewGroup(ranks int, first []byte, popularity []float64, base time.Duration, rate float64, checkFence bool) *Group {
	g := &Group{
		store: &weightStore{
			rate: rate,
		},
		base:       base,
		stop:       make(chan struct{}),
		popularity: popularity,
	}
	for i := range ranks {
		g.ranks = append(g.ranks, &Rank{
			group:      g,
			index:      i,
			checkFence: checkFence,
			state: proto.RankState{
				Version: 1,
				Step:    1,
				Staged:  1,
			},
			maps:   map[uint64][]byte{1: first},
			loaded: make(map[uint64]time.Time),
		})
	}
	g.wg.Add(1)
	go g.run()
	return g
}

// Close ends the group.
func (g *Group) Close() {
	close(g.stop)
	g.wg.Wait()
}

func (g *Group) run() {
	defer g.wg.Done()
	t := time.NewTicker(g.base)
	defer t.Stop()
	used := make([]uint64, len(g.ranks))
	begun := make([]bool, len(g.ranks))
	for step := uint64(1); ; {
		select {
		case <-g.stop:
			return
		case <-t.C:
		}
		// Each rank begins as soon as it may: one that does not hold back does not wait for the others.
		all := true
		for i, r := range g.ranks {
			if !begun[i] {
				used[i], begun[i] = r.begin(step)
			}
			all = all && begun[i]
		}
		if !all {
			g.mu.Lock()
			g.stalled += g.base
			g.mu.Unlock()
			continue
		}
		g.finish(step, used)
		clear(begun)
		step++
	}
}

func (g *Group) finish(step uint64, used []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step = step
	for _, v := range used {
		if v != used[0] {
			g.violations++
			break
		}
	}
}

func (g *Group) tokensOf(rank int) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rank != 0 {
		return nil
	}
	return append([]float64{}, g.popularity...)
}

// weightStore hands out experts at a limited rate, one after the other.
type weightStore struct {
	mu   sync.Mutex
	rate float64
	free time.Time
	sum  int
}

// load books n experts and returns when the last of them has arrived.
func (s *weightStore) load(n int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.sum += n
	s.free = s.free.Add(time.Duration(math.Ceil(float64(n) / s.rate * float64(time.Second))))
	return s.free
}

package stand

import (
	"sync"
	"time"

	"geraniumpass/proto"
)

// Group is a set of ranks that run in lock-step; it compares the map versions of all ranks in every
// step.
type Group struct {
	ranks        []*Rank
	weights      *weightStore
	stepInterval time.Duration
	stop         chan struct{}
	wg           sync.WaitGroup

	mu         sync.Mutex
	popularity []float64
	step       uint64
	violations int
	stalled    time.Duration
}

// Violations returns the number of steps in which two ranks used different maps.
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

// Stalled returns the total time the group has waited for ranks that were held back.
func (g *Group) Stalled() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalled
}

// Ranks returns the group's ranks.
func (g *Group) Ranks() []*Rank {
	return g.ranks
}

// SetPopularity sets the number of tokens that each expert receives.
func (g *Group) SetPopularity(p []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity = append([]float64{}, p...)
}

// NewGroup starts a group whose ranks begin with the given map, run a step every base and load
// weights at rate experts per second.
func NewGroup(ranks int, first []byte, popularity []float64, base time.Duration, rate float64, checkFence bool) *Group {
	g := &Group{
		weights: &weightStore{
			rate: rate,
		},
		stepInterval: base,
		stop:         make(chan struct{}),
		popularity:   popularity,
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

// Close stops the group.
func (g *Group) Close() {
	close(g.stop)
	g.wg.Wait()
}

func (g *Group) run() {
	defer g.wg.Done()
	t := time.NewTicker(g.stepInterval)
	defer t.Stop()
	used := make([]uint64, len(g.ranks))
	begun := make([]bool, len(g.ranks))
	for step := uint64(1); ; {
		select {
		case <-g.stop:
			return
		case <-t.C:
		}
		// Each rank begins a step as soon as it may and does not wait for ranks that are held back.
		all := true
		for i, r := range g.ranks {
			if !begun[i] {
				used[i], begun[i] = r.beginStep(step)
			}
			all = all && begun[i]
		}
		if !all {
			g.mu.Lock()
			g.stalled += g.stepInterval
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

func (g *Group) expertTokens(rank int) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rank != 0 {
		return nil
	}
	return append([]float64{}, g.popularity...)
}

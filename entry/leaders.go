package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/proto"
)

const (
	leaderTickInterval = 100 * time.Millisecond
	// candidatesPerGroup is the number of entries that compete for the leadership of a group. It is
	// limited to bound the load on the key-value service.
	candidatesPerGroup = 3
)

// groupLeaders manages the rank groups that this entry leads or is a candidate for.
type groupLeaders struct {
	e *Entry

	mu     sync.Mutex
	groups map[string]*groupLeader
}

func newGroupLeaders(e *Entry) *groupLeaders {
	return &groupLeaders{
		e:      e,
		groups: make(map[string]*groupLeader),
	}
}

func (ls *groupLeaders) run(ctx context.Context) {
	t := ls.e.clock.NewTicker(leaderTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			ls.resign()
			return
		case <-t.Chan():
		}
		for _, g := range ls.e.config.Document().Groups {
			if gl := ls.leaderFor(g); gl != nil {
				gl.tick(ctx)
			}
		}
	}
}

// leaderFor returns the state of a group with its target updated, or nil if this entry is not a
// candidate for it.
func (ls *groupLeaders) leaderFor(g config.Group) *groupLeader {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	gl, ok := ls.groups[g.Name]
	if !ok {
		if !ls.isCandidate(g.Name) {
			return nil
		}
		gl = newGroupLeader(ls.e, g)
		ls.groups[g.Name] = gl
	}
	gl.setTarget(g)
	return gl
}

// isCandidate reports whether rendezvous hashing selects this entry as a candidate for the group.
func (ls *groupLeaders) isCandidate(group string) bool {
	ids := lo.Map(ls.e.peers.entries(), func(in core.Instance, _ int) string { return in.ID })
	if len(ids) == 0 {
		return true
	}
	sort.Slice(ids, func(i, j int) bool {
		return xxhash.Sum64String(group+"|"+ids[i]) > xxhash.Sum64String(group+"|"+ids[j])
	})
	return lo.Contains(ids[:min(candidatesPerGroup, len(ids))], ls.e.cfg.ID)
}

// handleReply routes a rank's reply to the group that the agent belongs to.
func (ls *groupLeaders) handleReply(agent string, r *proto.OrderReply) {
	for _, gl := range ls.all() {
		gl.handleReply(agent, r)
	}
}

func (ls *groupLeaders) all() []*groupLeader {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return lo.Values(ls.groups)
}

func (ls *groupLeaders) status() []GroupStatus {
	out := lo.Map(ls.all(), func(gl *groupLeader, _ int) GroupStatus { return gl.status() })
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

func (ls *groupLeaders) resign() {
	for _, gl := range ls.all() {
		gl.resign()
	}
}

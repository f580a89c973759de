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
	leadEvery = 100 * time.Millisecond
	// rivals is how many entries compete for the lead of a group; the others don't load the key-value service with it.
	rivals = 3
)

// leaders runs the rank groups that this entry leads or competes for.
type leaders struct {
	e *Entry

	mu     sync.Mutex
	groups map[string]*groupLead
}

func newLeaders(e *Entry) *leaders {
	return &leaders{
		e:      e,
		groups: make(map[string]*groupLead),
	}
}

func (ls *leaders) run(ctx context.Context) {
	t := ls.e.clock.NewTicker(leadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			ls.resign()
			return
		case <-t.Chan():
		}
		for _, g := range ls.e.config.Document().Groups {
			if gl := ls.lead(g); gl != nil {
				gl.tick(ctx)
			}
		}
	}
}

// lead returns the state of a group that this entry is a rival for, with its newest target.
func (ls *leaders) lead(g config.Group) *groupLead {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	gl, ok := ls.groups[g.Name]
	if !ok {
		if !ls.rival(g.Name) {
			return nil
		}
		gl = newGroupLead(ls.e, g)
		ls.groups[g.Name] = gl
	}
	gl.retarget(g)
	return gl
}

// rival returns true when this entry is among the few that rendezvous hashing chooses for the group.
func (ls *leaders) rival(group string) bool {
	ids := lo.Map(ls.e.peers.entries(), func(in core.Instance, _ int) string { return in.ID })
	if len(ids) == 0 {
		return true
	}
	sort.Slice(ids, func(i, j int) bool {
		return xxhash.Sum64String(group+"|"+ids[i]) > xxhash.Sum64String(group+"|"+ids[j])
	})
	return lo.Contains(ids[:min(rivals, len(ids))], ls.e.cfg.ID)
}

// reply hands a rank's reply to the group that the agent is a rank of.
func (ls *leaders) reply(agent string, r *proto.OrderReply) {
	for _, gl := range ls.all() {
		gl.reply(agent, r)
	}
}

func (ls *leaders) all() []*groupLead {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return lo.Values(ls.groups)
}

func (ls *leaders) status() []GroupStatus {
	out := lo.Map(ls.all(), func(gl *groupLead, _ int) GroupStatus { return gl.status() })
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

func (ls *leaders) resign() {
	for _, gl := range ls.all() {
		gl.resign()
	}
}

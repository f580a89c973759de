package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/epmap"
	"geraniumpass/store"
)

// holderMark is the content of a group's leader key.
type holderMark struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       uint64 `json:"nonce"`
}

// keep renews the lease; a lapsed one ends the lead, while an outage of the service leaves a switch that is under way to go on.
func (g *groupLead) keep(ctx context.Context) {
	err := g.e.store.KeepAlive(ctx, g.lease)
	g.mu.Lock()
	defer g.mu.Unlock()
	var lapsed *store.LeaseError
	if errors.As(err, &lapsed) {
		g.e.log.Info("lead of group lapsed", "group", g.name)
		g.leader = nil
		return
	}
	if err == nil {
		g.kept = g.e.clock.Now()
	}
}

// seek takes the lead when nobody holds it; the revision at which the key was made is the fencing number.
func (g *groupLead) seek(ctx context.Context) {
	g.mu.Lock()
	g.sought = g.e.clock.Now()
	g.mu.Unlock()
	g.reachAll()
	ids := g.ranks()
	if ids == nil {
		return
	}
	key := leaderPrefix + g.name + "/leader"
	if v, err := g.e.store.Get(ctx, key); err != nil || v.Modified != 0 {
		return
	}
	lease, err := g.e.store.Grant(ctx, leaderLease)
	if err != nil {
		return
	}
	fence, err := g.take(ctx, key, lease)
	if err != nil {
		_ = g.e.store.Revoke(ctx, lease)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = lease
	g.kept = g.e.clock.Now()
	g.agents = ids
	g.leader = epmap.NewLeader(fence, len(ids))
	g.e.log.Info("leading group", "group", g.name, "fence", fence, "ranks", len(ids))
}

// take writes the leader key and returns its revision; a lost answer is settled by reading the key back.
func (g *groupLead) take(ctx context.Context, key string, lease store.Lease) (uint64, error) {
	mark := holderMark{
		Entry:       g.e.cfg.ID,
		Incarnation: g.e.self.Incarnation,
		Nonce:       random().Uint64(),
	}
	data, err := json.Marshal(mark)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	v, err := g.e.store.Swap(ctx, key, data, 0, lease)
	if err == nil {
		return uint64(v.Created), nil
	}
	var unsure *store.UnknownOutcomeError
	if !errors.As(err, &unsure) {
		return 0, err
	}
	if v, err = g.e.store.Get(ctx, key); err != nil {
		return 0, err
	}
	var held holderMark
	if v.Modified == 0 || json.Unmarshal(v.Data, &held) != nil || held != mark {
		return 0, unsure
	}
	return uint64(v.Created), nil
}

// reachAll links to the ranks that lie outside of the entry's subset: they are of the same service as those that are known.
func (g *groupLead) reachAll() {
	for _, p := range g.e.peers.list() {
		p.mu.Lock()
		member := p.group == g.name
		p.mu.Unlock()
		if member {
			g.e.peers.reachService(p.service)
			return
		}
	}
}

// ranks returns the agents of the group in order of rank, or nil while one of them is not linked.
func (g *groupLead) ranks() []string {
	var ids []string
	found := 0
	for _, p := range g.e.peers.list() {
		p.mu.Lock()
		group, rank, ranks := p.group, p.rank, p.ranks
		up := p.link != nil
		p.mu.Unlock()
		if group != g.name || !up || rank >= ranks {
			continue
		}
		if ids == nil {
			ids = make([]string, ranks)
		}
		if rank < len(ids) && ids[rank] == "" {
			ids[rank] = p.id
			found++
		}
	}
	if found == 0 || found < len(ids) {
		return nil
	}
	return ids
}

// resign gives the lead up on a planned stop, so that another entry takes it at once.
func (g *groupLead) resign() {
	g.mu.Lock()
	leading := g.leader != nil
	lease := g.lease
	g.leader = nil
	g.mu.Unlock()
	if leading {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = g.e.store.Revoke(ctx, lease)
	}
}

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

// leaderRecord is the content of a group's leader key.
type leaderRecord struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       uint64 `json:"nonce"`
}

// renewLease renews the leadership lease. An expired lease ends the leadership; an outage of the
// key-value service does not, so that a switch in progress can complete.
func (g *groupLeader) renewLease(ctx context.Context) {
	err := g.e.store.KeepAlive(ctx, g.lease)
	g.mu.Lock()
	defer g.mu.Unlock()
	var lapsed *store.LeaseError
	if errors.As(err, &lapsed) {
		g.e.log.Info("group leadership lease expired", "group", g.name)
		g.leader = nil
		return
	}
	if err == nil {
		g.leaseRenewedAt = g.e.clock.Now()
	}
}

// campaign acquires the leadership if the leader key is vacant; the key's creation revision
// makes the fencing token.
func (g *groupLeader) campaign(ctx context.Context) {
	g.mu.Lock()
	g.campaignedAt = g.e.clock.Now()
	g.mu.Unlock()
	g.connectRanks()
	ids := g.linkedRanks()
	if ids == nil {
		return
	}
	key := leaderPrefix + g.name + "/leader"
	if v, err := g.e.store.Get(ctx, key); err != nil || v.Modified != 0 {
		return
	}
	lease, err := g.e.store.Grant(ctx, leaderLeaseTTL)
	if err != nil {
		return
	}
	fence, err := g.acquireLead(ctx, key, lease)
	if err != nil {
		_ = g.e.store.Revoke(ctx, lease)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = lease
	g.leaseRenewedAt = g.e.clock.Now()
	g.agents = ids
	g.leader = epmap.NewLeader(fence, len(ids))
	g.e.log.Info("leading group", "group", g.name, "fence", fence, "ranks", len(ids))
}

// acquireLead writes the leader key and returns its fencing token, reading the key back if the
// reply is lost.
func (g *groupLeader) acquireLead(ctx context.Context, key string, lease store.Lease) (uint64, error) {
	record := leaderRecord{
		Entry:       g.e.cfg.ID,
		Incarnation: g.e.self.Incarnation,
		Nonce:       newRand().Uint64(),
	}
	data, err := json.Marshal(record)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	v, err := g.e.store.Swap(ctx, key, data, 0, lease)
	if err == nil {
		return leaderFence(v), nil
	}
	var unsure *store.UnknownOutcomeError
	if !errors.As(err, &unsure) {
		return 0, err
	}
	if v, err = g.e.store.Get(ctx, key); err != nil {
		return 0, err
	}
	var stored leaderRecord
	if v.Modified == 0 || json.Unmarshal(v.Data, &stored) != nil || stored != record {
		return 0, unsure
	}
	return leaderFence(v), nil
}

// leaderFence returns the fencing token of the leader whose key was created at the value's revision.
func leaderFence(v store.Value) uint64 {
	return uint64(store.FenceBase(store.EraOf(v.Created)) + store.NumberOf(v.Created))
}

// connectRanks links to ranks outside the entry's subset; all ranks of a group belong to the same
// service.
func (g *groupLeader) connectRanks() {
	for _, p := range g.e.peers.list() {
		p.mu.Lock()
		member := p.group == g.name
		p.mu.Unlock()
		if member {
			g.e.peers.connectService(p.service)
			return
		}
	}
}

// linkedRanks returns the group's agent IDs in rank order, or nil unless every rank is linked.
func (g *groupLeader) linkedRanks() []string {
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

// resign revokes the leadership lease on a planned stop, so that another entry can take over
// immediately.
func (g *groupLeader) resign() {
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

package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/core"
	"geraniumpass/route"
)

const (
	listEvery   = time.Second
	listTimeout = time.Second
	flushTime   = 500 * time.Millisecond
)

// Lister reads the platform's instance list.
type Lister interface {
	// List returns all rows or an error when the list can't be read.
	List(ctx context.Context) ([]core.Instance, error)
}

// HTTPLister reads the list as JSON from GET /instances.
type HTTPLister struct {
	Address string
}

// List implements Lister.
func (h *HTTPLister) List(context.Context) ([]core.Instance, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+h.Address+"/instances", listTimeout)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if status != fasthttp.StatusOK {
		return nil, errs.Errorf("instance list answered %d", status)
	}
	var rows []core.Instance
	return rows, errs.Wrap(json.Unmarshal(body, &rows))
}

// peers holds the agents that this entry is linked to.
type peers struct {
	e *Entry

	mu       sync.RWMutex
	byID     map[string]*peer
	services map[string][]*peer
	kinds    map[string]core.Kind
	rows     []core.Instance
	links    atomic.Int64
}

func newPeers(e *Entry) *peers {
	return &peers{
		e:        e,
		byID:     make(map[string]*peer),
		services: make(map[string][]*peer),
		kinds:    make(map[string]core.Kind),
	}
}

func (e *Entry) watchList(ctx context.Context) {
	t := e.clock.NewTicker(listEvery)
	defer t.Stop()
	for {
		rows, err := e.list.List(ctx)
		if err != nil {
			e.log.Warn("instance list not read", "error", err)
		} else {
			e.peers.update(rows)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func isUpstream(in core.Instance, _ int) bool {
	return in.Kind != core.KindEntry
}

// update links to new rows and drops a row that is gone once nothing is open there and its link is down: a live link outranks the list.
func (ps *peers) update(rows []core.Instance) {
	upstreams := lo.Filter(rows, isUpstream)
	chosen := route.Subset(ps.e.cfg.ID, ps.e.cfg.Domain, upstreams, ps.e.cfg.MaxLinks)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.rows = rows
	for _, in := range upstreams {
		ps.kinds[in.Service] = in.Kind
	}
	listed := make(map[string]bool, len(chosen))
	for _, in := range chosen {
		listed[in.ID] = true
		if p, ok := ps.byID[in.ID]; ok {
			p.update(in)
			continue
		}
		ps.add(newPeer(ps.e, in))
	}
	for id, p := range ps.byID {
		if !listed[id] && p.idle() {
			ps.drop(p)
		}
	}
}

func (ps *peers) add(p *peer) {
	ps.byID[p.id] = p
	ps.links.Add(1)
	ps.services[p.service] = append(ps.services[p.service], p)
}

func (ps *peers) drop(p *peer) {
	p.cancel()
	delete(ps.byID, p.id)
	ps.links.Add(-1)
	service := p.service
	ps.services[service] = lo.Without(ps.services[service], p)
}

func (p *peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == nil && len(p.attempts) == 0
}

// pace is the time between two heartbeats on each link.
func (ps *peers) pace() time.Duration {
	return max(heartbeatEvery, heartbeatEvery*time.Duration(ps.links.Load())/heartbeatLinks)
}

// stale is the silence after which an agent gets no new work.
func (ps *peers) stale() time.Duration {
	return staleBeats * ps.pace()
}

func (ps *peers) kind(service string) (core.Kind, bool) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	k, ok := ps.kinds[service]
	return k, ok
}

func (ps *peers) of(service string) []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return slices.Clone(ps.services[service])
}

func (ps *peers) get(id string) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.byID[id]
}

// reach returns the peer of any listed instance and links to it when it is outside the subset.
func (ps *peers) reach(id string) *peer {
	if p := ps.get(id); p != nil {
		return p
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	in, ok := lo.Find(ps.rows, func(in core.Instance) bool { return in.ID == id })
	if !ok || ps.byID[id] != nil {
		return ps.byID[id]
	}
	p := newPeer(ps.e, in)
	ps.add(p)
	return p
}

// reachService links to every listed instance of a service.
func (ps *peers) reachService(service string) {
	ps.mu.RLock()
	ids := lo.FilterMap(ps.rows, func(in core.Instance, _ int) (string, bool) { return in.ID, in.Service == service })
	ps.mu.RUnlock()
	for _, id := range ids {
		ps.reach(id)
	}
}

func (ps *peers) list() []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return lo.Values(ps.byID)
}

func (ps *peers) serviceNames() []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return lo.Keys(ps.kinds)
}

func (ps *peers) entries() []core.Instance {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return lo.Filter(ps.rows, func(in core.Instance, _ int) bool { return in.Kind == core.KindEntry })
}

// flush lets the last acknowledgements reach the agents.
func (ps *peers) flush() {
	for _, p := range ps.list() {
		if l := p.present(); l != nil {
			l.Flush(flushTime)
		}
	}
}

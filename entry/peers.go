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
	"geraniumpass/head"
	"geraniumpass/route"
)

const (
	listInterval = time.Second
	listTimeout  = time.Second
	maxListBytes = 8 << 20
	flushTimeout = 500 * time.Millisecond
)

// Lister reads the platform's instance list.
type Lister interface {
	// List returns all instances, or an error if the list cannot be read.
	List(ctx context.Context) ([]core.Instance, error)
}

// listClient reads the instance list, which has some hundred bytes for each instance.
var listClient = &fasthttp.Client{
	DialTimeout:         head.DialTimeout,
	ConfigureClient:     head.HideContents,
	ReadTimeout:         listTimeout,
	MaxResponseBodySize: maxListBytes,
}

// HTTPLister reads the instance list as JSON from GET /instances at Address, a host:port pair.
type HTTPLister struct {
	Address string
}

// List implements Lister.
func (h *HTTPLister) List(context.Context) ([]core.Instance, error) {
	status, body, err := listClient.GetTimeout(nil, "http://"+h.Address+"/instances", listTimeout)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if status != fasthttp.StatusOK {
		return nil, errs.Errorf("instance list request returned status %d", status)
	}
	var rows []core.Instance
	return rows, errs.Wrap(json.Unmarshal(body, &rows))
}

// peers manages the agents that this entry is linked to.
type peers struct {
	e *Entry

	mu        sync.RWMutex
	byID      map[string]*peer
	services  map[string][]*peer
	kinds     map[string]core.Kind
	instances []core.Instance
	links     atomic.Int64
}

func newPeers(e *Entry) *peers {
	return &peers{
		e:        e,
		byID:     make(map[string]*peer),
		services: make(map[string][]*peer),
		kinds:    make(map[string]core.Kind),
	}
}

func (e *Entry) pollInstances(ctx context.Context) {
	t := e.clock.NewTicker(listInterval)
	defer t.Stop()
	for {
		rows, err := e.lister.List(ctx)
		if err != nil {
			e.log.Warn("failed to read instance list", "error", err)
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

// update links to newly listed instances of this entry's subset. It drops an instance that is no
// longer among them only once its link is down and no attempt is open, because a live link outranks
// the list.
func (ps *peers) update(rows []core.Instance) {
	upstreams := lo.Filter(rows, isUpstream)
	chosen := route.Subset(ps.e.cfg.ID, ps.e.cfg.Domain, upstreams, ps.e.cfg.MaxLinks)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.instances = rows
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

// heartbeatInterval returns the time between heartbeats on each link.
func (ps *peers) heartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, minHeartbeatInterval*time.Duration(ps.links.Load())/fullRateHeartbeatLinks)
}

// staleAfter returns the silence after which an agent gets no new work.
func (ps *peers) staleAfter() time.Duration {
	return staleHeartbeats * ps.heartbeatInterval()
}

func (ps *peers) kind(service string) (core.Kind, bool) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	k, ok := ps.kinds[service]
	return k, ok
}

func (ps *peers) forService(service string) []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return slices.Clone(ps.services[service])
}

func (ps *peers) get(id string) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.byID[id]
}

// connect returns the peer of a listed instance, linking to it if it is outside the subset, or nil
// if it is not listed.
func (ps *peers) connect(id string) *peer {
	if p := ps.get(id); p != nil {
		return p
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	in, ok := lo.Find(ps.instances, func(in core.Instance) bool { return in.ID == id })
	if !ok || ps.byID[id] != nil {
		return ps.byID[id]
	}
	p := newPeer(ps.e, in)
	ps.add(p)
	return p
}

// connectService links to every listed instance of a service.
func (ps *peers) connectService(service string) {
	ps.mu.RLock()
	ids := lo.FilterMap(ps.instances, func(in core.Instance, _ int) (string, bool) { return in.ID, in.Service == service })
	ps.mu.RUnlock()
	for _, id := range ids {
		ps.connect(id)
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
	return lo.Filter(ps.instances, func(in core.Instance, _ int) bool { return in.Kind == core.KindEntry })
}

// flush waits up to flushTimeout per link for the last acknowledgements to be sent.
func (ps *peers) flush() {
	for _, p := range ps.list() {
		if l := p.currentLink(); l != nil {
			l.Flush(flushTimeout)
		}
	}
}

package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumpass/config"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

const (
	// gossipFanout is the number of other entries that an entry exchanges revisions with.
	gossipFanout      = 2
	gossipInterval    = time.Second
	gossipRedialDelay = 500 * time.Millisecond
)

// gossiper replicates the configuration between entries, and from the seeds until one is available.
type gossiper struct {
	e *Entry

	mu            sync.Mutex
	links         map[string]*wire.Link
	heldRevisions map[string]uint64
}

func newGossiper(e *Entry) *gossiper {
	return &gossiper{
		e:             e,
		links:         make(map[string]*wire.Link),
		heldRevisions: make(map[string]uint64),
	}
}

func (g *gossiper) run(ctx context.Context) {
	t := g.e.clock.NewTicker(gossipInterval)
	defer t.Stop()
	for {
		for _, address := range g.targets() {
			g.connect(ctx, address)
		}
		g.sendHeartbeats()
		select {
		case <-ctx.Done():
			g.close()
			return
		case <-t.Chan():
		}
	}
}

// targets returns the addresses to link to: the next entries in ID order, and the seeds while the
// entry has no configuration or knows no other entry.
func (g *gossiper) targets() []string {
	rows := g.e.peers.entries()
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	self := sort.Search(len(rows), func(i int) bool { return rows[i].ID >= g.e.cfg.ID })
	var out []string
	for i := 1; i <= gossipFanout && i < len(rows); i++ {
		out = append(out, rows[(self+i)%len(rows)].Address)
	}
	if g.e.config.Document().Revision == 0 || len(out) == 0 {
		out = append(out, g.e.cfg.Seeds...)
	}
	return lo.Uniq(lo.Without(out, g.e.cfg.Control))
}

func (g *gossiper) connect(ctx context.Context, address string) {
	g.mu.Lock()
	_, ok := g.links[address]
	if !ok {
		g.links[address] = nil
	}
	g.mu.Unlock()
	if ok {
		return
	}
	g.e.background.Go(func() {
		self := g.e.self
		self.Role = wire.RoleExchange
		l, err := wire.Dial(address, self, []byte(g.e.cfg.LinkKey))
		if err == nil {
			g.setLink(address, l)
			stop := context.AfterFunc(ctx, l.Close)
			_ = l.Send(&proto.Frame{Heartbeat: g.heartbeat()})
			_ = l.Receive(func(f *proto.Frame) { g.receive(l, f) })
			stop()
		}
		select {
		case <-ctx.Done():
		case <-g.e.clock.After(gossipRedialDelay):
		}
		g.mu.Lock()
		delete(g.links, address)
		g.mu.Unlock()
	})
}

func (g *gossiper) setLink(address string, l *wire.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links[address] = l
}

func (g *gossiper) sendHeartbeats() {
	g.mu.Lock()
	links := lo.Values(g.links)
	g.mu.Unlock()
	for _, l := range links {
		if l != nil {
			_ = l.Send(&proto.Frame{Heartbeat: g.heartbeat()})
		}
	}
}

func (g *gossiper) heartbeat() *proto.Heartbeat {
	return &proto.Heartbeat{Revision: g.e.config.Document().Revision}
}

// accept serves a link dialled by another entry.
func (g *gossiper) accept(l *wire.Link) {
	_ = l.Receive(func(f *proto.Frame) { g.receive(l, f) })
}

func (g *gossiper) receive(l *wire.Link, f *proto.Frame) {
	switch {
	case f.Heartbeat != nil:
		g.requestIfBehind(l, f.Heartbeat.Revision)
		_ = l.Send(&proto.Frame{Report: &proto.Report{Revision: g.e.config.Document().Revision}})
	case f.Report != nil:
		g.requestIfBehind(l, f.Report.Revision)
	case f.ConfigRequest != nil:
		config.SendUpdate(g.e.config, l, f.ConfigRequest)
	case f.Config != nil:
		if err := config.ApplyUpdate(g.e.config, f.Config); err != nil {
			g.e.log.Warn("failed to apply configuration", "peer", l.Peer.ID, "error", err)
		}
	}
}

func (g *gossiper) requestIfBehind(l *wire.Link, revision uint64) {
	g.mu.Lock()
	g.heldRevisions[l.Peer.ID] = revision
	g.mu.Unlock()
	if have := g.e.config.Document().Revision; revision > have {
		_ = l.Send(&proto.Frame{ConfigRequest: &proto.ConfigRequest{SinceRevision: have}})
	}
}

func (g *gossiper) revisions() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lo.Assign(g.heldRevisions)
}

func (g *gossiper) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		if l != nil {
			l.Close()
		}
	}
}

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

func (m *gossiper) run(ctx context.Context) {
	t := m.e.clock.NewTicker(gossipInterval)
	defer t.Stop()
	for {
		for _, address := range m.targets() {
			m.connect(ctx, address)
		}
		m.sendHeartbeats()
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-t.Chan():
		}
	}
}

// targets returns the addresses to link to: the next entries in ID order, and the seeds while the
// entry has no configuration or knows no other entry.
func (m *gossiper) targets() []string {
	rows := m.e.peers.entries()
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	self := sort.Search(len(rows), func(i int) bool { return rows[i].ID >= m.e.cfg.ID })
	var out []string
	for i := 1; i <= gossipFanout && i < len(rows); i++ {
		out = append(out, rows[(self+i)%len(rows)].Address)
	}
	if m.e.config.Document().Revision == 0 || len(out) == 0 {
		out = append(out, m.e.cfg.Seeds...)
	}
	return lo.Uniq(lo.Without(out, m.e.cfg.Control))
}

func (m *gossiper) connect(ctx context.Context, address string) {
	m.mu.Lock()
	_, ok := m.links[address]
	if !ok {
		m.links[address] = nil
	}
	m.mu.Unlock()
	if ok {
		return
	}
	m.e.background.Go(func() {
		self := m.e.self
		self.Role = wire.RoleExchange
		l, err := wire.Dial(address, self, []byte(m.e.cfg.LinkKey))
		if err == nil {
			m.setLink(address, l)
			stop := context.AfterFunc(ctx, l.Close)
			_ = l.Send(&proto.Frame{Heartbeat: m.heartbeat()})
			_ = l.Receive(func(f *proto.Frame) { m.receive(l, f) })
			stop()
		}
		select {
		case <-ctx.Done():
		case <-m.e.clock.After(gossipRedialDelay):
		}
		m.mu.Lock()
		delete(m.links, address)
		m.mu.Unlock()
	})
}

func (m *gossiper) setLink(address string, l *wire.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[address] = l
}

func (m *gossiper) sendHeartbeats() {
	m.mu.Lock()
	links := lo.Values(m.links)
	m.mu.Unlock()
	for _, l := range links {
		if l != nil {
			_ = l.Send(&proto.Frame{Heartbeat: m.heartbeat()})
		}
	}
}

func (m *gossiper) heartbeat() *proto.Heartbeat {
	return &proto.Heartbeat{Revision: m.e.config.Document().Revision}
}

// accept serves a link dialled by another entry.
func (m *gossiper) accept(l *wire.Link) {
	_ = l.Receive(func(f *proto.Frame) { m.receive(l, f) })
}

func (m *gossiper) receive(l *wire.Link, f *proto.Frame) {
	switch {
	case f.Heartbeat != nil:
		m.requestIfBehind(l, f.Heartbeat.Revision)
		_ = l.Send(&proto.Frame{Report: &proto.Report{Revision: m.e.config.Document().Revision}})
	case f.Report != nil:
		m.requestIfBehind(l, f.Report.Revision)
	case f.ConfigRequest != nil:
		config.SendUpdate(m.e.config, l, f.ConfigRequest)
	case f.Config != nil:
		if err := config.ApplyUpdate(m.e.config, f.Config); err != nil {
			m.e.log.Warn("failed to apply configuration", "peer", l.Peer.ID, "error", err)
		}
	}
}

func (m *gossiper) requestIfBehind(l *wire.Link, revision uint64) {
	m.mu.Lock()
	m.heldRevisions[l.Peer.ID] = revision
	m.mu.Unlock()
	if have := m.e.config.Document().Revision; revision > have {
		_ = l.Send(&proto.Frame{ConfigRequest: &proto.ConfigRequest{SinceRevision: have}})
	}
}

func (m *gossiper) revisions() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return lo.Assign(m.heldRevisions)
}

func (m *gossiper) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l != nil {
			l.Close()
		}
	}
}

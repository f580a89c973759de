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
	// mateLinks is how many other entries an entry exchanges revisions with.
	mateLinks    = 2
	mateEvery    = time.Second
	mateAttempts = 500 * time.Millisecond
)

// mates exchanges the configuration with other entries, and with the seeds until there is one.
type mates struct {
	e *Entry

	mu    sync.Mutex
	links map[string]*wire.Link
	held  map[string]uint64
}

func newMates(e *Entry) *mates {
	return &mates{
		e:     e,
		links: make(map[string]*wire.Link),
		held:  make(map[string]uint64),
	}
}

func (m *mates) run(ctx context.Context) {
	t := m.e.clock.NewTicker(mateEvery)
	defer t.Stop()
	for {
		for _, address := range m.wanted() {
			m.connect(ctx, address)
		}
		m.beat()
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-t.Chan():
		}
	}
}

// wanted returns the addresses to be linked to: the next entries in order of id, and the seeds while no configuration is held.
func (m *mates) wanted() []string {
	rows := m.e.peers.entries()
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	self := sort.Search(len(rows), func(i int) bool { return rows[i].ID >= m.e.cfg.ID })
	var out []string
	for i := 1; i <= mateLinks && i < len(rows); i++ {
		out = append(out, rows[(self+i)%len(rows)].Address)
	}
	if m.e.config.Document().Revision == 0 || len(out) == 0 {
		out = append(out, m.e.cfg.Seeds...)
	}
	return lo.Uniq(lo.Without(out, m.e.cfg.Control))
}

func (m *mates) connect(ctx context.Context, address string) {
	m.mu.Lock()
	_, ok := m.links[address]
	if !ok {
		m.links[address] = nil
	}
	m.mu.Unlock()
	if ok {
		return
	}
	m.e.loops.Go(func() {
		self := m.e.self
		self.Role = wire.RoleExchange
		l, err := wire.Dial(address, self, []byte(m.e.cfg.LinkKey))
		if err == nil {
			m.set(address, l)
			stop := context.AfterFunc(ctx, l.Close)
			_ = l.Send(&proto.Frame{Heartbeat: m.heartbeat()})
			_ = l.Receive(func(f *proto.Frame) { m.receive(l, f) })
			stop()
		}
		select {
		case <-ctx.Done():
		case <-m.e.clock.After(mateAttempts):
		}
		m.mu.Lock()
		delete(m.links, address)
		m.mu.Unlock()
	})
}

func (m *mates) set(address string, l *wire.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[address] = l
}

func (m *mates) beat() {
	m.mu.Lock()
	links := lo.Values(m.links)
	m.mu.Unlock()
	for _, l := range links {
		if l != nil {
			_ = l.Send(&proto.Frame{Heartbeat: m.heartbeat()})
		}
	}
}

func (m *mates) heartbeat() *proto.Heartbeat {
	return &proto.Heartbeat{Revision: m.e.config.Document().Revision}
}

// accept serves the link of another entry that dialled this one.
func (m *mates) accept(l *wire.Link) {
	_ = l.Receive(func(f *proto.Frame) { m.receive(l, f) })
}

func (m *mates) receive(l *wire.Link, f *proto.Frame) {
	switch {
	case f.Heartbeat != nil:
		m.compare(l, f.Heartbeat.Revision)
		_ = l.Send(&proto.Frame{Report: &proto.Report{Revision: m.e.config.Document().Revision}})
	case f.Report != nil:
		m.compare(l, f.Report.Revision)
	case f.ConfigAsk != nil:
		config.Answer(m.e.config, l, f.ConfigAsk)
	case f.Config != nil:
		if err := config.Take(m.e.config, f.Config); err != nil {
			m.e.log.Warn("configuration not taken", "peer", l.Peer.ID, "error", err)
		}
	}
}

func (m *mates) compare(l *wire.Link, revision uint64) {
	m.mu.Lock()
	m.held[l.Peer.ID] = revision
	m.mu.Unlock()
	if have := m.e.config.Document().Revision; revision > have {
		_ = l.Send(&proto.Frame{ConfigAsk: &proto.ConfigAsk{Have: have}})
	}
}

func (m *mates) revisions() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return lo.Assign(m.held)
}

func (m *mates) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l != nil {
			l.Close()
		}
	}
}

package group

import (
	"context"
	"net"
	"time"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// connect dials the agents of ranks without a link.
func (d *leadership) connect(ctx context.Context) {
	now := d.m.Clock.Now()
	missing := 0
	for _, l := range d.links {
		if l == nil {
			missing++
		}
	}
	if missing == 0 || now.Sub(d.dialedAt) < dialInterval {
		return
	}
	d.dialedAt = now
	if now.Sub(d.listedAt) >= listInterval && !d.isListing {
		d.listedAt = now
		d.isListing = true
		d.lister.Go(func() { d.post(ctx, event{listed: d.loadListing(ctx)}) })
	}
	for _, address := range d.addresses {
		if d.dialed[address] || now.Sub(d.foreignSince[address]) < foreignTTL {
			continue
		}
		d.dialed[address] = true
		go d.dial(ctx, address)
	}
}

// listing is the answer of the store to a leader that asked for the instances.
type listing struct {
	change view.Change
	err    error
}

// loadListing loads the service's instances and the parameters of its engine. It runs beside the
// leader's loop, which goes on while the store doesn't answer: ranks that hear no heartbeat campaign, and
// a hold must be ended in time.
func (d *leadership) loadListing(ctx context.Context) *listing {
	c, err := d.load(ctx)
	return &listing{
		change: c,
		err:    err,
	}
}

// useListing takes over what loadListing has read. The first addresses are dialed at the next tick.
func (d *leadership) useListing(l *listing) {
	d.isListing = false
	if l.err != nil {
		d.m.Log.Warn("cannot list instances", "error", l.err)
		return
	}
	if len(d.addresses) == 0 {
		d.dialedAt = time.Time{}
	}
	c := l.change
	if c.Table != nil {
		if s := c.Table.Service(d.m.Service); s != nil {
			d.engine = s.Engine
		}
	}
	d.addresses = d.addresses[:0]
	d.instances = make(map[string]core.Start, len(c.Put))
	for _, in := range c.Put {
		if in.Service == d.m.Service {
			address := d.agentOf(in)
			d.addresses = append(d.addresses, address)
			d.instances[address] = in.Start()
		}
	}
}

// load reads the whole state, which may come in parts.
func (d *leadership) load(ctx context.Context) (view.Change, error) {
	for {
		c, err := d.m.Source.Load(ctx)
		if err != nil || !c.More {
			return c, err
		}
	}
}

// agentOf returns the address of the agent beside an instance.
func (d *leadership) agentOf(in core.Instance) string {
	host, _, err := net.SplitHostPort(in.Address)
	if err != nil {
		d.m.Log.Error("instance address has no port", "instance", in.ID, "address", in.Address)
		return in.Address
	}
	return net.JoinHostPort(host, d.m.Port)
}

func (d *leadership) dial(ctx context.Context, address string) {
	l, err := wire.Dial(address, d.m.Own, d.m.Key)
	if err != nil {
		d.m.Log.Debug("cannot connect to agent", "address", address, "error", err)
		d.post(ctx, event{address: address})
		return
	}
	// The agent answers the first heartbeat with its state, which identifies the rank.
	_ = l.Send(d.heartbeatFrame())
	_ = l.Receive(func(f *proto.Frame) {
		if f.RankState != nil {
			d.post(ctx, event{
				address: address,
				link:    l,
				rank:    f.RankState,
			})
		}
	})
	d.post(ctx, event{
		address: address,
		link:    l,
	})
}

func (d *leadership) post(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
		if e.link != nil {
			e.link.Close()
		}
	}
}

func (d *leadership) handleLinkEnd(e event) {
	delete(d.dialed, e.address)
	d.loads.forgetLink(e.link)
	r, ok := d.rankOf[e.link]
	if !ok {
		return
	}
	delete(d.rankOf, e.link)
	if d.links[r] == e.link {
		d.links[r] = nil
		d.known[r] = false
		// Once a rank is armed the switch must be completed, and the group stands until this one is back.
		d.leader.Abandon()
	}
}

// sendHeartbeats sends a heartbeat to all connected ranks once heartbeatInterval has passed.
func (d *leadership) sendHeartbeats() {
	now := d.m.Clock.Now()
	if now.Sub(d.heartbeatAt) < heartbeatInterval {
		return
	}
	d.heartbeatAt = now
	d.loads.update(now, d.reportedPaces, d.paces)
	frames := newEncodedFrames(d.m.Log)
	byLoads := make(map[*proto.RankLoads]*proto.Frame)
	for _, l := range d.links {
		if l != nil {
			frames.send(l, d.heartbeatWith(byLoads, d.loads.message(l)))
		}
	}
}

// heartbeatWith returns the heartbeat with the given loads, the same for all ranks.
func (d *leadership) heartbeatWith(byLoads map[*proto.RankLoads]*proto.Frame, loads *proto.RankLoads) *proto.Frame {
	f, ok := byLoads[loads]
	if !ok {
		f = d.heartbeatFrame()
		f.RankOrder.Loads = loads
		byLoads[loads] = f
	}
	return f
}

// heartbeatFrame returns a heartbeat. It may run in any goroutine, since it reads only fields that
// do not change.
func (d *leadership) heartbeatFrame() *proto.Frame {
	return &proto.Frame{RankOrder: &proto.GroupOrder{
		Fence: d.leader.Fence,
		Group: d.group,
	}}
}

package group

import (
	"context"
	"net"

	"geraniumpass/core"
	"geraniumpass/proto"
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
	if now.Sub(d.listedAt) >= listInterval {
		d.listedAt = now
		d.listInstances(ctx)
	}
	for address := range d.addresses {
		if d.dialed[address] || now.Sub(d.foreignSince[address]) < foreignTTL {
			continue
		}
		d.dialed[address] = true
		go d.dial(ctx, address)
	}
}

// listInstances loads the service's instances and the parameters of its engine.
func (d *leadership) listInstances(ctx context.Context) {
	c, err := d.m.Source.Load(ctx)
	if err != nil {
		d.m.Log.Warn("cannot list instances", "error", err)
		return
	}
	if c.Table != nil {
		if s := c.Table.Service(d.m.Service); s != nil {
			d.engine = s.Engine
		}
	}
	now := d.m.Clock.Now()
	for _, in := range c.Put {
		if in.Service == d.m.Service {
			address := d.agentOf(in)
			d.addresses[address] = now
			d.instances[address] = in.Start()
		}
	}
	for address, listedAt := range d.addresses {
		if now.Sub(listedAt) >= unlistedTTL && !d.dialed[address] {
			delete(d.addresses, address)
			delete(d.instances, address)
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
	l, err := wire.DialTimeout(rankDialTimeout, address, d.m.Own, d.m.Key)
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
	if _, ok := d.addresses[e.address]; ok {
		// Instances are not listed while all ranks are connected.
		d.addresses[e.address] = d.m.Clock.Now()
	}
	if d.links[r] == e.link {
		d.links[r] = nil
		d.known[r] = false
	}
}

// sendHeartbeats sends a heartbeat to all connected ranks once heartbeatInterval has passed or another
// number of ranks is missing.
func (d *leadership) sendHeartbeats() {
	now := d.m.Clock.Now()
	if now.Sub(d.heartbeatAt) < heartbeatInterval && !d.loads.isMissingChanged(now) {
		return
	}
	d.heartbeatAt = now
	d.loads.update(now, d.reportedPaces, d.paces)
	for _, l := range d.links {
		if l != nil {
			f := d.heartbeatFrame()
			f.RankOrder.Loads = d.loads.message(l)
			_ = l.Send(f)
		}
	}
}

// heartbeatFrame returns a heartbeat. It may run in any goroutine, since it reads only fields that
// do not change.
func (d *leadership) heartbeatFrame() *proto.Frame {
	return &proto.Frame{RankOrder: &proto.GroupOrder{
		Fence: d.leader.Fence,
		Group: d.group,
	}}
}

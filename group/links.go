package group

import (
	"context"
	"net"

	"geraniumpass/core"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// connect opens links to the agents of the group's ranks that have none.
func (d *leading) connect(ctx context.Context) {
	now := d.m.Clock.Now()
	missing := 0
	for _, l := range d.links {
		if l == nil {
			missing++
		}
	}
	if missing == 0 || now.Sub(d.tried) < dialEvery {
		return
	}
	d.tried = now
	if now.Sub(d.listed) >= listEvery {
		d.listed = now
		d.list(ctx)
	}
	for _, address := range d.addresses {
		if d.dialled[address] || now.Sub(d.foreign[address]) < foreignTTL {
			continue
		}
		d.dialled[address] = true
		go d.dial(ctx, address)
	}
}

// list reads which instances there are and what is known of their engines.
func (d *leading) list(ctx context.Context) {
	c, err := d.m.Source.Load(ctx)
	if err != nil {
		d.m.Log.Warn("instances can't be listed", "error", err)
		return
	}
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

// agentOf returns the address of the agent beside an instance.
func (d *leading) agentOf(in core.Instance) string {
	host, _, err := net.SplitHostPort(in.Address)
	if err != nil {
		d.m.Log.Error("instance without a port", "instance", in.ID, "address", in.Address)
		return in.Address
	}
	return net.JoinHostPort(host, d.m.Port)
}

func (d *leading) dial(ctx context.Context, address string) {
	l, err := wire.Dial(address, d.m.Own, d.m.Key)
	if err != nil {
		d.m.Log.Debug("agent can't be reached", "address", address, "error", err)
		d.post(ctx, event{address: address})
		return
	}
	// The first beat makes the agent tell its state, by which the rank is known.
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

func (d *leading) post(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
		if e.link != nil {
			e.link.Close()
		}
	}
}

func (d *leading) ended(e event) {
	delete(d.dialled, e.address)
	r, ok := d.rankOf[e.link]
	if !ok {
		return
	}
	delete(d.rankOf, e.link)
	if d.links[r] == e.link {
		d.links[r] = nil
		d.known[r] = false
	}
}

// speak lets all ranks know that the leader lives.
func (d *leading) speak() {
	now := d.m.Clock.Now()
	if now.Sub(d.beat) < heartbeatInterval {
		return
	}
	d.beat = now
	for _, l := range d.links {
		if l != nil {
			_ = l.Send(d.heartbeatFrame())
		}
	}
}

// heartbeatFrame says that the leader lives; it reads nothing that changes.
func (d *leading) heartbeatFrame() *proto.Frame {
	return &proto.Frame{RankOrder: &proto.GroupOrder{
		Fence: d.leader.Fence,
		Group: d.group,
	}}
}

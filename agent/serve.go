package agent

import (
	"expvar"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/samber/lo"

	"geraniumpass/config"
	"geraniumpass/ledger"
	"geraniumpass/proto"
	"geraniumpass/queue"
	"geraniumpass/wire"
)

func (a *Agent) routes() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "geraniumpass agent"})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if a.leaving.Load() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("leaving")
		}
		return c.SendString("ok")
	})
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	app.Get("/link", func(c fiber.Ctx) error {
		return wire.Accept(c.RequestCtx(), a.self, []byte(a.cfg.LinkKey), a.serve)
	})
	return app
}

// serve reads one entry's link until it ends.
func (a *Agent) serve(l *wire.Link) {
	// A link that only exchanges the configuration must not take the answers that belong to the entry's working link.
	if l.Peer.Role != wire.RoleExchange {
		a.sessions.add(l)
		defer a.sessions.remove(l)
	}
	a.log.Debug("link opened", "entry", l.Peer.ID)
	defer a.transits.forget(l)
	err := l.Receive(func(f *proto.Frame) { a.receive(l, f) })
	a.log.Debug("link ended", "entry", l.Peer.ID, "error", err)
}

func (a *Agent) receive(l *wire.Link, f *proto.Frame) {
	key := func(n uint64) ledger.Key {
		return ledger.Key{
			Session: sessionOf(l),
			N:       n,
		}
	}
	switch {
	case f.Dispatch != nil:
		a.age(l, f.Dispatch)
		a.dispatch(key(f.Dispatch.N), f.Dispatch)
	case f.Cancel != nil:
		a.cancel(key(f.Cancel.N))
	case f.Ack != nil:
		a.ack(key(f.Ack.N), f.Ack.Next)
	case f.Resume != nil:
		a.resume(key(f.Resume.N), f.Resume.Next)
	case f.Heartbeat != nil:
		a.heartbeat(l, f.Heartbeat)
	case f.Drain != nil:
		a.leave("order of " + f.Drain.Who)
	case f.Order != nil:
		a.rank.order(l, f.Order)
	case f.Config != nil:
		a.takeConfig(f.Config)
	case f.ConfigAsk != nil:
		config.SendUpdate(a.config, l, f.ConfigAsk)
	}
}

func (a *Agent) heartbeat(l *wire.Link, h *proto.Heartbeat) {
	a.transits.took(l, h.Sent, a.clock.Now())
	a.ledger.Settle(sessionOf(l), h.Floor)
	a.sessions.settle(sessionOf(l), h.Floor)
	if h.Heard {
		a.sessions.hear(sessionOf(l))
	}
	if h.Leaving {
		a.leave("instance list")
	}
	if h.Revision > a.config.Document().Revision && a.mayAsk() {
		_ = l.Send(&proto.Frame{ConfigAsk: &proto.ConfigAsk{Have: a.config.Document().Revision}})
	}
	r := a.report()
	if h.First {
		r.Group, r.Rank, r.Ranks = a.cfg.Upstream.Group, a.cfg.Upstream.Rank, a.cfg.Upstream.Ranks
	}
	_ = l.Send(&proto.Frame{Report: r})
}

func (a *Agent) report() *proto.Report {
	a.sched.Lock()
	defer a.sched.Unlock()
	return &proto.Report{
		Running: a.running,
		Limit:   a.limiter.Limit(),
		Drain:   a.limiter.DrainRate(),
		Queued: lo.Map(a.queue.Load(), func(c queue.ClassLoad, _ int) proto.ClassLoad {
			return proto.ClassLoad{
				Class: c.Class,
				Cost:  c.Cost,
				N:     c.N,
			}
		}),
		RunningCost: a.runningCost,
		Leaving:     a.leaving.Load(),
		Healthy:     a.healthy.Load(),
		Revision:    a.config.Document().Revision,
	}
}

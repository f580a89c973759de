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
	app := fiber.New(fiber.Config{
		AppName:   "geraniumpass agent",
		BodyLimit: maxBodyBytes,
	})
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

// serve receives frames from one peer until its link closes.
func (a *Agent) serve(l *wire.Link) {
	// An exchange link only carries configuration. Registering it would replace the entry's working
	// link, and answers would be sent on the wrong one.
	if l.Peer.Role != wire.RoleExchange {
		a.sessions.add(l)
		defer a.sessions.remove(l)
	}
	a.log.Debug("link opened", "entry", l.Peer.ID)
	defer a.transits.remove(l)
	err := l.Receive(func(f *proto.Frame) { a.receive(l, f) })
	a.log.Debug("link closed", "entry", l.Peer.ID, "error", err)
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
		a.deductTransit(l, f.Dispatch)
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
		a.leave("order of " + f.Drain.RequestedBy)
	case f.Order != nil:
		a.rank.handleOrder(l, f.Order)
	case f.Config != nil:
		a.applyConfig(f.Config)
	case f.ConfigRequest != nil:
		config.SendUpdate(a.config, l, f.ConfigRequest)
	}
}

func (a *Agent) heartbeat(l *wire.Link, h *proto.Heartbeat) {
	a.transits.delay(l, h.Sent, a.clock.Now())
	a.ledger.RaiseFloor(sessionOf(l), h.Floor)
	a.sessions.raiseFloor(sessionOf(l), h.Floor)
	if h.LeavingAck {
		a.sessions.ackLeaving(sessionOf(l))
	}
	if h.Leaving {
		a.leave("instance list")
	}
	if h.Revision > a.config.Document().Revision && a.allowConfigRequest() {
		_ = l.Send(&proto.Frame{ConfigRequest: &proto.ConfigRequest{SinceRevision: a.config.Document().Revision}})
	}
	r := a.report()
	if h.WantRank {
		r.Group, r.Rank, r.Ranks = a.cfg.Upstream.Group, a.cfg.Upstream.Rank, a.cfg.Upstream.Ranks
	}
	_ = l.Send(&proto.Frame{Report: r})
}

func (a *Agent) report() *proto.Report {
	a.schedMu.Lock()
	defer a.schedMu.Unlock()
	return &proto.Report{
		Running:   a.running,
		Limit:     a.limiter.Limit(),
		DrainRate: a.limiter.DrainRate(),
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

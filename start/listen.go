package start

import (
	"net"

	"github.com/zeebo/errs/v2"

	"geraniumpass/accept"
)

const (
	// callerPart, readyPart and controlPart are each listener's part of the connections and bytes that
	// clients may take.
	callerPart  = 0.68
	readyPart   = 0.09
	controlPart = 0.23
)

// serve opens all listeners and sends the error of the first server that ends to failed.
func (g *gateway) serve(failed chan<- error) error {
	bounds := accept.NewBounds(g.cfg.Limits.MemoryMB, g.cfg.Limits.MaxFiles)
	for _, s := range []struct {
		name    string
		address string
		part    float64
		limits  func() accept.Limits
		bind    func(*accept.Listener)
		serve   func(net.Listener) error
	}{
		{"callers", g.cfg.Listen, callerPart, g.callerLimits, func(l *accept.Listener) { l.Bind(g.frontServer) }, g.frontServer.Serve},
		{"ready", g.cfg.Ready, readyPart, nil, func(l *accept.Listener) { l.Bind(g.readyServer) }, g.readyServer.Serve},
		{"control", g.cfg.Control, controlPart, nil, func(l *accept.Listener) { l.BindFast(g.linkServer) }, g.linkServer.Serve},
	} {
		ln, err := accept.Listen(accept.Config{
			Address:  s.address,
			Name:     s.name,
			MaxConns: bounds.MaxConns(s.part),
			Budget:   bounds.Budget(s.part),
			Limits:   s.limits,
			Clock:    g.clock,
			Log:      g.log.Named("listen"),
		})
		if err != nil {
			return errs.Wrap(err)
		}
		s.bind(ln)
		go func() { failed <- s.serve(ln) }()
	}
	return nil
}

// callerLimits returns the limits of the routing table in force.
func (g *gateway) callerLimits() accept.Limits {
	table := g.cache.Now().Table
	if table == nil {
		return accept.Limits{}
	}
	return accept.Limits{
		HeadBytes: table.Limits.HeaderBytes,
		HeadTime:  table.Limits.HeaderTimeout,
		IdleTime:  table.Limits.Idle,
	}
}

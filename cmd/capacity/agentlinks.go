package main

import (
	"fmt"
	"sync"
	"time"

	"geraniumpass/deploy"
	"geraniumpass/proto"
	"geraniumpass/setup"
	"geraniumpass/wire"
)

func (r *runner) agentLinks() []series {
	sizes := []int{9, 36, 72, 144}
	var usages []usage
	for _, n := range sizes {
		address, err := deploy.FreeAddress()
		must(err)
		p, err := deploy.Launch(r.binary, r.dir, fmt.Sprintf("agent-%d", n), "agent", address, setup.Agent{
			Role:    "agent",
			ID:      "agent",
			Domain:  domain,
			Listen:  address,
			LinkKey: linkKey,
			Upstream: setup.Upstream{
				Service: service,
				Kind:    "plain",
				Address: address,
			},
			Log: setup.Log{Level: "error"},
		})
		must(err)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { holdLink(address, i, stop) })
		}
		time.Sleep(2 * settleTime)
		usages = append(usages, r.measureUsage(p))
		close(stop)
		wg.Wait()
		p.Kill()
	}
	return usageSeries("links", sizes, usages)
}

// holdLink keeps one link open and sends heartbeats as an entry does.
func holdLink(address string, i int, stop chan struct{}) {
	var l *wire.Link
	must(deploy.Until("the agent to accept a link", readyTimeout, func() bool {
		var err error
		l, err = wire.Dial(address, wire.Identity{
			ID:          fmt.Sprintf("entry-%03d", i),
			Role:        wire.RoleEntry,
			Incarnation: 1,
		}, []byte(linkKey))
		return err == nil
	}))
	go func() { _ = l.Receive(func(*proto.Frame) {}) }()
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			l.Close()
			return
		case <-t.C:
			_ = l.Send(&proto.Frame{Heartbeat: &proto.Heartbeat{Floor: 1}})
		}
	}
}

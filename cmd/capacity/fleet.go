package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"

	"geraniumpass/agent"
	"geraniumpass/core"
	"geraniumpass/deploy"
	"geraniumpass/place"
	"geraniumpass/setup"
)

const (
	linkKey      = "link-key-of-the-measurement"
	operatorKey  = "operator-key-of-the-measurement"
	region       = "bc-lower"
	domain       = "hall-a"
	service      = "geranium-lm"
	groupName    = "group"
	slotsPerRank = 2
	// prompt is the prompt of every request.
	prompt = "p"
)

// fleet is a set of agents within this process, for sizes that separate processes can't reach.
type fleet struct {
	instances []core.Instance
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// newFleet starts n agents; if experts is positive, they are the ranks of one group.
func newFleet(n int, experts int, pace time.Duration) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel}
	var encodedMap []byte
	var tokens []float64
	if experts > 0 {
		var err error
		if encodedMap, err = place.Even(experts, n, slotsPerRank).Encode(); err != nil {
			cancel()
			return nil, err
		}
		tokens = make([]float64, experts)
		for e := range tokens {
			tokens[e] = 1
		}
	}
	for i := range n {
		u := &instantUpstream{
			pace:       pace,
			ranks:      n,
			version:    1,
			encodedMap: encodedMap,
		}
		if i == 0 {
			u.tokens = tokens
		}
		if err := f.addAgent(ctx, i, n, u, experts > 0); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addAgent(ctx context.Context, i, n int, u agent.Upstream, grouped bool) error {
	address, err := deploy.FreeAddress()
	if err != nil {
		return err
	}
	cfg := &setup.Agent{
		Role:    "agent",
		ID:      fmt.Sprintf("%s-%04d", service, i),
		Domain:  domain,
		Region:  region,
		Listen:  address,
		LinkKey: linkKey,
		Upstream: setup.Upstream{
			Service:     service,
			Kind:        string(core.KindModel),
			Address:     address,
			ChecksFence: true,
		},
	}
	if grouped {
		cfg.Upstream.Group, cfg.Upstream.Rank, cfg.Upstream.Ranks = groupName, i, n
	}
	in := do.New()
	do.ProvideValue(in, cfg)
	do.ProvideValue[clockwork.Clock](in, clockwork.NewRealClock())
	do.ProvideValue(in, hclog.NewNullLogger())
	do.ProvideValue(in, u)
	a, err := agent.New(in)
	if err != nil {
		return err
	}
	f.wg.Go(func() { _ = a.Run(ctx) })
	f.instances = append(f.instances, core.Instance{
		ID:      cfg.ID,
		Service: service,
		Kind:    core.KindModel,
		Domain:  domain,
		Address: address,
	})
	return nil
}

func (f *fleet) close() {
	f.cancel()
	f.wg.Wait()
}

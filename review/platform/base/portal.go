package base

import (
	"fmt"
	"os"
	"time"
)

const (
	portalService = "portal-app"
	portalHost    = "portal.example"
	portalKey     = "key-of-a-festival-01"
	portalServers = 3
	portalSlots   = 6
	portalQueue   = 24
	portalWork    = 60 * time.Millisecond
	portalBudget  = 4 * time.Second
	portalBound   = 2 * time.Second
	// PortalMemoryMB is what a machine has.
	PortalMemoryMB = 284
	// PortalBodyBytes is the limit of a body in the manifest.
	PortalBodyBytes = 4194304
	// ToleratedLosses is how many calls that were passed on to sound servers may end with a closed channel.
	ToleratedLosses = 3
)

// Portal is a deployment with one plain service, as at the site festa-submit.
type Portal struct {
	Gateways  []*Gateway
	Upstreams []*Upstream
	Calls     *Calls

	record  *Record
	store   *Store
	keepers []*MemoryKeeper
	dir     string
}

// StartPortal starts a deployment with the given number of gateways and waits until they are ready. prepare, if
// it isn't nil, is called with each server.
func StartPortal(rec *Record, gateways int, prepare func(i int, u *Upstream)) (*Portal, error) {
	p := &Portal{
		record: rec,
		Calls: &Calls{
			Record: rec,
			Host:   portalHost,
			Path:   "/commit/x",
			Key:    portalKey,
			Budget: portalBudget,
		},
	}
	if err := p.start(gateways, prepare); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Portal) start(gateways int, prepare func(i int, u *Upstream)) error {
	var err error
	if p.dir, err = os.MkdirTemp("", "portal"); err != nil {
		return err
	}
	if p.store, err = StartStore(20 * time.Second); err != nil {
		return err
	}
	p.store.Put("op/config", portalManifest())
	for i := range portalServers {
		u, err := StartUpstream(fmt.Sprintf("i-%d", i), portalSlots, portalQueue, portalWork)
		if err != nil {
			return err
		}
		if prepare != nil {
			prepare(i, u)
		}
		p.Upstreams = append(p.Upstreams, u)
		p.store.Put("servers/"+u.ID, u.Entry(portalService, portalZone(i)))
	}
	var seeds []string
	for i := range gateways {
		g, err := NewGateway(p.dir, i, Settings{
			ID:       fmt.Sprintf("front-%s-%d", portalZone(i), i/portalServers+1),
			Zone:     portalZone(i),
			Store:    p.store.Address(),
			MemoryMB: PortalMemoryMB,
			Bound:    portalBound,
		})
		if err != nil {
			return err
		}
		p.Gateways = append(p.Gateways, g)
		if i < portalServers {
			seeds = append(seeds, g.Control)
		}
	}
	for _, g := range p.Gateways {
		g.Settings.Seeds = seeds
		if err := g.Start(true); err != nil {
			return err
		}
	}
	if !AwaitReady(p.Gateways, 15*time.Second) {
		return fmt.Errorf("gateways are not ready")
	}
	for _, g := range p.Gateways {
		k := &MemoryKeeper{
			Gateway: g,
			Record:  p.record,
		}
		p.keepers = append(p.keepers, k)
		go k.Run()
	}
	return nil
}

func portalManifest() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "entry-commit", "host": portalHost, "prefix": "/commit/", "kind": "non_idempotent", "timeoutMs": portalBudget.Milliseconds(), "targetLatencyMs": 300,
			"priority": 2, "service": portalService, "attempts": 2, "allowAnonymous": false, "stickySessions": false,
		}},
		"services": []map[string]any{{"name": portalService, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": PortalBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "festival", "apiKeys": []string{portalKey}, "priority": 1}},
	}
}

func portalZone(i int) string {
	return [...]string{"catania-a", "palermo-b", "siracusa-c"}[i%portalServers]
}

// Judge writes what became of the calls and returns the exit code: ExitBroken if LOST was broken.
func (p *Portal) Judge() int {
	lost := p.Calls.LostAtSound(p.Upstreams)
	kills := int64(0)
	for _, k := range p.keepers {
		p.record.Printf("%s used %d MB at most", k.Gateway.Settings.ID, k.PeakMB())
		kills += k.Kills()
	}
	p.record.Printf("%d kills; %d calls passed on to sound servers ended with a closed kept channel and no answer (the rule allows %d)", kills, lost, ToleratedLosses)
	if lost > ToleratedLosses {
		return ExitBroken
	}
	return ExitHeld
}

// Close ends all processes and stand-ins.
func (p *Portal) Close() {
	for _, k := range p.keepers {
		k.Stop()
	}
	// A keeper may just be starting its gateway again.
	time.Sleep(2 * restartDelay)
	for _, g := range p.Gateways {
		g.Kill()
	}
	for _, u := range p.Upstreams {
		u.Close()
	}
	if p.store != nil {
		p.store.Close()
	}
	_ = os.RemoveAll(p.dir)
}

package kit

import (
	"fmt"
	"net/http"
	"time"

	"geraniumpass/deploy"
)

// Gateway is a process of the gateway role.
type Gateway struct {
	*Process
	Front string
	Ready string
	// Link is the address for peers.
	Link string

	settings map[string]any
}

// Bounds are the bounds of the site Reverbline that the settings of a gateway name.
const (
	GraceS        = 8
	ConfigApplyMs = 2000
	DrainMs       = 2000
	StableWindow  = 3 * time.Second
)

// Gateways starts the given number of gateways, as deploy/gateway.json.tmpl sets them up, and waits until
// all are ready.
func Gateways(binary, dir, storeAddress string, count int) ([]*Gateway, error) {
	return GatewaysWith(binary, dir, storeAddress, count, nil)
}

// GatewaysWith is like Gateways with further settings.
func GatewaysWith(binary, dir, storeAddress string, count int, more map[string]any) ([]*Gateway, error) {
	var list []*Gateway
	for range count {
		g := &Gateway{}
		for _, address := range []*string{&g.Front, &g.Ready, &g.Link} {
			a, err := deploy.FreeAddress()
			if err != nil {
				return list, err
			}
			*address = a
		}
		list = append(list, g)
	}
	var seeds []string
	for _, g := range list[:min(3, len(list))] {
		seeds = append(seeds, g.Link)
	}
	for i, g := range list {
		g.settings = map[string]any{
			"role": "gateway", "id": fmt.Sprintf("front-%d", i), "domain": "hall-a",
			"listen": g.Front, "ready": g.Ready, "control": g.Link, "store": storeAddress, "seeds": seeds, "bootstrap": true,
			"link_key": "geraniumpass-platform-link", "grace": fmt.Sprintf("%ds", GraceS),
			"repeat":       map[string]any{"ratio": 0.2, "slack": 94, "window": "10s"},
			"change_bound": fmt.Sprintf("%dms", ConfigApplyMs), "leave_bound": fmt.Sprintf("%dms", DrainMs),
			"shed": "ranked", "cold": map[string]any{"overage": 1.5, "slack": 5},
			"limits": map[string]any{"memory_mb": 284}, "log": map[string]any{"level": "info", "json": true},
		}
		for name, value := range more {
			g.settings[name] = value
		}
		var err error
		if g.Process, err = Start(binary, "gateway", dir, fmt.Sprintf("front-%d", i), g.settings); err != nil {
			return list, err
		}
	}
	for _, g := range list {
		if err := g.awaitReady(); err != nil {
			return list, err
		}
	}
	return list, nil
}

// Restart starts a gateway again that has ended.
func (g *Gateway) Restart(binary, dir string) error {
	var err error
	g.Process, err = Start(binary, "gateway", dir, g.Name, g.settings)
	return err
}

// awaitReady waits until the readiness check of the platform succeeds.
func (g *Gateway) awaitReady() error {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		resp, err := http.Get("http://" + g.Ready + "/geraniumpass/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.Name)
}

// StopAll ends the processes.
func StopAll(list []*Gateway) {
	for _, g := range list {
		if g.Process != nil && g.Running() {
			g.Stop()
		}
	}
}

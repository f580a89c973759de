package start

import (
	"encoding/json"
	"expvar"
	"net/http"

	"geraniumpass/meter"
	"geraniumpass/platform"
	"geraniumpass/view"
)

// countersPath is where gateways, at their ready address, and sidecars, at their listen address, serve
// their counters.
const countersPath = "/debug/vars"

// readyMux serves the readiness endpoint and the debug endpoints.
func (g *gateway) readyMux(counts *meter.Meter) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, g.handleReady)
	mux.Handle(countersPath, expvar.Handler())
	mux.HandleFunc(view.StatusPath, g.serveJSON(func() any { return g.cache.Status() }))
	mux.HandleFunc("/debug/classes", g.serveJSON(func() any { return counts.Rows() }))
	mux.HandleFunc("/debug/ends", g.serveJSON(func() any {
		known, _ := g.crashes.Since(0)
		return known
	}))
	mux.HandleFunc("/debug/limits", g.serveJSON(func() any {
		known, _ := g.quotas.Since(0)
		return known
	}))
	mux.HandleFunc("/debug/leaving", g.serveJSON(func() any {
		known, _ := g.leaving.Since(0)
		return known
	}))
	return mux
}

// serveJSON serves value() as JSON, evaluated on each request.
func (g *gateway) serveJSON(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(value()); err != nil {
			g.log.Warn("failed to write debug response", "path", r.URL.Path, "error", err)
		}
	}
}

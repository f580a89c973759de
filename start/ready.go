package start

import "net/http"

// handleReady answers the platform's readiness check: ready once a routing table is loaded, until
// the process begins to stop.
func (g *gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-g.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if g.cache.Now().Table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

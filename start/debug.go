package start

import (
	"encoding/json"
	"expvar"
	"net/http"

	"geraniumpass/meter"
	"geraniumpass/platform"
)

// readyMux answers whether this entry is ready, and shows what it knows.
func (g *gateway) readyMux(counts *meter.Meter) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, g.answerReady)
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/debug/classes", g.show(func() any { return counts.Rows() }))
	mux.HandleFunc("/debug/ends", g.show(func() any {
		known, _ := g.ends.Since(0)
		return known
	}))
	mux.HandleFunc("/debug/limits", g.show(func() any {
		known, _ := g.quotas.Since(0)
		return known
	}))
	mux.HandleFunc("/debug/leaving", g.show(func() any {
		known, _ := g.leaving.Since(0)
		return known
	}))
	return mux
}

// show answers with what is known at the moment of the question.
func (g *gateway) show(what func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(what()); err != nil {
			g.log.Warn("question not answered", "path", r.URL.Path, "error", err)
		}
	}
}

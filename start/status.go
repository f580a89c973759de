package start

import (
	"expvar"
	"sync/atomic"

	"geraniumpass/view"
)

// served is the cache whose status the metrics tell, nil before a gateway runs in this process.
var served atomic.Pointer[view.Cache]

func init() {
	expvar.Publish("in_force", expvar.Func(inForce))
}

// inForce returns the status of the gateway that runs in this process, nil if none does.
func inForce() any {
	v := served.Load()
	if v == nil {
		return nil
	}
	return v.Status()
}

package start

import (
	"slices"
	"time"

	"geraniumpass/setup"
)

const (
	// restartPeerWait and bootstrapPeerWait are how long a gateway waits at its start for the state of a
	// peer. Peers that run answer at once; when all start together, the seeds first read the state
	// themselves and then send it to every other gateway.
	restartPeerWait   = 250 * time.Millisecond
	bootstrapPeerWait = 4 * time.Second
)

// peerWait returns how long a gateway waits for a peer's state before it reads all of it from the
// store. When all start at once, the seeds read it for the others, which otherwise would make several
// calls each. A seed waits for nobody, unless other processes have been running.
func peerWait(cfg *setup.Gateway) time.Duration {
	switch {
	case len(cfg.Seeds) == 0:
		return 0
	case !cfg.Bootstrap:
		return restartPeerWait
	case slices.Contains(cfg.Seeds, cfg.Control):
		return 0
	}
	return bootstrapPeerWait
}

package agent

import (
	"time"

	"geraniumpass/config"
	"geraniumpass/proto"
)

// configRequestInterval keeps an agent with many links from fetching the same change from each of
// them.
const configRequestInterval = 300 * time.Millisecond

func (a *Agent) allowConfigRequest() bool {
	now := a.clock.Now().UnixNano()
	last := a.lastConfigRequest.Load()
	return now-last > int64(configRequestInterval) && a.lastConfigRequest.CompareAndSwap(last, now)
}

func (a *Agent) applyConfig(c *proto.Config) {
	if err := config.ApplyUpdate(a.config, c); err != nil {
		a.log.Warn("failed to apply configuration", "error", err)
	}
}

package agent

import (
	"time"

	"geraniumpass/config"
	"geraniumpass/proto"
)

// askEvery keeps an agent with many links from fetching the same change from each of them.
const askEvery = 300 * time.Millisecond

func (a *Agent) mayAsk() bool {
	now := a.clock.Now().UnixNano()
	last := a.lastAsk.Load()
	return now-last > int64(askEvery) && a.lastAsk.CompareAndSwap(last, now)
}

func (a *Agent) takeConfig(c *proto.Config) {
	if err := config.ApplyUpdate(a.config, c); err != nil {
		a.log.Warn("configuration not taken", "error", err)
	}
}

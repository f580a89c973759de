package group

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/place"
	"geraniumpass/store"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// Member is a rank's agent with everything it needs to lead its group.
type Member struct {
	Agent   *Agent
	Store   store.Store
	Source  view.Source
	Own     wire.Identity
	Key     []byte
	Clock   clockwork.Clock
	Log     hclog.Logger
	Service string
	// Prefix is the store key prefix of the groups' leaders.
	Prefix string
	// SlowPrefix is the store key prefix of the groups' slow ranks.
	SlowPrefix string
	// Port is the port on which the agents of all ranks listen.
	Port string
	// Budget bounds the copies of one change of the map.
	Budget place.Budget

	// stopping is set once the process stops, leading while this rank leads its group.
	stopping atomic.Bool
	leading  atomic.Bool
	// knownFence is the fence of the newest leader read from the store.
	knownFence int64
}

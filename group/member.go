package group

import (
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/place"
	"geraniumpass/store"
	"geraniumpass/view"
	"geraniumpass/wire"
)

// Member is a rank's agent together with what it needs to lead its group.
type Member struct {
	Agent   *Agent
	Store   store.Store
	Source  view.Source
	Own     wire.Identity
	Key     []byte
	Clock   clockwork.Clock
	Log     hclog.Logger
	Service string
	// Prefix is where the store keeps the leaders of groups.
	Prefix string
	// SlowPrefix is where the store keeps which ranks of groups are slow.
	SlowPrefix string
	// Port is where the agents of all ranks listen.
	Port string
	// Budget is what one change of the map may cost.
	Budget place.Budget

	// met is the newest leader's fence that the store told.
	met int64
}

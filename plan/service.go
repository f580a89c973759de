package plan

import "geraniumpass/core"

// Service is a pool of equivalent upstream instances.
type Service struct {
	Name string
	// MaxConnections limits the connections that one instance accepts from all callers together.
	MaxConnections int
	// Cold describes instances that have just started.
	Cold core.Cold
	// Engine is nil for a plain service.
	Engine *Engine
}

package plan

// Service is a pool of equivalent upstream instances.
type Service struct {
	Name string
	// MaxConnections limits the connections that one instance accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

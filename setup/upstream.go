package setup

// Upstream describes the upstream instance that an agent fronts.
type Upstream struct {
	Service string `json:"service" validate:"required,max=128"`
	Kind    string `json:"kind" validate:"required,oneof=model plain"`
	Address string `json:"address" validate:"required,hostport_ip"`
	// Group and Rank place a model engine in a rank group. An empty group means none.
	Group string `json:"group" validate:"max=128"`
	Rank  int    `json:"rank" validate:"min=0,max=65535"`
	// Ranks is the number of ranks in the group.
	Ranks int `json:"ranks" validate:"min=0,max=65536"`
	// ChecksFence states that the engine rejects orders with a stale fencing token. By default it is
	// assumed not to.
	ChecksFence bool `json:"checks_fence"`
}

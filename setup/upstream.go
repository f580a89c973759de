package setup

// Upstream is what an agent stands before.
type Upstream struct {
	Service string `json:"service" validate:"required,max=128"`
	Kind    string `json:"kind" validate:"required,oneof=model plain"`
	Address string `json:"address" validate:"required,hostport_ip"`
	// Group and Rank place a model engine in a rank group; an empty group means none.
	Group string `json:"group" validate:"max=128"`
	Rank  int    `json:"rank" validate:"min=0,max=65535"`
	// Ranks is the number of ranks in the group.
	Ranks int `json:"ranks" validate:"min=0,max=65536"`
	// ChecksFence tells that the engine refuses orders with an old fencing number; the default is that it does not.
	ChecksFence bool `json:"checks_fence"`
}

package setup

// Entry is the settings of the entry role.
type Entry struct {
	Role   string `json:"role" validate:"required,eq=entry"`
	ID     string `json:"id" validate:"required,max=128"`
	Domain string `json:"domain" validate:"required,max=128"`
	Region string `json:"region" validate:"max=128"`
	// Listen is where callers come, as IP and port.
	Listen string `json:"listen" validate:"required,hostport_ip"`
	// Control is where operators and other entries come, as IP and port.
	Control     string   `json:"control" validate:"required,hostport_ip"`
	Platform    Platform `json:"platform"`
	LinkKey     string   `json:"link_key" validate:"required,min=16"`
	OperatorKey string   `json:"operator_key" validate:"required,min=16"`
	// Seeds are control addresses of entries and agents, asked when the platform is down at start.
	Seeds []string `json:"seeds" validate:"dive,hostport_ip"`
	// MaxLinks bounds the agents that this entry links to.
	MaxLinks int `json:"max_links" validate:"min=0,max=4096"`
	// MaxBody bounds a caller's body in bytes.
	MaxBody int `json:"max_body" validate:"min=0,max=67108864"`
	// DefaultDeadline is a caller's deadline when it states none.
	DefaultDeadline Duration `json:"default_deadline"`
	// ClaimRetention is how long a repeat with the same Idempotency-Key is recognised.
	ClaimRetention Duration `json:"claim_retention"`
	Log            Log      `json:"log"`
}

// Agent is the settings of the agent role.
type Agent struct {
	Role     string   `json:"role" validate:"required,eq=agent"`
	ID       string   `json:"id" validate:"required,max=128"`
	Domain   string   `json:"domain" validate:"required,max=128"`
	Region   string   `json:"region" validate:"max=128"`
	Listen   string   `json:"listen" validate:"required,hostport_ip"`
	LinkKey  string   `json:"link_key" validate:"required,min=16"`
	Upstream Upstream `json:"upstream"`
	Log      Log      `json:"log"`
}

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

// Platform is where the platform's services answer.
type Platform struct {
	KeyValue     string `json:"key_value" validate:"required,hostport_ip"`
	InstanceList string `json:"instance_list" validate:"required,hostport_ip"`
}

// Log is the form of the log.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=trace debug info warn error"`
	JSON  bool   `json:"json"`
}

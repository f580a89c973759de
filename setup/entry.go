package setup

// Entry holds the settings of the entry role.
type Entry struct {
	Role   string `json:"role" validate:"required,eq=entry"`
	ID     string `json:"id" validate:"required,max=128"`
	Domain string `json:"domain" validate:"required,max=128"`
	Region string `json:"region" validate:"max=128"`
	// Listen is the IP address and port for callers.
	Listen string `json:"listen" validate:"required,hostport_ip"`
	// Control is the IP address and port for operators and other entries.
	Control     string   `json:"control" validate:"required,hostport_ip"`
	Platform    Platform `json:"platform"`
	LinkKey     string   `json:"link_key" validate:"required,min=16"`
	OperatorKey string   `json:"operator_key" validate:"required,min=16"`
	// Seeds lists control addresses of entries and agents to query if the platform is unavailable
	// at startup.
	Seeds []string `json:"seeds" validate:"dive,hostport_ip"`
	// MaxLinks limits the number of agents that this entry links to.
	MaxLinks int `json:"max_links" validate:"min=0,max=4096"`
	// MaxBody limits a caller's request body in bytes.
	MaxBody int `json:"max_body" validate:"min=0,max=67108864"`
	// DefaultDeadline applies to requests that state no deadline.
	DefaultDeadline Duration `json:"default_deadline"`
	// ClaimRetention is how long a retry with the same Idempotency-Key is recognised.
	ClaimRetention Duration `json:"claim_retention"`
	Limits         Limits   `json:"limits"`
	Log            Log      `json:"log"`
}

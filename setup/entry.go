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

package setup

// Gateway holds the settings of the gateway role, which serves callers in front of a platform's
// upstreams.
type Gateway struct {
	Role   string `json:"role" validate:"required,eq=gateway"`
	ID     string `json:"id" validate:"required,max=128"`
	Domain string `json:"domain" validate:"required,max=128"`
	// Listen, Ready and Control are the IP addresses and ports for callers, for the platform's
	// readiness checks and for peers.
	Listen  string `json:"listen" validate:"required,hostport_ip"`
	Ready   string `json:"ready" validate:"required,hostport_ip"`
	Control string `json:"control" validate:"required,hostport_ip"`
	// Store is the address of the platform's store.
	Store   string   `json:"store" validate:"required,hostport_ip"`
	Seeds   []string `json:"seeds" validate:"dive,hostport_ip"`
	LinkKey string   `json:"link_key" validate:"required,min=16"`
	// Grace is the time between SIGTERM and the platform killing the process.
	Grace       Duration    `json:"grace"`
	RetryBudget RetryBudget `json:"repeat"`
	// Cold is required if the manifest names services with cold instances.
	Cold   ColdAllowance `json:"cold"`
	Limits Limits        `json:"limits"`
	Log    Log           `json:"log"`
}

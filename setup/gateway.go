package setup

import (
	"time"

	"github.com/samber/lo"
)

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
	// Bootstrap is set when all processes of the system start for the first time.
	Bootstrap bool `json:"bootstrap"`
	// Grace is the time between SIGTERM and the platform killing the process.
	Grace       Duration    `json:"grace"`
	RetryBudget RetryBudget `json:"repeat"`
	// ChangeBound and LeaveBound are the times within which changes of the configuration and departures
	// of instances must be in force in this process, 2 s if zero.
	ChangeBound Duration `json:"change_bound"`
	LeaveBound  Duration `json:"leave_bound"`
	// AgentPort is the port that the agents of all machines listen on. If it is empty or 0, this process
	// subscribes to no group loads.
	AgentPort string `json:"agent_port" validate:"omitempty,port_number"`
	// Shed is which streams are refused when the groups of a service have no room for all, "ranked" if
	// empty.
	Shed string `json:"shed" validate:"omitempty,oneof=off ranked all"`
	// Cold is required if the manifest names services with cold instances.
	Cold   ColdAllowance `json:"cold"`
	Limits Limits        `json:"limits"`
	Log    Log           `json:"log"`
}

// HasAgents reports whether the port of the agents is known.
func (g *Gateway) HasAgents() bool {
	return g.AgentPort != "" && g.AgentPort != "0"
}

// StalenessBound returns the shorter of the two bounds that are set, zero if neither is.
func (g *Gateway) StalenessBound() time.Duration {
	bounds := lo.Filter([]time.Duration{g.ChangeBound.Duration, g.LeaveBound.Duration}, func(d time.Duration, _ int) bool { return d > 0 })
	return lo.Min(bounds)
}

package setup

import "time"

// defaultSidecarGrace is the grace period of a sidecar whose settings have none: longer than a change of the
// map takes.
const defaultSidecarGrace = 4 * time.Second

// Sidecar holds the settings of the sidecar role, which runs next to one rank of a group.
type Sidecar struct {
	Role   string `json:"role" validate:"required,eq=sidecar"`
	ID     string `json:"id" validate:"required,max=128"`
	Domain string `json:"domain" validate:"required,max=128"`
	// Listen is the IP address and port for the group's leader and for entries. The port is the
	// same for every rank.
	Listen string `json:"listen" validate:"required,hostport_ip"`
	// Store is the address of the platform's store, and Upstream that of the local engine.
	Store    string `json:"store" validate:"required,hostport_ip"`
	Upstream string `json:"upstream" validate:"required,hostport_ip"`
	Service  string `json:"service" validate:"required,max=128"`
	LinkKey  string `json:"link_key" validate:"required,min=16"`
	// Grace is the time between SIGTERM and the platform killing the process, 4 s if zero.
	Grace  Duration `json:"grace"`
	Limits Limits   `json:"limits"`
	Log    Log      `json:"log"`
}

// StopTime returns the time between SIGTERM and the platform killing the process.
func (s *Sidecar) StopTime() time.Duration {
	if s.Grace.Duration > 0 {
		return s.Grace.Duration
	}
	return defaultSidecarGrace
}

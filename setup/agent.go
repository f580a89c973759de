package setup

// Agent holds the settings of the agent role.
type Agent struct {
	Role     string   `json:"role" validate:"required,eq=agent"`
	ID       string   `json:"id" validate:"required,max=128"`
	Domain   string   `json:"domain" validate:"required,max=128"`
	Region   string   `json:"region" validate:"max=128"`
	Listen   string   `json:"listen" validate:"required,hostport_ip"`
	LinkKey  string   `json:"link_key" validate:"required,min=16"`
	Upstream Upstream `json:"upstream"`
	Limits   Limits   `json:"limits"`
	Log      Log      `json:"log"`
}

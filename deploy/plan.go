package deploy

import (
	"geraniumpass/core"
	"geraniumpass/oper"
	"geraniumpass/setup"
)

// Plan describes a deployment.
type Plan struct {
	Name    string   `json:"name" validate:"required"`
	Region  string   `json:"region" validate:"required"`
	Domains []string `json:"domains" validate:"min=1,dive,required"`
	// Entries is the number of entry instances, distributed over the domains.
	Entries  int       `json:"entries" validate:"min=1,max=64"`
	Services []Service `json:"services" validate:"min=1,dive"`
	// Keys maps accounts to their bearer keys, which only the stand-in callers use.
	Keys map[string]string `json:"keys"`
	// Configuration is the initial configuration.
	Configuration oper.File `json:"configuration"`
	// MaxLinks limits the number of agents that an entry links to; 0 means the default.
	MaxLinks int `json:"max_links"`
	// LogLevel is the log level of every process.
	LogLevel string `json:"log_level"`
}

// Service is one service of a deployment.
type Service struct {
	Name    string    `json:"name" validate:"required"`
	Kind    core.Kind `json:"kind" validate:"oneof=model plain"`
	Servers int       `json:"servers" validate:"min=1,max=256"`
	// StepTime is the time an engine takes to generate one token.
	StepTime setup.Duration `json:"step_time"`
	// Group makes the engines the ranks of one group with Experts experts and Slots slots per rank.
	// An empty group means none.
	Group       string `json:"group"`
	Experts     int    `json:"experts" validate:"min=0,max=1024"`
	Slots       int    `json:"slots" validate:"min=0,max=1024"`
	ChecksFence bool   `json:"checks_fence"`
}

// Load reads a plan and fails with a *setup.ValidationError if it is invalid.
func Load(file string) (*Plan, error) {
	p := &Plan{}
	if err := setup.Load(file, p); err != nil {
		return nil, err
	}
	return p, nil
}

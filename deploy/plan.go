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
	// Entries is the number of entry instances, spread over the domains.
	Entries  int       `json:"entries" validate:"min=1,max=64"`
	Services []Service `json:"services" validate:"min=1,dive"`
	// Keys gives the bearer key of each account, for the stand-in callers only.
	Keys map[string]string `json:"keys"`
	// Configuration is what the operators apply first.
	Configuration oper.File `json:"configuration"`
	// MaxLinks bounds the agents that an entry links to; 0 means the default.
	MaxLinks int `json:"max_links"`
	// LogLevel is the level of every process's log.
	LogLevel string `json:"log_level"`
}

// Service is one service of a deployment.
type Service struct {
	Name    string    `json:"name" validate:"required"`
	Kind    core.Kind `json:"kind" validate:"oneof=model plain"`
	Servers int       `json:"servers" validate:"min=1,max=256"`
	// StepTime is how long an engine takes for one token.
	StepTime setup.Duration `json:"step_time"`
	// Group makes the engines the ranks of one group, with that many experts and slots a rank.
	Group       string `json:"group"`
	Experts     int    `json:"experts" validate:"min=0,max=1024"`
	Slots       int    `json:"slots" validate:"min=0,max=1024"`
	ChecksFence bool   `json:"checks_fence"`
}

// Load reads a plan.
func Load(file string) (*Plan, error) {
	p := &Plan{}
	if err := setup.Load(file, p); err != nil {
		return nil, err
	}
	return p, nil
}

package config

import "geraniumpass/setup"

// Class is a class of work with a latency target. A request belongs to the first class in the list
// that matches it.
type Class struct {
	Name   string `json:"name" validate:"required,max=64"`
	Match  Match  `json:"match"`
	Target Target `json:"target"`
}

// Match selects requests by service, account and label. An empty list matches everything.
type Match struct {
	Services []string `json:"services,omitempty" validate:"dive,max=128"`
	Accounts []string `json:"accounts,omitempty" validate:"dive,max=128"`
	// Label is compared with the caller's X-Work-Class header. An empty label matches everything.
	Label string `json:"label,omitempty" validate:"max=64"`
}

// Measure is the point in an answer at which a target's latency is measured.
type Measure string

// MeasureFirstToken and MeasureComplete measure up to the first token and up to the complete
// answer.
const (
	MeasureFirstToken Measure = "first_token"
	MeasureComplete   Measure = "whole"
)

// Target requires that Percent of a class's requests reach Measure within Within.
type Target struct {
	Measure Measure        `json:"measure" validate:"required,oneof=first_token whole"`
	Within  setup.Duration `json:"within"`
	Percent float64        `json:"percent" validate:"gt=0,lte=100"`
}

package config

import "geraniumpass/setup"

// Class is a kind of work with a target; the first class of the list that matches a request is its class.
type Class struct {
	Name   string `json:"name" validate:"required,max=64"`
	Match  Match  `json:"match"`
	Target Target `json:"target"`
}

// Match selects requests; an empty list matches everything.
type Match struct {
	Services []string `json:"services,omitempty" validate:"dive,max=128"`
	Accounts []string `json:"accounts,omitempty" validate:"dive,max=128"`
	// Label is compared with the caller's X-Work-Class header; empty matches everything.
	Label string `json:"label,omitempty" validate:"max=64"`
}

// Measure is the moment a target is about.
type Measure string

// MeasureFirstToken and MeasureWhole are the moments that a target can be about.
const (
	MeasureFirstToken Measure = "first_token"
	MeasureWhole      Measure = "whole"
)

// Target says that Percent of the class's requests are answered within Within, counted to Measure.
type Target struct {
	Measure Measure        `json:"measure" validate:"required,oneof=first_token whole"`
	Within  setup.Duration `json:"within"`
	Percent float64        `json:"percent" validate:"gt=0,lte=100"`
}

package core

import "time"

// Kind is the kind of an upstream.
type Kind string

// KindModel is a model engine.
const KindModel Kind = "model"

// KindPlain is a plain service.
const KindPlain Kind = "plain"

// KindEntry is an entry of this system, listed so that its peers find it.
const KindEntry Kind = "entry"

// Instance is a row of the platform's instance list.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Kind    Kind   `json:"kind"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Slots is the number of requests that the instance runs concurrently, zero if unknown.
	Slots int `json:"slots,omitempty"`
	// StartedAt is the start time of the instance's process in Unix milliseconds by its own clock,
	// zero if not reported.
	StartedAt int64 `json:"born,omitempty"`
	// ColdFor is how long the instance was going to stay cold when this row was written.
	ColdFor time.Duration `json:"cold,omitempty"`
	// Rev is the revision of the instance list at which this row was written.
	Rev int64 `json:"rev,omitempty"`
}

// Start identifies one incarnation of an instance, that is, one start of its process. A later
// incarnation under the same ID has no memory of earlier ones.
type Start struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born,omitempty"`
}

// Start identifies the incarnation that this row describes.
func (in Instance) Start() Start {
	return Start{
		ID:        in.ID,
		StartedAt: in.StartedAt,
	}
}

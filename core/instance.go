package core

// Kind tells what an upstream runs.
type Kind string

// KindModel is a model engine.
const KindModel Kind = "model"

// KindPlain is a plain service.
const KindPlain Kind = "plain"

// KindEntry is an entry of this system itself, listed so that peers find it.
const KindEntry Kind = "entry"

// Instance is one row of the platform's instance list.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Kind    Kind   `json:"kind"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Slots is how many requests it runs at once, zero when unknown.
	Slots int `json:"slots,omitempty"`
	// Born is when its process started, in Unix milliseconds by its own clock, zero when it doesn't say.
	Born int64 `json:"born,omitempty"`
	// Rev is the revision of the instance list at which this row was written.
	Rev int64 `json:"rev,omitempty"`
}

// Start identifies one start of an instance: a process that starts again under the same id knows nothing of what came before.
type Start struct {
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"`
}

// Start returns the start of the instance that this row tells of.
func (in Instance) Start() Start {
	return Start{
		ID:   in.ID,
		Born: in.Born,
	}
}

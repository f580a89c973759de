package core

// Pace is the step time of an incarnation as a multiple of the usual step time of its group.
type Pace struct {
	Start Start   `json:"start"`
	Pace  float64 `json:"pace"`
}

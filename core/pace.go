package core

// Pace is how many times its usual time a start of an instance takes for a step of its group.
type Pace struct {
	Start Start   `json:"start"`
	Pace  float64 `json:"pace"`
}

package quota

// Limit is what an instance states of the requests that it takes from all entries together.
type Limit struct {
	// Stated is false for an instance that states no limit.
	Stated bool
	// Rate is in requests a second.
	Rate float64
}

package quota

// Limit is the request rate that an instance accepts from all entries together.
type Limit struct {
	// Advertised reports whether the instance advertises a limit.
	Advertised bool
	// Rate is in requests per second.
	Rate float64
}

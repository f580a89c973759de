package config

// Group is the rebalancing target of a rank group.
type Group struct {
	Name string `json:"name" validate:"required,max=128"`
	// Skew is the accepted excess of the slowest rank over the mean, as a fraction such as 0.15.
	Skew float64 `json:"skew" validate:"gte=0,lte=10"`
	// MovesPerHour limits the expert copies moved per hour.
	MovesPerHour int `json:"moves_per_hour" validate:"gte=0"`
	// HoldInSurge suspends moves during a load surge.
	HoldInSurge bool `json:"hold_in_surge"`
}

package config

// Group is the target of a rank group's rebalancing.
type Group struct {
	Name string `json:"name" validate:"required,max=128"`
	// Skew is the spread between the slowest and the mean rank that is accepted, as a share such as 0.15.
	Skew float64 `json:"skew" validate:"gte=0,lte=10"`
	// MovesPerHour bounds the expert copies moved in an hour.
	MovesPerHour int `json:"moves_per_hour" validate:"gte=0"`
	// HoldInSurge allows no move while a surge lasts.
	HoldInSurge bool `json:"hold_in_surge"`
}

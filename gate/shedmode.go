package gate

// ShedMode is which requests are refused when the groups of a service have no room for all.
type ShedMode string

const (
	// ShedOff refuses none.
	ShedOff ShedMode = "off"
	// ShedRanked refuses requests of lower ranks and what accounts ask for beyond their fair share.
	ShedRanked ShedMode = "ranked"
	// ShedAll refuses requests of all ranks, the lowest first, so that no step lasts longer than the pause
	// that routes allow.
	ShedAll ShedMode = "all"
)

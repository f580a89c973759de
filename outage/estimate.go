package outage

import "time"

// Basis is what an estimate is based on.
type Basis uint8

const (
	// BasisUnknown means that there is no estimate.
	BasisUnknown Basis = iota
	// BasisMissing means that ranks are missing: nobody can tell when they are back, and the estimate
	// is that of earlier outages.
	BasisMissing
	// BasisBack means that no rank is missing any more, and that no forming time was seen yet: the group
	// opens soon, and nobody can tell when.
	BasisBack
	// BasisForming means that no rank is missing any more, so that the group opens after its usual
	// forming time.
	BasisForming
	numBases
)

// String returns the basis as shown in logs and counters.
func (b Basis) String() string {
	switch b {
	case BasisUnknown:
		return "unknown"
	case BasisMissing:
		return "missing"
	case BasisBack:
		return "back"
	case BasisForming:
		return "forming"
	case numBases:
	}
	return "invalid"
}

// IsValid reports whether b is one of the defined bases.
func (b Basis) IsValid() bool {
	return b < numBases
}

// Estimate is when a closed group is likely to open. The zero value means that nothing is known.
type Estimate struct {
	Basis Basis
	// Missing is the number of ranks that are not heard.
	Missing int
	// OpensIn is the expected time until the group opens, zero if Basis is BasisUnknown or BasisBack.
	OpensIn time.Duration
}

// After returns the estimate as it is some time later.
func (e Estimate) After(age time.Duration) Estimate {
	e.OpensIn = max(0, e.OpensIn-age)
	return e
}

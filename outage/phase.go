package outage

import "time"

// Phase is the phase of a group as shown in logs.
type Phase string

const (
	// PhaseOpen means that the group accepts requests.
	PhaseOpen Phase = "open"
	// PhaseClosed means that the group is closed for a reason not known yet.
	PhaseClosed Phase = "closed"
	// PhaseMissing means that the group is closed because ranks are missing.
	PhaseMissing Phase = "missing"
	// PhaseForming means that the group is closed although no rank is missing any more.
	PhaseForming Phase = "forming"
)

// Outage is the course of an outage that has ended.
type Outage struct {
	// Closed is how long the group was observed closed.
	Closed time.Duration
	// Missing is how long ranks were missing, and Forming how long the group then took to open; both
	// are zero if that was not observed.
	Missing time.Duration
	Forming time.Duration
	// ExpectedForming is the forming time expected when it began, zero if none was.
	ExpectedForming time.Duration
}

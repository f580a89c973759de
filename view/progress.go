package view

import "time"

// maxNotices bounds the numbers of one progress whose first notice is remembered.
const maxNotices = 64

// Origin is how this process learned of a version or a revision.
type Origin struct {
	// Via is "load", "watch" or "write" for the store, "peer" for a peer, and empty as long as nothing is known.
	Via string `json:"via"`
	// Peer is the id of that peer.
	Peer string `json:"peer,omitempty"`
}

// The ways in which a process learns of changes.
const (
	ViaLoad  = "load"
	ViaWatch = "watch"
	ViaWrite = "write"
	ViaPeer  = "peer"
)

// progress is how far a number that only increases is known and in force.
type progress struct {
	inForce     int64
	inForceAt   time.Time
	inForceFrom Origin
	known       int64
	knownFrom   Origin
	// waiting are the known numbers that aren't in force, in ascending order.
	waiting []notice
}

// notice is when a number was first known.
type notice struct {
	number int64
	at     time.Time
}

// notice records that a number exists, as was known from at on.
func (p *progress) notice(number int64, at time.Time, from Origin) {
	if number <= p.known {
		return
	}
	p.known, p.knownFrom = number, from
	if len(p.waiting) == maxNotices {
		// The earlier time overstates the delay, which is the safe side.
		p.waiting[maxNotices-1].number = number
		return
	}
	p.waiting = append(p.waiting, notice{
		number: number,
		at:     at,
	})
}

// advance records that a number is in force and returns how long each that was waiting for it has been
// known.
func (p *progress) advance(number int64, now time.Time, from Origin) []time.Duration {
	if number <= p.inForce {
		return nil
	}
	p.notice(number, now, from)
	p.inForce, p.inForceAt, p.inForceFrom = number, now, from
	var delays []time.Duration
	for len(p.waiting) > 0 && p.waiting[0].number <= number {
		delays = append(delays, max(0, now.Sub(p.waiting[0].at)))
		p.waiting = p.waiting[1:]
	}
	return delays
}

// status returns the progress as it is reported.
func (p *progress) status(now time.Time) InForce {
	s := InForce{
		Number:    p.inForce,
		At:        p.inForceAt,
		From:      p.inForceFrom,
		Known:     p.known,
		KnownFrom: p.knownFrom,
		Backlog:   p.known - p.inForce,
	}
	if p.inForce > 0 {
		s.AgeMs = now.Sub(p.inForceAt).Milliseconds()
	}
	if len(p.waiting) > 0 {
		s.BacklogMs = now.Sub(p.waiting[0].at).Milliseconds()
	}
	return s
}

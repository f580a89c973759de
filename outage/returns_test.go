package outage

import (
	"math"
	"testing"
	"time"
)

// TestDueEndWithTheirOutage guards against requests of earlier outages that still count as due, so that callers
// wait or come back seconds after a group has opened although few come with them.
func TestDueEndWithTheirOutage(t *testing.T) {
	room := Room{Ranks: 1, Step: 64 * time.Millisecond}
	e := Estimate{Basis: BasisForming}
	var r Returns
	now := time.Unix(1_000, 0)
	for range 100 {
		r.Add(now, e, room, 1)
	}
	now = now.Add(time.Minute)
	if got := r.Add(now, e, room, 1); got != room.Step {
		t.Errorf("the first request of the next outage is spread over %s, want %s", got, room.Step)
	}
}

// TestSpreadDoesNotOverflow guards against a turn before the present because of a nonsensical estimate.
func TestSpreadDoesNotOverflow(t *testing.T) {
	var r Returns
	now := time.Unix(1_000, 0)
	e := Estimate{Basis: BasisForming, OpensIn: math.MaxInt64 / 4}
	for range 1000 {
		r.Add(now, e, Room{}, 99)
	}
	if got := r.Add(now, e, Room{Ranks: 1, Step: time.Second}, 99); got != maxSpread {
		t.Errorf("the returns are spread over %s, want %s", got, maxSpread)
	}
}

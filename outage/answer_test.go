package outage

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestDecide guards against callers that come back before the group opens and are refused for good, against
// requests that wait where nobody knows when the group opens, and against callers that are asked to come
// back although they can't be served. Callers have eight seconds, honor a third of what is left, and wait a
// second and a half for the first event.
func TestDecide(t *testing.T) {
	ms := time.Millisecond
	fresh := Caller{Remaining: 8 * time.Second, FirstEvent: 1500 * ms, Aim: 400 * ms}
	returned := Caller{Remaining: 5 * time.Second, FirstEvent: 1500 * ms, Aim: 400 * ms, HasReturned: true}
	tests := []struct {
		name  string
		e     Estimate
		later time.Duration
		c     Caller
		want  Answer
	}{
		{"nothing known", Estimate{}, 0, fresh, Answer{}},
		{"nothing known, returned", Estimate{}, 0, returned, Answer{}},
		{"ranks back", Estimate{Basis: BasisBack}, 0, fresh, Answer{}},
		{"ranks back, returned", Estimate{Basis: BasisBack}, 0, returned, Answer{Wait: time.Second}},
		{"forming", Estimate{Basis: BasisForming, OpensIn: 400 * ms}, 100 * ms, fresh, Answer{RetryAfter: 650 * ms}},
		{"forming, returned", Estimate{Basis: BasisForming, OpensIn: 400 * ms}, 100 * ms, returned, Answer{Wait: time.Second, RetryAfter: 650 * ms}},
		{"forming for long, returned", Estimate{Basis: BasisForming, OpensIn: 1200 * ms}, 0, returned, Answer{RetryAfter: 1350 * ms}},
		{"forming, returned, hardly any time left", Estimate{Basis: BasisForming, OpensIn: 400 * ms}, 0, Caller{Remaining: 700 * ms, Aim: 400 * ms, HasReturned: true}, Answer{RetryAfter: 700 * ms, Hopeless: true}},
		{"forming, returned, in time only if it waits", Estimate{Basis: BasisForming, OpensIn: 400 * ms}, 0, Caller{Remaining: 900 * ms, Aim: 400 * ms, HasReturned: true}, Answer{Wait: 500 * ms, RetryAfter: 297 * ms}},
		{"forming, returned, due, no time to wait", Estimate{Basis: BasisForming}, 0, Caller{Remaining: 100 * ms, Aim: 400 * ms, HasReturned: true}, Answer{RetryAfter: 150 * ms, Hopeless: true}},
		{"missing, hardly any time left", Estimate{Basis: BasisMissing, OpensIn: 400 * ms}, 0, Caller{Remaining: 20 * ms}, Answer{RetryAfter: 50 * ms}},
		{"missing, no time left", Estimate{Basis: BasisMissing, OpensIn: 400 * ms}, 0, Caller{Remaining: -20 * ms}, Answer{RetryAfter: 50 * ms}},
		{"missing, beyond what callers honor", Estimate{Basis: BasisMissing, OpensIn: 6 * time.Second}, 0, fresh, Answer{RetryAfter: 2640 * ms}},
		{"missing, returned", Estimate{Basis: BasisMissing, OpensIn: 100 * ms}, 0, returned, Answer{RetryAfter: 1650 * ms}},
		{"missing, much time", Estimate{Basis: BasisMissing, OpensIn: 6 * time.Second}, 0, Caller{Remaining: time.Minute}, Answer{RetryAfter: 9 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Decide(tt.e, tt.later, tt.c); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestReturnsAreSpread guards against a group that opens and gets all that were refused in one moment, at
// any number of entries. The load is 300 requests a second during a forming time of 0.6 s, and a group of 32
// ranks with steps of 64 ms.
func TestReturnsAreSpread(t *testing.T) {
	room := Room{Ranks: 32, Step: 64 * time.Millisecond}
	const before, requests = 600, 180
	const interval = time.Second / 300
	for _, entries := range []int{9, 99} {
		random := rand.New(rand.NewPCG(7, uint64(entries)))
		returns := make([]Returns, entries)
		now := time.Unix(1_000, 0)
		for range before {
			now = now.Add(interval)
			returns[random.IntN(entries)].Add(now, Estimate{Basis: BasisMissing}, Room{}, entries)
		}
		perStep := make(map[int]int)
		for i := range requests {
			e := Estimate{Basis: BasisForming, OpensIn: interval * time.Duration(requests-i)}
			now = now.Add(interval)
			spread := returns[random.IntN(entries)].Add(now, e, room, entries)
			turn := time.Duration(random.Float64() * float64(spread))
			perStep[int(turn/room.Step)]++
		}
		for step, n := range perStep {
			if n > 2*room.Ranks {
				t.Errorf("%d entries: %d requests in step %d, more than two for each of %d ranks", entries, n, step, room.Ranks)
			}
		}
	}
}

package admit

import (
	"fmt"
	"testing"
	"time"
)

// evenStep is a step of the published terms with a prompt read in each, times an unevenness.
func evenStep(unevenness float64) func(n float64) float64 {
	return func(n float64) float64 {
		return 7*(4.84+0.435*unevenness*n) + 10.7 + 0.7*n
	}
}

// Load: three times what 64 ranks finish, after half of it, with returns of the refused, for 9 to 432 entries at 0.6 to
// 100 requests a second each. Callers need steps within the pause; an entry that acted alone would
// leave room unused or overfill the groups, so the groups hold nine tenths of their room on average
// and never more than a tenth over it once the statuses have told of the demand.
func TestRoomIsUsedAndNotExceeded(t *testing.T) {
	for _, entries := range []int{9, 41, 99, 432} {
		for _, unevenness := range []float64{1, 2.5} {
			t.Run(fmt.Sprintf("%d entries, unevenness %v", entries, unevenness), func(t *testing.T) {
				f := newFleet(entries,
					&streams{ranks: 32, stepMs: evenStep(unevenness), events: 23},
					&streams{ranks: 32, stepMs: evenStep(unevenness), events: 23},
				)
				terms := newEngineTerms(f.engine, f.engine.Answer)
				limit := 64 * terms.runnable(unevenness, testGap)
				if unevenness == 1 {
					wait := testAim - queueSteps*terms.step(1, 10)
					limit *= 1 + wait.Seconds()/terms.life(terms.step(1, 10)).Seconds()
				}
				capacity := limit / (23 * evenStep(unevenness)(limit/64) / 1000)
				f.run(5*time.Second, capacity/2, func() {})
				most, mostAt, sum, n := 0, time.Duration(0), 0, 0
				first := f.now
				f.run(20*time.Second, 3*capacity, func() {
					if f.held() > most {
						most = f.held()
						mostAt = f.now.Sub(first)
					}
					if f.now.Sub(first) > 2*time.Second {
						sum += f.held()
						n++
					}
				})
				mean := float64(sum) / float64(n)
				t.Logf("room %.0f: mean %.3f, most %.3f of it at %v", limit, mean/limit, float64(most)/limit, mostAt)
				if mean < 0.9*limit || float64(most) > 1.1*limit {
					t.Errorf("held %.0f on average and %d at most, room is %.0f", mean, most, limit)
				}
			})
		}
	}
}

// Load: a calm day at 375 requests a second, six running on each rank, with steps that last longer
// than the pause for half a second of every 2.4 s, when the experts in demand have changed. A bound
// that reacts to them would refuse requests that 64 ranks serve in time.
func TestNothingIsRefusedInCalm(t *testing.T) {
	for _, entries := range []int{9, 99} {
		f := newFleet(entries)
		turned := func(n float64) float64 {
			ms := evenStep(1)(n)
			if f.ticks%240 < 50 {
				return ms * 1.9
			}
			return ms
		}
		f.groups = []*streams{
			{ranks: 32, stepMs: turned, events: 15},
			{ranks: 32, stepMs: turned, events: 15},
		}
		for _, g := range f.groups {
			g.advance(f.random)
		}
		longest := time.Duration(0)
		f.run(30*time.Second, 320, func() { longest = max(longest, f.groups[0].step) })
		t.Logf("%d entries: %d refused of %d, longest step %v, %d held", entries, f.refused, f.offered,
			longest, f.held())
		if f.refused > 0 || longest < 105*time.Millisecond {
			t.Errorf("%d entries refused %d of %d", entries, f.refused, f.offered)
		}
	}
}

// Load: 300 requests a second, which 64 ranks serve in time, and a group that stalls for four seconds
// while entries keep sending to it. Its steps last 142 ms with ten on each rank, where callers accept
// 120: with the part off they still do long after the stall; with it on, they are within the pause
// two seconds after its end, as they are from then on.
func TestOverloadEndsWithItsCause(t *testing.T) {
	step := func(n float64) float64 { return 21.7 + 1.2*n*n }
	for _, entries := range []int{9, 99} {
		for _, off := range []bool{true, false} {
			f := newFleet(entries,
				&streams{ranks: 32, stepMs: step, events: 16},
				&streams{ranks: 32, stepMs: step, events: 16},
			)
			f.off = off
			f.run(5*time.Second, 300, func() {})
			f.groups[0].stalled = true
			f.run(4*time.Second, 300, func() {})
			f.groups[0].stalled = false
			f.run(2*time.Second, 300, func() {})
			longest := time.Duration(0)
			refused := f.refused
			f.run(10*time.Second, 300, func() {
				longest = max(longest, f.groups[0].step, f.groups[1].step)
			})
			t.Logf("%d entries, off %v: longest step %v, refused %d in all, %d after, %d held", entries, off,
				longest, f.refused, f.refused-refused, f.held())
			if late := longest > testGap; late != off {
				t.Errorf("%d entries, off %v: steps last up to %v from two seconds after the stall", entries, off,
					longest)
			}
		}
	}
}

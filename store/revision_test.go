package store

import "testing"

// TestRevisionsAreOrderedByEra guards against taking a state from before the store was restored for the
// newer one because its number is higher, and against a number that is lost in the encoding.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	const most = 1<<eraShift - 1
	last := int64(-1)
	for _, r := range []struct {
		era    int64
		number int64
	}{{0, 0}, {0, 55}, {0, most}, {1, 0}, {1, 1}, {1, most}, {2, 3}, {1 << 20, 7}} {
		rev := Revision(r.era, r.number)
		if rev <= last || EraOf(rev) != r.era || NumberOf(rev) != r.number {
			t.Errorf("revision %d of era %d became %d, %d of era %d; the one before it is %d", r.number, r.era, rev, NumberOf(rev), EraOf(rev), last)
		}
		last = rev
	}
}

// TestFencesLeaveRoomForMapVersions guards against map versions of a leader that overflow or that an
// engine reading numbers as floating point can't tell apart, after many restorations.
func TestFencesLeaveRoomForMapVersions(t *testing.T) {
	const (
		// versions is how many map versions each fence reserves on the platform.
		versions = 100_000
		safe     = 1 << 53
	)
	for _, era := range []int64{1, 2, 100, 300} {
		if v := FenceBase(era+1) * versions; v >= safe || FenceBase(era+1) <= FenceBase(era)+1<<27 {
			t.Errorf("era %d: versions up to %d, want below %d; bases %d and %d", era, v, int64(safe), FenceBase(era), FenceBase(era+1))
		}
	}
}

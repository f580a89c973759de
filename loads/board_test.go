package loads

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

func startNamed(id string) core.Start {
	return core.Start{
		ID:        id,
		StartedAt: 1,
	}
}

// statusOf returns the status of a group with one rank.
func statusOf(group, id string, running int) Group {
	return Group{
		Name: group,
		Open: true,
		Ranks: []Rank{
			{
				Start:   startNamed(id),
				Running: running,
				Pace:    normalPace,
			},
		},
	}
}

// TestMembership guards against the load of another rank, or of a group that nothing is heard of any
// more, being taken for that of an instance.
func TestMembership(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBoard(clock)
	b.Update(statusOf("silent", "a", 1))
	clock.Advance(maxAge)
	b.Update(statusOf("g", "b", 2))
	b.Update(statusOf("g", "c", 3))
	m := b.Membership([]core.Start{startNamed("a"), startNamed("b"), startNamed("c"), startNamed("d")})
	want := []Member{
		{Group: unknown, Rank: unknown},
		{Group: 0, Rank: unknown},
		{Group: 0, Rank: 0},
		{Group: unknown, Rank: unknown},
	}
	for i := range want {
		if m.Members[i] != want[i] {
			t.Errorf("incarnation %d: got %+v, want %+v", i, m.Members[i], want[i])
		}
	}
	if len(m.Groups) != 1 || m.Groups[0].Running() != 3 {
		t.Errorf("got groups %+v", m.Groups)
	}
}

// TestNewestRanksAreKept guards against loads that jump back and forth between two agents of a group, one
// of which hears its leader late: entries would fill ranks by loads that have long changed.
func TestNewestRanksAreKept(t *testing.T) {
	const late = 900 * time.Millisecond
	tests := []struct {
		name    string
		epoch   int64
		age     time.Duration
		elapsed time.Duration
		running int
		wantAge time.Duration
	}{
		{name: "older ranks", epoch: 4, age: late, elapsed: 100 * time.Millisecond, running: 9, wantAge: 100 * time.Millisecond},
		{name: "newer ranks", epoch: 4, age: 50 * time.Millisecond, elapsed: 100 * time.Millisecond, running: 2, wantAge: 50 * time.Millisecond},
		{name: "ranks of a later epoch", epoch: 5, age: late, elapsed: 100 * time.Millisecond, running: 2, wantAge: late},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := NewBoard(clock)
			first := statusOf("g", "a", 9)
			first.Epoch = 4
			b.Update(first)
			clock.Advance(tt.elapsed)
			next := statusOf("g", "a", 2)
			next.Epoch = tt.epoch
			next.RanksAge = tt.age
			next.StalledFor = time.Second
			b.Update(next)
			got := b.Recent()["g"]
			if got.Running() != tt.running || got.RanksAge != tt.wantAge {
				t.Errorf("got %d running as of %v ago, want %d as of %v", got.Running(), got.RanksAge, tt.running, tt.wantAge)
			}
			if got.StalledFor != time.Second {
				t.Errorf("stalled for %v by the newest status", got.StalledFor)
			}
		})
	}
}

// TestAgeOfRanksDoesNotOverflow guards against loads that count as newer than all others because their age
// is the longest that a message may hold.
func TestAgeOfRanksDoesNotOverflow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBoard(clock)
	g := statusOf("g", "a", 1)
	m := Encode(&g, 1, true)
	m.RanksAgeMs = maxMilliseconds
	var d Decoder
	decoded, err := d.Decode(m)
	if err != nil {
		t.Fatal(err)
	}
	b.Update(decoded)
	clock.Advance(maxAge / 2)
	decoded.Ranks = nil
	b.Update(decoded)
	clock.Advance(maxAge / 2)
	if s := b.Recent()["g"]; s.Age+s.RanksAge < s.RanksAge || s.RanksAge < maxAge {
		t.Errorf("the age of the ranks is %v and that of the status %v", s.RanksAge, s.Age)
	}
}

// TestRestartedInstanceKeepsItsGroup guards against an entry that sends requests to a closed group because its
// instances have restarted, and are listed with their starts of before.
func TestRestartedInstanceKeepsItsGroup(t *testing.T) {
	b := NewBoard(clockwork.NewFakeClock())
	listed, restarted := core.Start{ID: "i-0", StartedAt: 100}, core.Start{ID: "i-0", StartedAt: 200}
	b.Update(Group{Name: "g", Ranks: []Rank{{Start: restarted}}})
	known := b.Membership([]core.Start{listed, {ID: "i-1"}})
	if m := known.Members[0]; m.Group < 0 || known.Groups[m.Group].Name != "g" || m.Rank >= 0 {
		t.Errorf("the restarted instance is %+v, want a member of g without a rank", m)
	}
	if got := b.GroupOf(listed); got != "g" {
		t.Errorf("a request that left g may return to the restarted instance, whose group is %q", got)
	}
	if m := known.Members[1]; m.Group >= 0 {
		t.Errorf("an instance that no status names is %+v, want none", m)
	}
	b.Sweep(func(core.Start) bool { return false })
	if m := b.Membership([]core.Start{listed}).Members[0]; m.Group >= 0 {
		t.Errorf("after a sweep the instance is %+v, want none", m)
	}
}

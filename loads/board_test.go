package loads

import (
	"testing"

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

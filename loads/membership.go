package loads

import (
	"time"

	"geraniumpass/core"
)

// unknown is the index of a group or rank that is not known.
const unknown = -1

// Membership is what a Board knows of the groups of some incarnations.
type Membership struct {
	// Groups holds the recent status of each group of the incarnations. The ranks are shared and must
	// not be changed.
	Groups []Status
	// Members holds the places of the incarnations, in their order.
	Members []Member
}

// Member is the place of an incarnation in its group.
type Member struct {
	// Group is the index of its group in Membership.Groups, negative if nothing recent is known of it.
	Group int
	// Rank is its rank, negative if the group's status names no rank of this incarnation.
	Rank int
}

// Membership returns what is known of the groups of the incarnations at one moment.
func (b *Board) Membership(starts []core.Start) Membership {
	out := Membership{
		Members: make([]Member, len(starts)),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	indexOf := make(map[string]int, len(b.byName))
	for i, start := range starts {
		at := b.placeOfAny(start)
		index, ok := indexOf[at.group]
		if !ok {
			index = out.add(b.byName[at.group], now)
			indexOf[at.group] = index
		}
		out.Members[i] = out.member(index, at.rank, start)
	}
	return out
}

// add adds the status of a group if there is a recent one, and returns its index.
func (m *Membership) add(p *posted, now time.Time) int {
	if p == nil {
		return unknown
	}
	s, ok := p.status(now)
	if !ok {
		return unknown
	}
	m.Groups = append(m.Groups, s)
	return len(m.Groups) - 1
}

func (m *Membership) member(group, rank int, start core.Start) Member {
	out := Member{
		Group: group,
		Rank:  unknown,
	}
	if group < 0 {
		return out
	}
	if ranks := m.Groups[group].Ranks; rank < len(ranks) && ranks[rank].Start == start {
		out.Rank = rank
	}
	return out
}

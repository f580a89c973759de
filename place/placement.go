package place

import (
	"slices"

	"geraniumpass/proto"
)

// Placement lists the ranks that hold a copy of each expert; an expert's tokens are spread evenly
// over its copies.
type Placement struct {
	Ranks   int     `cbor:"1,keyasint"`
	Slots   int     `cbor:"2,keyasint"`
	Experts [][]int `cbor:"3,keyasint"`
}

// Encode returns the placement as CBOR, as sent in orders.
func (p *Placement) Encode() ([]byte, error) {
	return proto.Marshal(p)
}

// Decode parses an encoded placement.
func Decode(b []byte) (*Placement, error) {
	p := &Placement{}
	return p, proto.Unmarshal(b, p)
}

// Clone returns a deep copy.
func (p *Placement) Clone() *Placement {
	c := &Placement{
		Ranks:   p.Ranks,
		Slots:   p.Slots,
		Experts: make([][]int, len(p.Experts)),
	}
	for e, holders := range p.Experts {
		c.Experts[e] = slices.Clone(holders)
	}
	return c
}

// Loads returns the load of each rank for the given loads of the experts.
func (p *Placement) Loads(load []float64) []float64 {
	out := make([]float64, p.Ranks)
	for e, holders := range p.Experts {
		for _, r := range holders {
			out[r] += load[e] / float64(len(holders))
		}
	}
	return out
}

// Skew returns the excess of the most loaded rank over the mean, as a share of the mean.
func (p *Placement) Skew(load []float64) float64 {
	loads := p.Loads(load)
	sum := sumOf(loads)
	if sum <= 0 {
		return 0
	}
	return slices.Max(loads)*float64(p.Ranks)/sum - 1
}

// Spread returns the difference between the most and the least loaded rank, as a share of the mean.
func (p *Placement) Spread(load []float64) float64 {
	loads := p.Loads(load)
	sum := sumOf(loads)
	if sum <= 0 {
		return 0
	}
	return (slices.Max(loads) - slices.Min(loads)) * float64(p.Ranks) / sum
}

// Copies returns how many expert copies a rank must load to switch from p to next. A rank of -1, or
// any negative one, counts the copies of all ranks.
func (p *Placement) Copies(next *Placement, rank int) int {
	n := 0
	for e, holders := range next.Experts {
		for _, r := range holders {
			if (rank < 0 || r == rank) && !slices.Contains(p.Experts[e], r) {
				n++
			}
		}
	}
	return n
}

// Valid reports whether every expert has a copy, no rank holds an expert twice, and none exceeds
// its slots.
func (p *Placement) Valid() bool {
	held := make([]int, p.Ranks)
	for _, holders := range p.Experts {
		if len(holders) == 0 {
			return false
		}
		for i, r := range holders {
			if r < 0 || r >= p.Ranks || slices.Contains(holders[:i], r) {
				return false
			}
			held[r]++
		}
	}
	return slices.Max(held) <= p.Slots
}

// Even returns the placement that gives all experts the same number of copies, as far as the slots
// allow.
func Even(experts, ranks, slots int) *Placement {
	flat := make([]float64, experts)
	for i := range flat {
		flat[i] = 1
	}
	return Rebuild(flat, ranks, slots)
}

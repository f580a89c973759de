package group

import (
	"geraniumpass/place"
	"geraniumpass/proto"
)

// maxExactCountBytes is up to how many bytes all ranks of a group together send exact counts: 64 ms
// of a leader's link of 8 Mbit/s. Beyond that the counts are packed, which costs precision:
// rounding looks like a change of popularity.
const maxExactCountBytes = 64_000

// packCounts moves the counts tallied since the last call into a frame. The caller holds mu.
func (a *Agent) packCounts(f *proto.GroupRank) {
	chosen, unit := a.tally.Take()
	if f.Size*len(chosen) <= maxExactCountBytes {
		f.ExpertCounts, f.CountUnit = chosen, unit
		return
	}
	if a.packer == nil || a.packerRank != f.Rank {
		a.packer, a.packerRank = place.NewPacker(f.Rank), f.Rank
	}
	f.ExpertCounts, f.CountUnit = a.packer.Pack(chosen, unit)
	f.Experts = len(chosen)
}

// unpackCounts returns a rank's counts, or nil if it sent none.
func unpackCounts(r *proto.GroupRank) []byte {
	if r.Experts == 0 {
		return r.ExpertCounts
	}
	return place.Unpack(r.ExpertCounts, r.Experts)
}

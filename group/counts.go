package group

import (
	"geraniumpass/place"
	"geraniumpass/proto"
)

// wholeCounts is up to how many bytes all ranks of a group together tell their counts exactly, 64 ms of a leader's link of 8 Mbit/s. Beyond it
// they are packed, which costs precision: what is rounded looks like a change of popularity.
const wholeCounts = 64_000

// pack puts what was counted since the last time into a frame; the caller holds mu.
func (a *Agent) pack(f *proto.GroupRank) {
	chosen, unit := a.tally.Take()
	if f.Size*len(chosen) <= wholeCounts {
		f.Chosen, f.Unit = chosen, unit
		return
	}
	if a.packer == nil || a.packed != f.Rank {
		a.packer, a.packed = place.NewPacker(f.Rank), f.Rank
	}
	f.Chosen, f.Unit = a.packer.Pack(chosen, unit)
	f.Experts = len(chosen)
}

// chosenOf returns a rank's counts, nil where it told none.
func chosenOf(r *proto.GroupRank) []byte {
	if r.Experts == 0 {
		return r.Chosen
	}
	return place.Unpack(r.Chosen, r.Experts)
}

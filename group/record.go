package group

import (
	"geraniumpass/nest"
	"geraniumpass/store"
)

// noFence is a fence that no leader has: when fences were revisions, no leader's was the first.
const noFence = 1

// leaderRecord is the value of the key that holds the leader of a group. Older builds write the
// leader's name alone, with the revision of the key as its fence.
type leaderRecord struct {
	Leader string `json:"leader"`
	Fence  int64  `json:"fence"`
}

// maxFence bounds the fences of records. Above it, the versions of the maps of later leaders would exceed the whole numbers
// that a float64 holds, and a higher one is an odd entry of another writer.
const maxFence = 90_000_000_000

// parseRecord returns the record in a value. ok is false if there is none that a leader of this build wrote.
func parseRecord(v store.Value) (r leaderRecord, ok bool) {
	err := nest.Unmarshal(v.Data, &r)
	return r, err == nil && r.Fence < maxFence
}

// leaderFence returns the fence of the leader that a value names, zero if there is none.
func leaderFence(v store.Value) int64 {
	if r, ok := parseRecord(v); ok {
		return r.Fence
	}
	return store.NumberOf(v.Modified)
}

// nextFence returns the fence of the leader that replaces the one in a value. It is above the fences of
// all leaders before, also of those whose records were lost when the store was restored, because the
// era comes first. The revision is above all fences of its era, whoever wrote it.
func nextFence(v store.Value) int64 {
	base := store.FenceBase(v.Era)
	last := base + store.NumberOf(v.Modified)
	if r, ok := parseRecord(v); ok {
		last = r.Fence
	}
	return max(last, base+noFence) + 1
}

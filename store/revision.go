package store

// eraShift is the number of bits of a Revision below its era. At a thousand writes a second they last
// for decades.
const eraShift = 40

// Revision returns a number that orders the states of a store that may be restored from a copy, where
// it gives out the numbers of its revisions again: by era, then by number. An era is the time between
// two restorations.
func Revision(era, number int64) int64 {
	return era<<eraShift | number
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 {
	return revision >> eraShift
}

// NumberOf returns the number that the store gave a revision in its era.
func NumberOf(revision int64) int64 {
	return revision & (1<<eraShift - 1)
}

// fenceEraShift is the number of bits of a fencing token below its era. They suffice for an election a
// second for years, and leave room for the map versions of each fence.
const fenceEraShift = 28

// FenceBase returns a number below all fencing tokens of an era and above those of earlier eras.
func FenceBase(era int64) int64 {
	return era << fenceEraShift
}

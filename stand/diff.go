package stand

import "geraniumpass/place"

// placementDiff returns the number of experts that a rank must load to change from one encoded
// placement to another, or 0 if either cannot be decoded.
func placementDiff(from, to []byte, rank int) int {
	a, errA := place.Decode(from)
	b, errB := place.Decode(to)
	if errA != nil || errB != nil {
		return 0
	}
	return a.Copies(b, rank)
}

package stand

import "geraniumpass/place"

// placementDiff counts the experts that a rank must load to go from one encoded placement to another.
func placementDiff(from, to []byte, rank int) int {
	a, errA := place.Decode(from)
	b, errB := place.Decode(to)
	if errA != nil || errB != nil {
		return 0
	}
	return a.Copies(b, rank)
}

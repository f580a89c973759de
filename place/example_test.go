package place_test

import (
	"fmt"

	"geraniumpass/place"
)

func ExampleImprove() {
	load := []float64{10, 10, 10, 90}
	now := place.Even(4, 2, 3)
	next, copies := place.Improve(now, load, 0.1, 4)
	fmt.Printf("skew %.2f to %.2f by %d copies\n", now.Skew(load), next.Skew(load), copies)
	// Output: skew 0.67 to 0.00 by 1 copies
}

package meter

import (
	"strconv"
	"time"
)

// Bucket returns the name of the bucket that counts a duration: the first of the ascending bounds that
// isn't below it, in milliseconds, or "more".
func Bucket(bounds []time.Duration, d time.Duration) string {
	for _, bound := range bounds {
		if d <= bound {
			return strconv.FormatInt(bound.Milliseconds(), 10)
		}
	}
	return "more"
}

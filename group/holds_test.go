package group

import (
	"testing"
	"time"
)

// TestHoldTimesAreCountedInTheirBucket guards against a distribution that shows holds as shorter than
// they were, so that nobody sees for how long a machine that stops can stand its group still.
func TestHoldTimesAreCountedInTheirBucket(t *testing.T) {
	tests := []struct {
		held time.Duration
		want string
	}{
		{0, "10"},
		{10 * time.Millisecond, "10"},
		{10*time.Millisecond + 1, "20"},
		{51 * time.Millisecond, "70"},
		{holdTimeout, "400"},
		{holdTimeout + 1, "more"},
	}
	for _, tt := range tests {
		if got := holdTimeBucket(tt.held); got != tt.want {
			t.Errorf("%v is counted in bucket %s, want %s", tt.held, got, tt.want)
		}
	}
}

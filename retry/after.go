package retry

import (
	"math/rand/v2"
	"time"
)

const minDelay = time.Second

// After returns a jittered delay for a rejected caller. The delay is between one and two times the
// drain time of the backlog or minDelay, whichever is longer, so that callers don't all return at the
// same time.
func After(drain time.Duration, random *rand.Rand) time.Duration {
	base := max(drain, minDelay)
	return base + time.Duration(random.Int64N(int64(base)))
}

package retry

import (
	"math/rand/v2"
	"time"
)

const minAfter = time.Second

// After spreads the time at which refused callers come back over as long as the backlog takes to drain, so that they don't return as one.
func After(drain time.Duration, random *rand.Rand) time.Duration {
	base := max(drain, minAfter)
	return base + time.Duration(random.Int64N(int64(base)))
}

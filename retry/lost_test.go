package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestLostGroupIsWithinTheBudget guards against shares so small that entries refuse the retries which the
// allowance of all of them together has room for: a group of 32 ranks with ten streams each is lost at once,
// with 160 requests that wait for it, before entries that get 300 requests a second between them. The
// allowance is a fifth of the requests of ten seconds and 200, that is 800 retries.
func TestLostGroupIsWithinTheBudget(t *testing.T) {
	const (
		lost            = 320 + 160
		requestInterval = time.Second / 300
		seeds           = 20
		// leastShare is the part of the streams that go on. The rest is lost to entries that happened to
		// have few requests and many streams.
		leastShare = 0.8
	)
	allowance := Allowance{
		Ratio:  0.2,
		Slack:  200,
		Window: 10 * time.Second,
	}
	for _, entries := range []int{9, 99, 198} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			granted := 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, uint64(entries)))
				now := time.Unix(1_000, 0)
				budgets := make([]*WindowBudget, entries)
				for i := range budgets {
					budgets[i] = NewWindowBudget(allowance, now.Add(-2*allowance.Window))
				}
				for end := now.Add(allowance.Window); now.Before(end); now = now.Add(requestInterval) {
					budgets[random.IntN(entries)].RecordRequest(now, "s")
				}
				for range lost {
					if budgets[random.IntN(entries)].TryRetry(now, "s", entries) {
						granted++
					}
				}
			}
			share := float64(granted) / float64(seeds*lost)
			t.Logf("%.2f of %d retries granted", share, lost)
			if share < leastShare {
				t.Errorf("%.2f of the retries granted, want %.2f", share, leastShare)
			}
		})
	}
}

package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowBudgetsKeepAllowance guards against entries that together retry more than the allowance
// in any window, with restarts and with entries that retry as often as they may.
func TestWindowBudgetsKeepAllowance(t *testing.T) {
	allow := Allowance{
		Ratio:  0.2,
		Slack:  90,
		Window: 10 * time.Second,
	}
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		windows := make([]*WindowBudget, entries)
		for i := range windows {
			windows[i] = NewWindowBudget(allow, time.Unix(-60, 0))
		}
		const ticks = 300
		tick := 100 * time.Millisecond
		start := time.Unix(0, 0)
		requests, retries := make([]int, ticks), make([]int, ticks)
		for i := range ticks {
			now := start.Add(time.Duration(i) * tick)
			e := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if rapid.IntRange(0, 19).Draw(t, "restart") == 0 {
				windows[e] = NewWindowBudget(allow, now)
			}
			w := windows[e]
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now, "s")
				requests[i]++
			}
			for range rapid.IntRange(0, 20).Draw(t, "wanted") {
				if w.TryRetry(now, "s", entries) {
					retries[i]++
				}
			}
		}
		span := int(allow.Window / tick)
		for i := range ticks - span {
			sumRequests, sumRetries := 0, 0
			for j := max(0, i-span); j < i+span; j++ {
				sumRequests += requests[j]
				if j >= i {
					sumRetries += retries[j]
				}
			}
			if float64(sumRetries) > allow.Ratio*float64(sumRequests)+allow.Slack {
				t.Fatalf("%d retries for %d requests in a window", sumRetries, sumRequests)
			}
		}
	})
}

func TestWindowBudgetExpires(t *testing.T) {
	now := time.Unix(100, 0)
	w := NewWindowBudget(Allowance{Ratio: 0, Slack: 10, Window: time.Second}, now.Add(-time.Minute))
	spent := 0
	for w.TryRetry(now, "s", 1) {
		spent++
	}
	if spent != 9 {
		t.Errorf("spent %d of a slack of 10, want 9", spent)
	}
	if !w.TryRetry(now.Add(2*time.Second), "s", 1) {
		t.Error("no retry allowed two windows later")
	}
}

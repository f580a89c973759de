package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetScalesWithRequests(t *testing.T) {
	b := NewBudget()
	spent := 0
	for b.Spend("lookup") {
		spent++
	}
	if spent != initialRetries {
		t.Errorf("spent %d of %d initial retries", spent, initialRetries)
	}
	for range 50 {
		b.Earn("lookup")
	}
	for spent = 0; b.Spend("lookup"); spent++ {
		continue
	}
	if spent < 9 || spent > 10 {
		t.Errorf("50 first tries earned %d retries, want a fifth", spent)
	}
	if !b.Spend("summary") {
		t.Error("retries of one class were taken from another's budget")
	}
}

func TestAfterIsJittered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := After(4*time.Second, random)
		if d < 4*time.Second || d >= 8*time.Second {
			t.Fatalf("delay of %s for a backlog of 4s, want 4s to 8s", d)
		}
		seen[d] = true
	}
	if len(seen) < 90 {
		t.Errorf("100 callers got only %d different delays", len(seen))
	}
}

func ExampleBudget() {
	b := NewBudget()
	b.Earn("lookup")
	fmt.Println(b.Spend("lookup"))
	// Output: true
}

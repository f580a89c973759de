package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetFollowsFirstTries(t *testing.T) {
	b := NewBudget()
	spent := 0
	for b.Spend("lookup") {
		spent++
	}
	if spent != reserve {
		t.Errorf("spent %d from the reserve of %d", spent, reserve)
	}
	for range 50 {
		b.Earn("lookup")
	}
	for spent = 0; b.Spend("lookup"); spent++ {
		continue
	}
	if spent < 9 || spent > 10 {
		t.Errorf("50 first tries earned %d repeats, want a fifth", spent)
	}
	if !b.Spend("summary") {
		t.Error("one class used up another's budget")
	}
}

func TestAfterIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := After(4*time.Second, random)
		if d < 4*time.Second || d >= 8*time.Second {
			t.Fatalf("told to come back after %s of a backlog of 4s", d)
		}
		seen[d] = true
	}
	if len(seen) < 90 {
		t.Errorf("100 callers come back at only %d moments", len(seen))
	}
}

func ExampleBudget() {
	b := NewBudget()
	b.Earn("lookup")
	fmt.Println(b.Spend("lookup"))
	// Output: true
}

package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"geraniumpass/check"
)

const incarnation = 3

func key(session, n uint64) Key {
	return Key{
		Session: Session{
			Entry:       "entry",
			Incarnation: session,
		},
		N: n,
	}
}

// TestLedgerInvariants applies random offers, starts, cancels and finishes, including repeated,
// late and lost messages, and checks that nothing runs twice or after it was reported as not run.
func TestLedgerInvariants(t *testing.T) {
	check.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		l := New(clockwork.NewFakeClock(), incarnation, time.Hour)
		runs := make(map[Key]int)
		claimRuns := make(map[string]int)
		notRun := make(map[Key]bool)
		claims := make(map[Key]string)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			k := key(rapid.Uint64Range(1, 2).Draw(t, "session"), rapid.Uint64Range(1, 8).Draw(t, "n"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				claim, known := claims[k]
				if !known {
					claim = rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "claim")
					claims[k] = claim
				}
				v := l.Offer(Offer{Key: k, Incarnation: incarnation, ClaimKey: claim, ClaimRetention: time.Hour})
				if v.Action == ActionRefuse {
					notRun[k] = true
				}
			case 2:
				if st, _ := l.State(k); st == StateQueued && l.Start(k) {
					runs[k]++
					if claims[k] != "" {
						claimRuns[claims[k]]++
					}
				}
			case 3:
				if l.Cancel(k) {
					notRun[k] = true
				}
			case 4:
				if st, _ := l.State(k); st == StateRunning {
					l.Finish(k)
				}
			}
			for k, n := range runs {
				if n > 1 || notRun[k] {
					t.Fatalf("%s ran %d times, reported as not run: %t", k, n, notRun[k])
				}
			}
			for c, n := range claimRuns {
				if n > 1 {
					t.Fatalf("claim %s ran %d times", c, n)
				}
			}
		}
	})
}

func TestClosedClaimStaysClosed(t *testing.T) {
	l := New(clockwork.NewFakeClock(), incarnation, time.Hour)
	offer := func(n uint64) Verdict {
		return l.Offer(Offer{Key: key(1, n), Incarnation: incarnation, ClaimKey: "x", ClaimRetention: time.Hour})
	}
	if v := offer(1); v.Action != ActionQueue || !l.Cancel(key(1, 1)) {
		t.Fatalf("got %+v for the first offer", v)
	}
	if v := offer(2); v.Action != ActionRefuse || !l.ClaimClosed("x") {
		t.Errorf("got %+v: a claim that may have moved must not run here", v)
	}
}

func TestExpireRemovesOnlyOldClaims(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock, incarnation, time.Hour)
	l.Offer(Offer{Key: key(1, 1), Incarnation: incarnation, ClaimKey: "old", ClaimRetention: time.Minute})
	l.Offer(Offer{Key: key(1, 2), Incarnation: incarnation, ClaimKey: "young", ClaimRetention: time.Hour})
	clock.Advance(2 * time.Minute)
	l.Expire()
	if _, n := l.Size(); n != 1 {
		t.Errorf("%d claims are left, want one", n)
	}
}

func ExampleLedger() {
	l := New(clockwork.NewRealClock(), incarnation, time.Hour)
	late := key(1, 7)
	fmt.Println("cancelled before arrival:", l.Cancel(late))
	v := l.Offer(Offer{Key: late, Incarnation: incarnation})
	fmt.Println("on arrival:", v.Outcome, v.Reason)
	// Output:
	// cancelled before arrival: true
	// on arrival: not_run cancelled
}

package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func item(id uint64, class, account string, target time.Duration, cost float64) Item {
	return Item{
		ID:            id,
		Class:         class,
		Account:       account,
		LatencyTarget: target,
		Due:           start.Add(target),
		Expires:       start.Add(time.Hour),
		Cost:          cost,
	}
}

func TestTightClassGoesFirst(t *testing.T) {
	q := New()
	open := Capacity{Limit: 8}
	late := item(1, "batch", "a", 30*time.Second, 400)
	late.Due = start.Add(-time.Second)
	q.Push(start, late, open)
	q.Push(start, item(2, "lookup", "a", 400*time.Millisecond, 8), open)
	if it, ok := q.Pop(start, open); !ok || it.ID != 2 {
		t.Errorf("got %+v, want the lookup even though the batch is late", it)
	}
}

func TestAccountsShareAClass(t *testing.T) {
	q := New()
	open := Capacity{Limit: 100}
	for i := range uint64(20) {
		q.Push(start, item(i, "summary", "large", 3*time.Second, 100), open)
	}
	q.Push(start, item(100, "summary", "small", 3*time.Second, 100), open)
	q.Push(start, item(101, "summary", "small", 3*time.Second, 100), open)
	small := 0
	for range 4 {
		it, _ := q.Pop(start, open)
		if it.Account == "small" {
			small++
		}
	}
	if small != 2 {
		t.Errorf("the small account got %d of the first 4 starts, want 2", small)
	}
}

func TestOverloadShedsTheLargestAccount(t *testing.T) {
	q := New()
	full := Capacity{Running: 8, Limit: 8, Cost: 800, DrainRate: 1000}
	var shed []Item
	for i := range uint64(60) {
		shed = append(shed, q.Push(start, item(i, "summary", "large", 3*time.Second, 100), full)...)
	}
	if len(shed) == 0 {
		t.Fatal("nothing was shed with 6 s of queued work and a target of 3 s")
	}
	gone := q.Push(start, item(100, "summary", "small", 3*time.Second, 100), full)
	if len(gone) != 1 || gone[0].Account != "large" {
		t.Errorf("shed %+v for the small account, want one of the large account's", gone)
	}
}

func TestSlotsAreReservedForTighterClasses(t *testing.T) {
	q := New()
	c := Capacity{Limit: 8, DrainRate: 8 / 0.004}
	now := start
	for i := range uint64(400) {
		now = now.Add(5 * time.Millisecond)
		q.Push(now, item(i, "lookup", "a", 400*time.Millisecond, 8), c)
		q.Pop(now, c)
	}
	q.Push(now, item(1000, "batch", "a", 30*time.Second, 400), c)
	c.Running = c.Limit - 1
	if it, ok := q.Pop(now, c); ok {
		t.Errorf("%s took the last slot, which is reserved for lookups", it.Class)
	}
	c.Running = 0
	if _, ok := q.Pop(now, c); !ok {
		t.Error("the batch did not start on an idle upstream")
	}
}

// TestNoItemIsLostOrDuplicated pushes, pops, expires and removes items at random and checks that
// each leaves the queue exactly once.
func TestNoItemIsLostOrDuplicated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		inside := make(map[uint64]bool)
		gone := func(it Item, how string) {
			if !inside[it.ID] {
				t.Fatalf("item %d was returned by %s but is not queued", it.ID, how)
			}
			delete(inside, it.ID)
		}
		now := start
		for i := range uint64(rapid.IntRange(1, 200).Draw(t, "events")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			capacity := Capacity{Running: rapid.IntRange(0, 9).Draw(t, "running"), Limit: 8, Cost: 100, DrainRate: 500}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				it := item(i, rapid.SampledFrom([]string{"lookup", "summary"}).Draw(t, "class"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), time.Second, float64(rapid.IntRange(1, 300).Draw(t, "cost")))
				it.Due = now.Add(time.Second)
				it.Expires = now.Add(2 * time.Second)
				inside[i] = true
				for _, s := range q.Push(now, it, capacity) {
					gone(s, "shedding")
				}
			case 2:
				if it, ok := q.Pop(now, capacity); ok {
					gone(it, "pop")
				}
			case 3:
				for _, it := range q.Expire(now) {
					gone(it, "expiry")
				}
			case 4:
				if q.Remove(i / 2) {
					gone(Item{ID: i / 2}, "removal")
				}
			}
			if q.Len() != len(inside) {
				t.Fatalf("queue counts %d items, want %d", q.Len(), len(inside))
			}
		}
		for _, it := range q.Drain() {
			gone(it, "draining")
		}
		if len(inside) != 0 || q.Cost() != 0 {
			t.Fatalf("%d items and a cost of %f remain", len(inside), q.Cost())
		}
	})
}

func TestLimiterFindsTheKnee(t *testing.T) {
	const knee = 16
	l := NewLimiter()
	now := start
	for range 4000 {
		n := l.Limit()
		took := time.Duration(float64(100*time.Millisecond) * max(1, float64(n)/knee))
		now = now.Add(took / time.Duration(n))
		l.Observe(now, 10, took, true)
	}
	if n := l.Limit(); n < knee || n > 3*knee {
		t.Errorf("limit %d, want between the knee of %d and thrice that", n, knee)
	}
}

func ExampleQueue() {
	q := New()
	idle := Capacity{Limit: 8}
	q.Push(start, item(1, "batch", "engineering", 30*time.Second, 400), idle)
	q.Push(start, item(2, "lookup", "site-visits", 400*time.Millisecond, 8), idle)
	first, _ := q.Pop(start, idle)
	fmt.Println(first.Class)
	// Output: lookup
}

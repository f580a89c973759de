package budget

import "testing"

// TestBudgetLeavesRoomForShortRequests guards against large requests that take all memory for clients.
func TestBudgetLeavesRoomForShortRequests(t *testing.T) {
	b := New(1 << 20)
	for b.Take(128<<10, 0) {
		continue
	}
	if !b.Take(16<<10, 0) {
		t.Errorf("a short request is refused while %d of %d bytes are held", b.Used(), 1<<20)
	}
	for b.Take(16<<10, 0) {
		continue
	}
	if b.Used() > 1<<20 {
		t.Errorf("%d bytes are held, allowed are %d", b.Used(), 1<<20)
	}
}

// TestBudgetServesASingleLargeRequest guards against a request within the limits that is refused although
// nobody else holds anything.
func TestBudgetServesASingleLargeRequest(t *testing.T) {
	b := New(1 << 20)
	held := int64(0)
	for held < 3<<19 {
		if !b.Take(64<<10, held) {
			t.Fatalf("a single request is refused at %d of %d bytes", held, 1<<20)
		}
		held += 64 << 10
	}
	if b.Take(128<<10, 0) {
		t.Error("a second large request is accepted beside it")
	}
	b.Give(held)
	if b.Used() != 0 {
		t.Errorf("%d bytes are held after all were returned", b.Used())
	}
}

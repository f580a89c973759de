package accept

import "testing"

// TestListenersShareNoBudget guards against callers that get no memory because clients of another listener hold
// all of it.
func TestListenersShareNoBudget(t *testing.T) {
	b := NewBounds(100, 1000)
	callers, links := b.Budget(0.7), b.Budget(0.3)
	for links.Take(16<<10, 0) {
		continue
	}
	if !callers.Take(4<<20, 0) {
		t.Error("a caller is refused because links hold their part")
	}
	if n := links.Used(); n > 100<<20/5*3/10 {
		t.Errorf("links hold %d bytes", n)
	}
}

// TestMaxConnsLeavesDescriptors guards against processes that can't reach the store because clients have all
// descriptors, and against more connections than the memory holds.
func TestMaxConnsLeavesDescriptors(t *testing.T) {
	tests := []struct {
		name     string
		memoryMB int
		files    int
		most     int
	}{
		{"few descriptors", 1000, 256, 169},
		{"little memory", 96, 100_000, 512},
		{"a small machine", 284, 4100, 1515},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &Bounds{memory: int64(tt.memoryMB) << 20, files: tt.files}
			if n := b.MaxConns(0.68) + b.MaxConns(0.09) + b.MaxConns(0.23); n > tt.most {
				t.Errorf("%d connections, allowed are %d", n, tt.most)
			}
		})
	}
}

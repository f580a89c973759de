package place

type expertShare struct {
	expert int
	share  float64
}

// expertHeap is a max-heap by share.
type expertHeap []expertShare

func (h expertHeap) Len() int           { return len(h) }
func (h expertHeap) Less(i, j int) bool { return h[i].share > h[j].share }
func (h expertHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expertHeap) Push(x any) { *h = append(*h, x.(expertShare)) }

// Pop implements heap.Interface.
func (h *expertHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

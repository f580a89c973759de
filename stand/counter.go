package stand

import "sync"

// Counter counts executions by probe ID over all upstreams that share it.
type Counter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{runs: make(map[string]int)}
}

// Add counts one execution and returns the number so far; it ignores an empty probe ID and returns
// 0.
func (c *Counter) Add(probe string) int {
	if probe == "" {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[probe]++
	return c.runs[probe]
}

// Runs returns the number of executions of a probe.
func (c *Counter) Runs(probe string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[probe]
}

// All returns a copy of all counts.
func (c *Counter) All() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.runs))
	for k, v := range c.runs {
		out[k] = v
	}
	return out
}

package budget

import (
	"expvar"
	"sync/atomic"
)

const (
	// reserveRatio is the part of a budget that only holders of up to smallBytes may use, so that large
	// requests leave room for short ones.
	reserveRatio = 0.25
	smallBytes   = 64 << 10
	// soleFactor times the budget is what one holder may hold while no other holds more than soleRatio of
	// it, so that a single request within the limits is served.
	soleFactor = 2
	soleRatio  = 0.1
)

var (
	heldBytes    = expvar.NewInt("client_bytes_held")
	refusedTakes = expvar.NewInt("client_bytes_refused")
)

// Budget is a number of bytes that a process may hold at the same time; it is safe for concurrent use.
type Budget struct {
	size int64
	used atomic.Int64
}

// New returns a budget of size bytes.
func New(size int64) *Budget {
	return &Budget{size: size}
}

// Take takes n further bytes for a holder that has held bytes already, and reports whether they were
// available.
func (b *Budget) Take(n, held int64) bool {
	used := b.used.Add(n)
	if used > b.limit(used-n-held, held+n) {
		b.used.Add(-n)
		refusedTakes.Add(1)
		return false
	}
	heldBytes.Add(n)
	return true
}

// limit returns what may be held with a holder of held bytes, beside which others hold the given bytes.
func (b *Budget) limit(others, held int64) int64 {
	switch {
	case others <= int64(soleRatio*float64(b.size)):
		return soleFactor * b.size
	case held > smallBytes:
		return b.size - int64(reserveRatio*float64(b.size))
	}
	return b.size
}

// Give returns n bytes.
func (b *Budget) Give(n int64) {
	b.used.Add(-n)
	heldBytes.Add(-n)
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

package base

import (
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the time between two looks at the memory of a process.
	sampleInterval = 5 * time.Millisecond
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
)

// MemoryKeeper does what the platform does about memory: it kills a gateway that exceeds what its machine
// has, and starts it again.
type MemoryKeeper struct {
	Gateway *Gateway
	Record  *Record

	peakMB   atomic.Int64
	kills    atomic.Int64
	stopping atomic.Bool
}

// Run watches the gateway until Stop.
func (k *MemoryKeeper) Run() {
	limit := k.Gateway.Settings.MemoryMB
	for !k.stopping.Load() {
		time.Sleep(sampleInterval)
		mb := k.Gateway.ResidentMB()
		k.peakMB.Store(max(k.peakMB.Load(), int64(mb)))
		if mb <= float64(limit) {
			continue
		}
		k.Record.Printf("%s uses %.0f MB of %d MB, the platform kills it", k.Gateway.Settings.ID, mb, limit)
		k.kills.Add(1)
		k.Gateway.Kill()
		time.Sleep(restartDelay)
		if k.stopping.Load() {
			return
		}
		if err := k.Gateway.Start(false); err != nil {
			k.Record.Printf("%s doesn't start: %v", k.Gateway.Settings.ID, err)
			return
		}
	}
}

// Stop ends Run.
func (k *MemoryKeeper) Stop() {
	k.stopping.Store(true)
}

// Kills returns how often the gateway was killed.
func (k *MemoryKeeper) Kills() int64 {
	return k.kills.Load()
}

// PeakMB returns the most memory that the gateway was seen to use.
func (k *MemoryKeeper) PeakMB() int64 {
	return k.peakMB.Load()
}

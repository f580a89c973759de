package accept

import (
	"syscall"

	"geraniumpass/budget"
)

const (
	// defaultMemoryMB and defaultFiles apply where neither the settings nor the system state a limit.
	defaultMemoryMB = 256
	defaultFiles    = 1024
	// budgetRatio is the part of the memory that requests and answers of clients may take, and connRatio
	// that of their connections.
	budgetRatio = 0.2
	connRatio   = 0.25
	// connBytes is what a connection takes: its goroutines, their buffers and those of the kernel.
	connBytes = 48 << 10
	// clientShare is the part of the descriptors that all listeners of a process have together.
	clientShare = 0.66
	// minConns is the least number of connections of a listener.
	minConns = 16
)

// Bounds is what a process may hold for its clients.
type Bounds struct {
	memory int64
	files  int
}

// NewBounds returns the bounds of a process with the given memory in MiB and open files; zero stands for what
// the system allows.
func NewBounds(memoryMB, files int) *Bounds {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	memory := int64(memoryMB) << 20
	return &Bounds{
		memory: memory,
		files:  openFiles(files),
	}
}

// openFiles returns the lower of a setting, if it is set, and the limit of the process.
func openFiles(setting int) int {
	n := setting
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < 1<<31 && (n <= 0 || int(limit.Cur) < n) {
		n = int(limit.Cur)
	}
	if n <= 0 {
		n = defaultFiles
	}
	return n
}

// Budget returns a budget for the clients of a listener that has a part of what those of all listeners may hold,
// so that the clients of one listener don't take what those of another need.
func (b *Bounds) Budget(part float64) *budget.Budget {
	return budget.New(int64(part * budgetRatio * float64(b.memory)))
}

// MaxConns returns the number of connections for a listener that has a part of those of all listeners. They
// leave descriptors for connections that the process opens itself.
func (b *Bounds) MaxConns(part float64) int {
	byFiles := int(part * clientShare * float64(b.files))
	byMemory := int(part * connRatio * float64(b.memory) / connBytes)
	return max(minConns, min(byFiles, byMemory))
}

package logio

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the queue of lines to write. It holds several seconds of an entry's usual
// output.
const maxQueuedLines = 1024

var droppedLines = expvar.NewInt("log_lines_dropped")

// Writer writes lines asynchronously and counts and drops lines that do not fit in its queue.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu is held for reading while a line is queued, so that none is queued after the close.
	mu     sync.RWMutex
	closed bool
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, maxQueuedLines),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a copy of p, or drops it if the queue is full or the writer is closed. It never waits for the
// output and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and stops the writer. Lines that come later are dropped, since goroutines log
// until the process has ended.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", n)
		}
		// The error is ignored because there is nowhere to report that the log cannot be written.
		_, _ = w.out.Write(line)
	}
}

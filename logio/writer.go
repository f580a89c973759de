package logio

import (
	"expvar"
	"fmt"
	"io"
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

// Write queues a copy of p, or drops it if the queue is full. It never blocks or fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
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

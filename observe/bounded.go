package observe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the buffered log lines.
	maxBufferBytes = 256 << 10
	// flushInterval is the time in which lines are collected for one write.
	flushInterval = 100 * time.Millisecond
)

// BoundedWriter writes lines to an output in the background, so that a slow output
// never blocks the caller of Write. Lines that do not fit in the buffer are
// dropped, and their number is written as a log line.
type BoundedWriter struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped int
}

// NewBoundedWriter returns a writer to out and starts its goroutine.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. p is one log line. Write never returns an error.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > maxBufferBytes {
		w.dropped++
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (w *BoundedWriter) run() {
	var spare []byte
	for range w.wake {
		time.Sleep(flushInterval)
		spare = w.flush(spare)
	}
}

// flush writes the buffered lines and returns a buffer for reuse as spare.
func (w *BoundedWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if _, err := w.out.Write(lines); err != nil {
		w.mu.Lock()
		w.dropped++ // the failed write counts as one dropped line
		w.mu.Unlock()
	}
	return lines
}

// Flush writes the buffered lines. It is called before the process exits.
func (w *BoundedWriter) Flush() { w.flush(nil) }

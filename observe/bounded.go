package observe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the log lines that wait for the reader of the output.
	bufferBytes = 256 << 10
	// flushInterval is how long a line may wait, so that lines share writes.
	flushInterval = 100 * time.Millisecond
)

// BoundedWriter hands lines to a slow output without ever blocking their
// writer. Lines that do not fit the buffer are dropped and counted; the count
// is written as a line of its own.
type BoundedWriter struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped int
}

// NewBoundedWriter returns a writer that writes to out in the background.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. p is one line; it never fails.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > bufferBytes {
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

// flush writes what has gathered and returns the memory to use next.
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
		w.dropped++ // the output is gone; counting is all that can be done
		w.mu.Unlock()
	}
	return lines
}

// Flush writes what has gathered; it is called before the process ends.
func (w *BoundedWriter) Flush() { w.flush(nil) }

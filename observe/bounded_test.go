package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput is an output whose writes block until open is closed.
type blockingOutput struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *blockingOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// Guards against requests that block on a slow log output, and against dropped
// lines that are not counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockingOutput{open: make(chan struct{})}
	w := NewBoundedWriter(out)
	// 1000 lines of 1 KB exceed maxBufferBytes.
	line := []byte(strings.Repeat("x", 1023) + "\n")
	started := time.Now()
	for range 1000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if duration := time.Since(started); duration > time.Second {
		t.Fatalf("1000 lines took %v", duration)
	}
	close(out.open)
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.text(), "log lines dropped") {
		if time.Now().After(deadline) {
			t.Fatal("the dropped lines are not counted")
		}
		time.Sleep(10 * time.Millisecond)
		_, _ = w.Write([]byte("again\n"))
	}
}

func TestBoundedWriterFlush(t *testing.T) {
	// Guards against last lines that are lost when the process exits.
	out := &blockingOutput{open: make(chan struct{})}
	close(out.open)
	w := NewBoundedWriter(out)
	_, _ = w.Write([]byte("last line\n"))
	w.Flush()
	if out.text() != "last line\n" {
		t.Fatalf("got %q", out.text())
	}
}

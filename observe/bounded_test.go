package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.String()
}

// Guards against requests that wait for a slow reader of the log, and against
// lines that vanish without a trace.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	for range 1000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("1000 lines took %v", took)
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
	out := &gate{open: make(chan struct{})}
	close(out.open)
	w := NewBoundedWriter(out)
	_, _ = w.Write([]byte("last line\n"))
	w.Flush()
	if out.text() != "last line\n" {
		t.Fatalf("got %q", out.text())
	}
}

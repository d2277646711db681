package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against more retries than the bound in any period of Span, summed over
// all processes.
func TestWindowBound(t *testing.T) {
	config := WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Extra: 100, Reserve: 0.15}
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 4).Draw(t, "processes")
		windows := make([]*Window, processes)
		for i := range windows {
			windows[i] = NewWindow(config)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			w := windows[rapid.IntRange(0, processes-1).Draw(t, "process")]
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
			} else if w.TryRetry(now, processes) {
				retries = append(retries, now)
			}
			inSpan := func(times []time.Duration) (n float64) {
				for _, at := range times {
					if at > now-config.Span {
						n++
					}
				}
				return n
			}
			if inSpan(retries) > config.Ratio*inSpan(requests)+config.Extra {
				t.Fatalf("%v retries for %v requests within Span exceed the bound", inSpan(retries), inSpan(requests))
			}
		}
	})
}

// Guards against a window that never allows retries again after it has reached
// its bound.
func TestWindowRefills(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowConfig{Span: 10 * time.Second, Extra: 4})
	for range 4 {
		is.True(w.TryRetry(0, 1))
	}
	is.True(!w.TryRetry(9*time.Second, 1)) // within Span after the first four
	is.True(w.TryRetry(11*time.Second, 1))
}

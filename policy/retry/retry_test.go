package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against retries that multiply the load of a peak.
func TestBudgetBound(t *testing.T) {
	is := is.New(t)
	b := New(Config{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	retries := 0
	for range 1000 {
		b.Request(now)
		if b.TryRetry(now) {
			retries++
		}
	}
	is.Equal(retries, 103) // 0.1 * 1,000 requests + 3
}

// Guards against old requests that allow retries for ever. In any pattern of
// calls the retries are bounded by the ratio times the requests plus the
// constant, where requests and retries decay.
func TestBudgetBoundUnderAnyPattern(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		b := New(Config{})
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			} else if b.TryRetry(now) {
				retries++
			}
		}
		// All calls lie within one half-life (300 calls * 100 ms), so each retry
		// counts at least half at the end, and their number is at most twice the
		// bound.
		if bound := defaultRatio*2*float64(requests) + 2*defaultConstant; float64(retries) > bound {
			t.Fatalf("%d retries for %d requests exceed the bound", retries, requests)
		}
	})
}

// Guards against data races; it detects them only with -race.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	b := New(Config{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var group sync.WaitGroup
	var retries atomic.Int64
	for range 8 {
		group.Go(func() {
			for range 100 {
				b.Request(now)
				if b.TryRetry(now) {
					retries.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.True(retries.Load() <= 83) // 0.1 * 800 requests + 3
}

// Guards against a delay after which the retry is still refused, and against an
// unbounded delay.
func TestDelayEndsWithAnAllowedRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		b := New(Config{Constant: rapid.SampledFrom([]float64{0.5, 1, 1.5, 3}).Draw(t, "constant")})
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			b.Request(now)
		}
		for b.TryRetry(now) {
		}
		b.Request(now)
		delay := b.RetryDelay(now)
		if delay < 0 || delay > maxDelay {
			t.Fatalf("delay %v is negative or above maxDelay", delay)
		}
		if delay < maxDelay && !b.TryRetry(now.Add(delay)) {
			t.Fatalf("retry is refused after a wait of RetryDelay, %v", delay)
		}
	})
}

// Package retry bounds the number of retries, so that they do not multiply the
// load of a peak or of a failing fleet.
package retry

import (
	"math"
	"sync"
	"time"
)

// Defaults of Config.
const (
	defaultRatio    = 0.1
	defaultConstant = 3.0
	defaultHalfLife = 30 * time.Second
)

// Config sets the bound of a Budget. Zero values get defaults.
type Config struct {
	// Ratio is the number of retries allowed per recent request.
	Ratio float64
	// Constant is the number of retries that is allowed in addition, so that a
	// process with few requests can retry at all.
	Constant float64
	// HalfLife is the time after which a request or retry counts half.
	HalfLife time.Duration
}

// Budget counts recent requests and retries with exponential decay. It is
// safe for concurrent use.
type Budget struct {
	config Config

	mu       sync.Mutex
	updated  time.Time // time of the last decay of both counts
	requests float64   // recent requests, decayed
	retries  float64   // recent retries, decayed
}

// New returns an empty budget.
func New(config Config) *Budget {
	if config.Ratio <= 0 {
		config.Ratio = defaultRatio
	}
	if config.Constant <= 0 {
		config.Constant = defaultConstant
	}
	if config.HalfLife <= 0 {
		config.HalfLife = defaultHalfLife
	}
	return &Budget{config: config}
}

// Request records the first attempt of a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.requests++
}

// TryRetry reports whether a retry is allowed now, and records it if so.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.retries+1 > b.config.Ratio*b.requests+b.config.Constant {
		return false
	}
	b.retries++
	return true
}

// maxDelay bounds RetryDelay, since new requests allow retries sooner.
const maxDelay = 5 * time.Second

// RetryDelay returns how long to wait before calling TryRetry again; 0 if a
// retry is allowed now. Requests that wait do not have to fail when a crash
// interrupts many of them at once, and the bound on retries still holds.
func (b *Budget) RetryDelay(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	// A retry is allowed as soon as used <= allowed. Without new requests used is
	// halved in each HalfLife.
	used, allowed := b.retries-b.config.Ratio*b.requests, b.config.Constant-1
	if used <= allowed {
		return 0
	}
	if allowed <= 0 {
		return maxDelay // only new requests can allow a retry
	}
	delay := time.Duration(math.Log2(used/allowed) * float64(b.config.HalfLife))
	return min(delay+time.Millisecond, maxDelay) // rounded up, so that used <= allowed after it
}

// decay reduces both counts according to the time since the last call. If now is
// earlier than that call, it changes nothing.
func (b *Budget) decay(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(b.config.HalfLife))
	b.requests *= factor
	b.retries *= factor
	b.updated = now
}

// Package recent keeps the latest values of named series, such as the durations of the
// requests of a route, and returns their quantiles. It performs no I/O and takes the time as
// an argument.
package recent

import (
	"slices"
	"time"
)

const (
	// maxSeries bounds the series of a tracker. When it is reached, series without a value that
	// counts are dropped; without such series, a new one is ignored.
	maxSeries = 4096
	// dropInterval is the time between searches for such series, which look at all of them.
	dropInterval = time.Second
)

// Tracker holds the latest values of each series. It is not safe for concurrent use.
type Tracker struct {
	size     int
	maxAge   time.Duration
	series   map[string]*ring
	lastDrop time.Time
}

// ring holds the latest values of a series.
type ring struct {
	values []value
	next   int // index of the oldest value once the ring is full
}

type value struct {
	v  float64
	at time.Time
}

// NewTracker returns a tracker of the last size values of each series that are no older than
// maxAge.
func NewTracker(size int, maxAge time.Duration) *Tracker {
	return &Tracker{size: size, maxAge: maxAge, series: map[string]*ring{}}
}

// Observe adds a value to a series.
func (t *Tracker) Observe(name string, v float64, now time.Time) {
	r := t.series[name]
	if r == nil {
		if len(t.series) >= maxSeries {
			t.dropOld(now)
		}
		if len(t.series) >= maxSeries {
			return
		}
		r = &ring{}
		t.series[name] = r
	}
	if len(r.values) < t.size {
		r.values = append(r.values, value{v, now})
		return
	}
	r.values[r.next] = value{v, now}
	r.next = (r.next + 1) % t.size
}

// Quantile returns the smallest value of a series that the share q of its values, from 0 to 1,
// does not exceed. ok is false if there are fewer values than least.
func (t *Tracker) Quantile(name string, q float64, least int, now time.Time) (v float64, ok bool) {
	r := t.series[name]
	if r == nil {
		return 0, false
	}
	values := make([]float64, 0, len(r.values))
	for _, o := range r.values {
		if now.Sub(o.at) <= t.maxAge {
			values = append(values, o.v)
		}
	}
	if len(values) < max(least, 1) {
		return 0, false
	}
	slices.Sort(values)
	i := int(q * float64(len(values)))
	return values[min(max(i, 0), len(values)-1)], true
}

// dropOld drops the series of which no value counts any more, at most once in dropInterval.
func (t *Tracker) dropOld(now time.Time) {
	if now.Sub(t.lastDrop) < dropInterval {
		return
	}
	t.lastDrop = now
	for name, r := range t.series {
		counts := func(o value) bool { return now.Sub(o.at) <= t.maxAge }
		if !slices.ContainsFunc(r.values, counts) {
			delete(t.series, name)
		}
	}
}

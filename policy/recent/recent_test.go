package recent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// Guards against a quantile of values that are too many or too old, compared with a plain list.
func TestQuantileOfTheLatestValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, maxAge = 8, 10 * time.Second
		tracker := NewTracker(size, maxAge)
		now, all := start, []value{}
		for range rapid.IntRange(0, 30).Draw(t, "values") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			v := float64(rapid.IntRange(0, 100).Draw(t, "value"))
			tracker.Observe("a", v, now)
			all = append(all, value{v, now})
		}
		var want []float64
		for _, o := range all[max(0, len(all)-size):] {
			if now.Sub(o.at) <= maxAge {
				want = append(want, o.v)
			}
		}
		slices.Sort(want)
		q := rapid.Float64Range(0, 1).Draw(t, "q")
		got, ok := tracker.Quantile("a", q, 1, now)
		if ok != (len(want) > 0) {
			t.Fatalf("known %t with %d values", ok, len(want))
		}
		if ok && got != want[min(int(q*float64(len(want))), len(want)-1)] {
			t.Fatalf("quantile %v of %v is %v", q, want, got)
		}
	})
}

// Guards against a decision on fewer values than the caller asks for.
func TestTooFewValuesAreUnknown(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(8, time.Minute)
	_, ok := tracker.Quantile("a", 0.5, 0, start)
	is.True(!ok)
	tracker.Observe("a", 1, start)
	_, ok = tracker.Quantile("a", 0.5, 2, start)
	is.True(!ok)
	_, ok = tracker.Quantile("a", 0.5, 1, start)
	is.True(ok)
}

// Guards against a tracker that grows with each name that it hears, and against one that is
// full for good.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(2, time.Minute)
	for i := range 2 * maxSeries {
		tracker.Observe(fmt.Sprint(i), 1, start)
	}
	is.Equal(len(tracker.series), maxSeries)
	later := start.Add(time.Hour)
	tracker.Observe("later", 1, later)
	_, ok := tracker.Quantile("later", 0, 1, later)
	is.True(ok)
	is.Equal(len(tracker.series), 1)
}

package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const expected = 100 * time.Millisecond

var start = time.Unix(0, 0)

// Guards against the load "servers that have just started are slow": the estimate does not
// follow them, or stays high when they have become fast.
func TestFollowsAServerThatStartsSlowly(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	now := start
	observe := func(n int, actual time.Duration) {
		for range n {
			now = now.Add(200 * time.Millisecond)
			tracker.Observe("s", expected, actual, now)
		}
	}
	is.Equal(tracker.Factor("s", now), 1.0)
	observe(1, 300*time.Millisecond)
	is.True(tracker.Factor("s", now) < 1.6) // one slow answer is no proof
	observe(20, 300*time.Millisecond)
	is.True(tracker.Factor("s", now) > 2.2)
	observe(25, 100*time.Millisecond)
	is.True(tracker.Factor("s", now) < 1.3)
	observe(20, 300*time.Millisecond)
	is.True(tracker.Factor("s", now.Add(20*time.Second)) < 1.05) // no answer for a while
	tracker.Forget("s")
	is.Equal(tracker.Factor("s", now), 1.0)
}

// Guards against estimates that odd times make infinite, zero or larger than any observation
// allows, and against a tracker that grows with each name that it hears.
func TestOddObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := start
		for range rapid.IntRange(0, 50).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "pause")))
			tracker.Observe("s", time.Duration(rapid.Int64().Draw(t, "expected")), time.Duration(rapid.Int64().Draw(t, "actual")), now)
			if f := tracker.Factor("s", now); math.IsNaN(f) || f < 1.0/maxFactor || f > maxFactor {
				t.Fatalf("factor %v", f)
			}
		}
	})
	tracker := NewTracker()
	for i := range 3 * maxServers {
		tracker.Observe(fmt.Sprint(i), expected, expected, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	if len(tracker.servers) > maxServers {
		t.Fatalf("%d servers are kept", len(tracker.servers))
	}
}

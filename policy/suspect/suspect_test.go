package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against traffic to a server that cannot be reached.
func TestUnreachableServerIsAvoided(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(100, 0)
	is.True(tracker.Observe("a", Unreachable, now))
	is.True(tracker.Avoided("a", now))
	is.True(!tracker.Avoided("b", now))
	is.True(!tracker.Avoided("a", now.Add(firstHold)))
	tracker.Observe("a", Unreachable, now.Add(firstHold))
	is.True(tracker.Avoided("a", now.Add(2*firstHold))) // the second hold is longer
	tracker.Forget("a")
	is.True(!tracker.Avoided("a", now.Add(firstHold)))
}

// Guards against a server that fails much of its requests quickly and so
// attracts more of them.
func TestGreyServerIsAvoided(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(100, 0)
	avoided := false
	for i := range 40 {
		tracker.Observe("good-1", Success, now)
		tracker.Observe("good-2", Success, now)
		outcome := Success
		if i%5 < 3 {
			outcome = Failure
		}
		avoided = tracker.Observe("grey", outcome, now) || avoided
	}
	is.True(avoided)
	is.True(!tracker.Avoided("good-1", now))
}

// Guards against the exclusion of all servers of a service whose requests fail
// everywhere.
func TestCommonFailuresBlameNobody(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(100, 0)
	for range 200 {
		for _, id := range []string{"a", "b", "c"} {
			tracker.Observe(id, Failure, now)
			tracker.Observe(id, Success, now)
		}
	}
	is.True(!tracker.Avoided("a", now))
	is.True(!tracker.Avoided("b", now))
	is.True(!tracker.Avoided("c", now))
}

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
	is.True(tracker.Ejected("a", now))
	is.True(!tracker.Ejected("b", now))
	is.True(!tracker.Ejected("a", now.Add(firstHold)))
	tracker.Observe("a", Unreachable, now.Add(firstHold))
	is.True(tracker.Ejected("a", now.Add(2*firstHold))) // the second hold is longer
	tracker.Forget("a")
	is.True(!tracker.Ejected("a", now.Add(firstHold)))
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
	is.True(!tracker.Ejected("good-1", now))
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
	is.True(!tracker.Ejected("a", now))
	is.True(!tracker.Ejected("b", now))
	is.True(!tracker.Ejected("c", now))
}

// Guards against a server that each process has to find silent by itself, and
// against the word of a process whose own links are at fault.
func TestWordOfAnotherProcess(t *testing.T) {
	is := is.New(t)
	there, here, now := NewTracker(), NewTracker(), time.Unix(100, 0)
	there.Observe("silent", Unreachable, now)
	there.Observe("grey", Failure, now)
	var told []string
	there.Unreachable(now, func(id string, hold time.Duration) {
		told = append(told, id)
		is.Equal(hold, firstHold)
		is.True(here.ReportUnreachable(id, hold, now))
		is.True(!here.ReportUnreachable(id, hold, now)) // nothing new
	})
	is.Equal(told, []string{"silent"})
	is.True(here.Suspected("silent", now))
	is.True(!here.Ejected("silent", now))
	is.True(!here.Suspected("silent", now.Add(firstHold)))

	here.Observe("silent", Success, now)
	is.True(!here.Suspected("silent", now))
	is.True(!here.ReportUnreachable("silent", firstHold, now.Add(reachedRecently/2)))
	is.True(here.ReportUnreachable("silent", firstHold, now.Add(reachedRecently)))
	here.Unreachable(now, func(string, time.Duration) { t.Fatal("the word of others is not passed on") })
}

package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are sent to a server soon after it could not be
// reached, and against a server that stays ejected for ever.
func TestUnreachableServerIsEjected(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(100, 0)
	is.True(tracker.Observe("a", Unreachable, now))
	is.True(tracker.Ejected("a", now))
	is.True(!tracker.Ejected("b", now))
	is.True(!tracker.Ejected("a", now.Add(firstEjection)))
	tracker.Observe("a", Unreachable, now.Add(firstEjection))
	is.True(tracker.Ejected("a", now.Add(2*firstEjection))) // the second ejection is longer
	tracker.Forget("a")
	is.True(!tracker.Ejected("a", now.Add(firstEjection)))
}

// Guards against a server that fails many of its requests quickly, seems idle
// and so gets more of them. Here 3 of every 5 requests to it fail.
func TestPartlyFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(100, 0)
	ejected := false
	for i := range 40 {
		tracker.Observe("good-1", Success, now)
		tracker.Observe("good-2", Success, now)
		outcome := Success
		if i%5 < 3 {
			outcome = Failure
		}
		ejected = tracker.Observe("grey", outcome, now) || ejected
	}
	is.True(ejected)
	is.True(!tracker.Ejected("good-1", now))
}

// Guards against the ejection of all servers of a service whose requests fail
// everywhere.
func TestCommonFailuresEjectNoServer(t *testing.T) {
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

// Guards against reports of other processes that are ignored, so that each
// process has to detect an unreachable server by itself, and against a report
// that is believed although this process has just reached the server, because
// the links of the other process may be at fault.
func TestReportOfAnotherProcess(t *testing.T) {
	is := is.New(t)
	peer, local, now := NewTracker(), NewTracker(), time.Unix(100, 0)
	peer.Observe("silent", Unreachable, now)
	peer.Observe("grey", Failure, now)
	var reported []string
	peer.Unreachable(now, func(id string, remaining time.Duration) {
		reported = append(reported, id)
		is.Equal(remaining, firstEjection)
		is.True(local.ReportUnreachable(id, remaining, now))
		is.True(!local.ReportUnreachable(id, remaining, now)) // already suspected
	})
	is.Equal(reported, []string{"silent"})
	is.True(local.Suspected("silent", now))
	is.True(!local.Ejected("silent", now))
	is.True(!local.Suspected("silent", now.Add(firstEjection)))

	local.Observe("silent", Success, now)
	is.True(!local.Suspected("silent", now))
	is.True(!local.ReportUnreachable("silent", firstEjection, now.Add(recentContact/2)))
	is.True(local.ReportUnreachable("silent", firstEjection, now.Add(recentContact)))
	local.Unreachable(now, func(string, time.Duration) { t.Fatal("reports of peers must not be forwarded") })
}

// Guards against a server that peers are told to be unreachable although this process
// has reached it since. Its ejection goes on: one success does not show that a server
// works that has failed so often.
func TestReachedServerIsNotReportedToPeers(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(100, 0)
	reported := func() (n int) {
		tracker.Unreachable(now, func(string, time.Duration) { n++ })
		return n
	}
	tracker.Observe("a", Unreachable, now)
	is.Equal(reported(), 1)
	tracker.Observe("a", Success, now)
	is.Equal(reported(), 0)
	is.True(tracker.Ejected("a", now))
	is.True(!tracker.Ejected("a", now.Add(firstEjection)))
}

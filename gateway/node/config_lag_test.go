package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lagTest is a configLag with the version in force and the times of its refreshes.
type lagTest struct {
	configLag
	version   int64
	started   time.Time
	refreshes []time.Duration
}

func newLagTest() *lagTest {
	l := &lagTest{version: 3, started: time.Now()}
	l.log = slog.New(slog.DiscardHandler)
	l.configLag.inForce = func() int64 { return l.version }
	return l
}

// observe handles the report of a peer at a time since the start.
func (l *lagTest) observe(version int64, at time.Duration) {
	l.refresh = func() { l.refreshes = append(l.refreshes, at) }
	l.configLag.observe(version, l.started.Add(at))
}

// Guards against a gateway that serves an older configuration than its peers until its
// watch ends, because the store has lost the watch without an error.
func TestNewerConfigOfAPeer(t *testing.T) {
	is := is.New(t)
	l := newLagTest()
	l.observe(3, 0) // the version of this gateway
	l.observe(4, 0) // the change may still be on its way to this gateway
	l.observe(4, newerConfigDelay-1)
	is.Equal(len(l.refreshes), 0)
	is.Equal(l.behind(l.started.Add(newerConfigDelay)), newerConfigDelay)
	l.observe(5, newerConfigDelay)
	l.observe(5, newerConfigDelay+1) // once is enough
	is.Equal(l.refreshes, []time.Duration{newerConfigDelay})
	l.version = 4
	is.Equal(l.behind(l.started.Add(2*newerConfigDelay)), time.Duration(0))
	l.observe(5, 2*newerConfigDelay) // version 4 is in force, version 5 may be on its way
	is.Equal(len(l.refreshes), 1)
	l.observe(5, 3*newerConfigDelay)
	is.Equal(len(l.refreshes), 2)
}

// Guards against reads that a gateway makes because several changes, each of which
// reached it in time, were in force at a peer a moment earlier.
func TestChangesOnTheirWayCauseNoRefresh(t *testing.T) {
	is := is.New(t)
	l := newLagTest()
	for at := time.Duration(0); at < 20*time.Second; at += 400 * time.Millisecond {
		l.observe(l.version+1, at)
		l.version++
	}
	is.Equal(len(l.refreshes), 0)
}

// Guards against a gateway that takes itself for behind for good, and answers 503 in place
// of 404, because a peer reports a version that the store does not have.
func TestVersionThatTheStoreDoesNotHave(t *testing.T) {
	is := is.New(t)
	l := newLagTest()
	l.observe(1_000_000, 0)
	l.handleRead(l.started.Add(-1)) // began before the report
	is.True(l.behind(l.started.Add(time.Second)) > 0)
	l.handleRead(l.started.Add(newerConfigDelay))
	l.observe(1_000_000, 2*newerConfigDelay)
	is.Equal(l.behind(l.started.Add(time.Minute)), time.Duration(0))
	l.observe(4, 3*newerConfigDelay) // a version that may exist
	is.True(l.behind(l.started.Add(time.Minute)) > 0)
}

// Guards against reads without end because of a version that cannot be read.
func TestUnknownVersionCausesFewRefreshes(t *testing.T) {
	is := is.New(t)
	l := newLagTest()
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		l.observe(1_000_000, at)
	}
	is.True(len(l.refreshes) >= 2)
	is.True(len(l.refreshes) < 10)
}

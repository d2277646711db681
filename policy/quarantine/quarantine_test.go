package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// crash returns the crash of server n under request n, sent 50 ms before.
func crash(n, ms int, parts ...string) Crash {
	return Crash{Server: fmt.Sprint("s", n), Request: fmt.Sprint("r", n), Account: "a", Parts: parts, Sent: at(ms - 50), Ended: at(ms)}
}

// Guards against sound parts being blamed because the first prompts with them all crashed
// servers, as at the start of a process: only the combination is known to crash.
func TestPartsThatAlwaysCrashTogether(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Record(crash(1, 0, "a", "bad"))
	tracker.Record(crash(2, 200, "b", "bad", "a"))
	found := tracker.Record(crash(3, 400, "a", "b", "bad"))
	is.Equal(len(found), 2)
	is.Equal(found[0].Part, "a")
	is.Equal(found[0].With, []string{"bad"})
	is.Equal(found[1].With, []string{"a"})
}

// Guards against the cause of crashes staying in use, and against sound parts that prompts
// with it share being blamed: sound prompts with these are answered in between.
func TestPartWithCrashesInARow(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	is.Equal(len(tracker.Record(crash(1, 0, "shared", "bad"))), 0)
	is.True(tracker.Clear("shared", at(50)))
	is.Equal(len(tracker.Record(crash(2, 200, "shared", "bad"))), 0)
	tracker.Clear("shared", at(250))
	found := tracker.Record(crash(3, 400, "shared", "bad"))
	is.Equal(len(found), 1)
	is.Equal(found[0].Part, "bad")
	is.Equal(len(found[0].Evidence), 3)
	is.Equal(tracker.Suspects(), 1) // shared
}

// Guards against parts being blamed that were on many servers which crashed together, for
// instance with their data centre.
func TestServersThatCrashTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range 50 {
		c := crash(n, n*10, "sound")
		c.Sent = at(-100)
		is.Equal(len(tracker.Record(c)), 0)
	}
}

// Guards against a part that is read for seconds before its servers crash never being
// found, because each of its requests was sent before the crash of the one before.
func TestSlowPromptsAreFound(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	found := 0
	for n := range 5 {
		c := crash(n, n*1100, "bad")
		c.Sent = c.Ended.Add(-4 * time.Second)
		found += len(tracker.Record(c))
		if found > 0 {
			is.Equal(n, 2)
			return
		}
	}
	t.Fatal("the part was not found")
}

// Guards against one crash that several gateways report counting several times, and
// against a single request with its repeats being enough.
func TestReportsOfOneCrashAndRepeatsOfOneRequest(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range 10 {
		c := crash(n, n*2000, "p")
		c.Server = "same"
		is.Equal(len(tracker.Record(c)), 0)
	}
	tracker = NewTracker()
	for n := range 3 {
		c := crash(n, n*200, "p")
		c.Request = "same"
		is.Equal(len(tracker.Record(c)), 0)
	}
	is.Equal(len(tracker.Record(crash(9, 800, "p"))), 1)
}

// Guards against reports of other gateways that arrive in another order than the crashes
// happened not counting.
func TestLateReportsCount(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		is := is.New(t)
		tracker := NewTracker()
		is.Equal(len(tracker.Record(crash(order[0], order[0]*200, "p"))), 0)
		is.Equal(len(tracker.Record(crash(order[1], order[1]*200, "p"))), 0)
		is.Equal(len(tracker.Record(crash(order[2], order[2]*200, "p"))), 1)
	}
}

// Guards against sound parts being blamed because a request and its repeats, and those
// beside it, crash several servers before any prompt can be answered.
func TestCrashesWithinAMomentAreNotEnough(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range 10 {
		c := crash(n, n*3, "p")
		c.Sent = c.Ended.Add(-time.Millisecond)
		is.Equal(len(tracker.Record(c)), 0)
	}
	is.Equal(len(tracker.Record(crash(10, 500, "p"))), 1)
}

// Guards against an answer that came before a crash clearing it.
func TestAnswerClearsEarlierCrashesOnly(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Record(crash(1, 0, "p"))
	tracker.Record(crash(2, 200, "p"))
	is.True(!tracker.Clear("p", at(-1)))
	is.True(tracker.Clear("p", at(100)))
	is.Equal(len(tracker.Record(crash(3, 400, "p"))), 0) // two in a row
	is.Equal(len(tracker.Record(crash(4, 600, "p"))), 1)
	is.True(!tracker.Clear("unknown", at(0)))
}

// Guards against prompts that crash servers all the time until the crashes last long
// enough for a verdict, and against prompts that wait although their parts were cleared or
// the crashes are old.
func TestPromptsOfASuspectWait(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	is.True(tracker.HoldUntil("p").IsZero())
	tracker.Record(crash(1, 0, "p"))
	is.True(tracker.HoldUntil("p").IsZero())
	tracker.Record(crash(2, 60, "p"))
	is.Equal(tracker.HoldUntil("p"), at(0).Add(minRowTime))
	tracker.Clear("p", at(100))
	is.True(tracker.HoldUntil("p").IsZero())
}

// Guards against the memory for suspects growing with prompts whose parts are new each
// time, and against such prompts displacing a part with more crashes.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Record(crash(1, 0, "bad"))
	tracker.Record(crash(2, 200, "bad"))
	for n := range 2 * maxSuspects {
		tracker.Record(crash(100+n, 300+n, fmt.Sprint("p", n)))
	}
	is.Equal(tracker.Suspects(), maxSuspects)
	is.Equal(len(tracker.Record(crash(3, 400_000, "bad"))), 1)
	tracker.Expire(at(400_000).Add(2 * suspectLife))
	is.Equal(tracker.Suspects(), 0)
}

package schedule

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/policy/dispatch"
)

// Guards against a queue that at peak load serves every prompt slightly too
// late: a prompt that has waited for half of its target (150 of 300 ms) will miss
// it, so a prompt that has just arrived goes first.
func TestPeakServesPromptsThatCanMeetTheirTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		all := fill(t, s, 4)
		placed := make(chan string, 2)
		go acquireAndEnd(t, s, prompt(1000), "late", placed)
		time.Sleep(150 * time.Millisecond)
		go acquireAndEnd(t, s, prompt(1000), "in time", placed)
		synctest.Wait()
		all[0].End()
		is.Equal(<-placed, "in time")
		is.Equal(<-placed, "late")
	})
}

// Guards against a prompt that stays in the queue although its caller's event
// timeout ends before it could be answered.
func TestEventTimeoutBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		fill(t, s, 4)
		r := prompt(1000)
		r.EventTimeout = 2 * time.Second
		_, err := s.Acquire(context.Background(), r)
		var overload *OverloadError
		is.True(errors.As(err, &overload))
		is.Equal(time.Since(r.Arrived), 1700*time.Millisecond) // eventTimeoutShare of 2 s
	})
}

// Guards against the loss of a partial answer because its request has waited for
// too long to be started: an engine becomes unresponsive at peak load and its
// answers are resumed on other engines.
func TestResumedAnswerWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		all := fill(t, s, 4)
		r := prompt(1000)
		time.Sleep(7 * time.Second)                     // of 10 s; a new request must start within 6.5 s
		r.Resumed, r.EventTimeout = true, 9*time.Second // so the latest start is at 7.65 s
		go func() {
			time.Sleep(500 * time.Millisecond)
			all[0].End()
		}()
		a, err := s.Acquire(context.Background(), r)
		is.NoErr(err)
		a.End()
	})
}

// Guards against a priority that has no effect at peak load, and against
// starvation of less urgent requests by a stream of more urgent ones: a request
// goes before those of the next higher priority that arrive more than
// priorityStep later.
func TestPriorityBeforeArrivalUpToABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		all := fill(t, s, 4)
		placed := make(chan string, 3)
		withPriority := func(priority int) Request {
			r := prompt(1000)
			r.Priority, r.LatencyTarget, r.Prompt.TargetMillis = priority, 3*time.Second, 3000
			return r
		}
		go acquireAndEnd(t, s, withPriority(2), "low", placed)
		time.Sleep(100 * time.Millisecond)
		go acquireAndEnd(t, s, withPriority(1), "high", placed)
		time.Sleep(priorityStep)
		go acquireAndEnd(t, s, withPriority(1), "later high", placed) // 100 ms and priorityStep after "low"
		synctest.Wait()
		all[0].End()
		is.Equal(<-placed, "high")
		is.Equal(<-placed, "low")
		is.Equal(<-placed, "later high")
	})
}

// Guards against an oversized prompt that a gateway admits because it has
// restarted at peak load and takes the engines for idle: its prompt shards would
// stop all answers for 0.7 s.
func TestStartAtPeakRefusesOversizedPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(4)
		busy := map[string]dispatch.Load{}
		for i := range 4 {
			busy[fmt.Sprintf("s%d", i)] = dispatch.Load{Decoding: 1, ContextTokens: 1000, EventGapMillis: 250, Prefill: dispatch.PromptPrefill(5000)}
		}
		is.True(s.SetPeer("peer", busy, true))
		r := prompt(90_000)
		_, err := s.Acquire(context.Background(), r)
		var overload *OverloadError
		is.True(errors.As(err, &overload))
		is.Equal(time.Since(r.Arrived), time.Duration(0)) // at once
		is.True(overload.Refusal != nil)
		is.Equal(overload.Refusal.PrefillingShare, 1.0)
		is.Equal(err.Error(), "prompt refused under load: it needs 0.9 s of prefill, and the share of engines in prefill is 1.00 (mean of the last seconds 1.00)")
	})
}

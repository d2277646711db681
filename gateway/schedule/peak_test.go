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
// late: a prompt that has waited for half of its target will miss it, so a
// prompt that has just arrived goes first.
func TestPeakServesPromptsThatCanMeetTheirTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		all := fill(t, s, 4)
		order := make(chan string, 2)
		go acquireAndEnd(t, s, prompt(1000), "late", order)
		time.Sleep(150 * time.Millisecond)
		go acquireAndEnd(t, s, prompt(1000), "in time", order)
		synctest.Wait()
		all[0].End()
		is.Equal(<-order, "in time")
		is.Equal(<-order, "late")
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
		is.Equal(time.Since(r.Arrived), 1700*time.Millisecond)
	})
}

// Guards against the loss of a partial answer whose latest start has passed:
// an engine becomes unresponsive at peak load and its answers are resumed on
// other engines.
func TestResumedAnswerWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		all := fill(t, s, 4)
		r := prompt(1000)
		time.Sleep(7 * time.Second) // of 10
		r.Resumed, r.EventTimeout = true, 9*time.Second
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
// starvation of less urgent requests by a stream of more urgent ones.
func TestPriorityBeforeArrivalUpToABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		all := fill(t, s, 4)
		order := make(chan string, 3)
		withPriority := func(priority int) Request {
			r := prompt(1000)
			r.Priority, r.LatencyTarget, r.Prompt.TargetMillis = priority, 3*time.Second, 3000
			return r
		}
		go acquireAndEnd(t, s, withPriority(2), "low", order)
		time.Sleep(100 * time.Millisecond)
		go acquireAndEnd(t, s, withPriority(1), "high", order)
		time.Sleep(priorityStep)
		go acquireAndEnd(t, s, withPriority(1), "later high", order)
		synctest.Wait()
		all[0].End()
		is.Equal(<-order, "high")
		is.Equal(<-order, "low")
		is.Equal(<-order, "later high")
	})
}

// Guards against an oversized prompt that a gateway admits because it has
// restarted at peak load and takes the engines for idle: its prompt shards
// stopped all answers for 0.7 s.
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
		is.True(overload.Refusal != nil)                  // the values that decided
		is.Equal(overload.Refusal.PrefillingShare, 1.0)
		is.Equal(err.Error(), "prompt needs 0.9 s of prefill; share of engines in prefill 1.00, in the last seconds 1.00")
	})
}

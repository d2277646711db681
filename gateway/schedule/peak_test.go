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

// Pattern: at the crest of a burst short prompts ask for more slots than there
// are. Guards against a queue that serves each of them just too late: a prompt
// that has waited for half of its target will be late, so the one that came a
// moment ago goes first.
func TestCrestServesThoseThatCanBeInTime(t *testing.T) {
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

// Pattern: the same. Guards against a place in the queue for a prompt whose
// caller leaves before it could be answered.
func TestCallersPatienceBoundsTheWait(t *testing.T) {
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

// Pattern: an engine falls silent at a crest and its answers go on elsewhere.
// Guards against the end of an answer that is half written because its time to
// start is over.
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

// Pattern: accounts of different priority at a crest. Guards against a priority
// that is not used, and against one that lets a less urgent request wait for
// as long as more urgent ones come.
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

// Pattern: a gateway is killed at the crest and starts again. Guards against a
// huge prompt that the new process lets in because it takes the engines for
// idle: its parts stopped all answers for 0.7 s.
func TestStartAtTheCrestRefusesHugePrompts(t *testing.T) {
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
		is.True(overload.Refusal != nil)                  // with what decided it
		is.Equal(overload.Refusal.PrefillingShare, 1.0)
		is.Equal(err.Error(), "the prompt takes 0.9 s to read and 1.00 of the engines read, 1.00 in the last seconds")
	})
}

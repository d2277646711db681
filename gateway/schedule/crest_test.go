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
		wait := func(name string) {
			a, err := s.Acquire(context.Background(), prompt(1000))
			is.NoErr(err)
			order <- name
			a.End()
		}
		go wait("late")
		time.Sleep(150 * time.Millisecond)
		go wait("in time")
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
		r.Patience = 2 * time.Second
		_, err := s.Acquire(context.Background(), r)
		var overload *OverloadError
		is.True(errors.As(err, &overload))
		is.Equal(time.Since(r.Arrived), 1700*time.Millisecond)
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
		wait := func(name string, priority int) {
			r := prompt(1000)
			r.Priority, r.LatencyTarget, r.Prompt.TargetMillis = priority, 3*time.Second, 3000
			a, err := s.Acquire(context.Background(), r)
			is.NoErr(err)
			order <- name
			a.End()
		}
		go wait("low", 2)
		time.Sleep(100 * time.Millisecond)
		go wait("high", 1)
		time.Sleep(rankTime)
		go wait("later high", 1)
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
			busy[fmt.Sprintf("s%d", i)] = dispatch.Load{Writers: 1, Context: 1000, GapMillis: 250, Reading: dispatch.PromptWork(5000)}
		}
		is.True(s.SetPeer("peer", busy, true))
		r := prompt(90_000)
		_, err := s.Acquire(context.Background(), r)
		var overload *OverloadError
		is.True(errors.As(err, &overload))
		is.Equal(time.Since(r.Arrived), time.Duration(0)) // at once
	})
}

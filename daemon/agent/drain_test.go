package agent

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/queue"
)

// stopDuringResumeRuns is the number of attempts to make Stop and the end of a
// mark overlap.
const stopDuringResumeRuns = 20_000

// Guards against an agent that accepts work while it stops, because the mark of
// its VM was removed at the same moment: the work would be cut by the end of the
// process.
func TestStopWhileTheMarkIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, stop := runAgent(t, &fakeEngine{kvTokens: 10_000})
		defer stop()
		accepting := 0
		for range stopDuringResumeRuns {
			a.stop, a.stopOnce = make(chan struct{}), sync.Once{}
			a.draining.Store(true) // the VM is marked
			var group sync.WaitGroup
			group.Go(a.resume)
			group.Go(func() {
				a.Stop()
				a.startDrain("stop requested")
			})
			group.Wait()
			if a.Ready() == nil || !a.load().Draining {
				accepting++
			}
		}
		is.Equal(accepting, 0)
		_, err := a.accept(t.Context(), newSubmit("r", 10, 10, time.Minute), time.Now())
		is.Equal(outcome.CodeOf(err), outcome.Draining)
	})
}

// drainDuringEnqueueRuns is the number of attempts to make the start of a drain
// and the arrival of a segment overlap.
const drainDuringEnqueueRuns = 20_000

// Guards against a drain that ends before a segment that was accepted while it
// started: the end of the process would cut it.
func TestDrainWaitsForAnEnteringSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, stop := runAgent(t, &fakeEngine{kvTokens: 10_000})
		defer stop()
		missed := 0
		for i := range drainDuringEnqueueRuns {
			a.draining.Store(false)
			var running atomic.Bool
			var group sync.WaitGroup
			group.Go(func() { holdSegment(a, &running) })
			for range i % 8 { // so that the drain starts at different points of the call
				runtime.Gosched()
			}
			a.draining.Store(true)
			a.awaitIdle(t.Context())
			synctest.Wait()
			if running.Load() {
				missed++
			}
			group.Wait()
		}
		is.Equal(missed, 0)
	})
}

// holdSegment queues the reservation of a segment and, if it is accepted, holds
// it for a second; running is set in that time.
func holdSegment(a *Agent, running *atomic.Bool) {
	now := time.Now()
	r := newRequest(context.Background(), newSubmit("r", 10, 10, time.Hour), now)
	defer r.cancel(nil)
	r.granted = func(queue.Grant) {}
	r.job = queue.Job{ID: "r", Account: "c", Weight: 1, Band: outcome.Long, PrefillTokens: 10, KVTokens: 20, Arrived: now, Deadline: r.deadline}
	if _, err := a.enqueue(r, now); err != nil {
		return
	}
	running.Store(true)
	time.Sleep(time.Second)
	running.Store(false)
	(&segment{agent: a, request: r}).release()
}

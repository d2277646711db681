package agent

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
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

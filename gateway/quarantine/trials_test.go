package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// unsent makes a request a trial that no server runs: sent is set if it is sent, to a server
// that does not run it.
func unsent(t *testing.T, l *List, sent bool, parts ...string) {
	t.Helper()
	is := is.New(t)
	r := track(l, "account0", parts...)
	defer r.Done()
	is.NoErr(r.Admit(context.Background()))
	if sent {
		r.Sent("s9")
		r.NotRun()
	}
}

// Guards against a trial that is lost because its first server has ended, and with it the
// quarantine of a sound part that lasts on.
func TestTrialThatDidNotRunGoesToAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := gateways(t, newMemoryStore(), 2, 0)
		convict(lists[:1], "p")
		time.Sleep(trialDelays[0])
		r := track(lists[0], "account0", "p")
		defer r.Done()
		is.NoErr(r.Admit(context.Background()))
		r.Sent("s9")
		r.NotRun()
		is.NoErr(r.Admit(context.Background()))
		r.Sent("s10")
		r.Answered()
		time.Sleep(time.Second)
		is.True(!refuses(lists[1], "any", "p"))
	})
}

// Guards against trials that are lost because no server could take them, as after crashes of
// many servers: the next one would come after minutes or hours.
func TestTrialThatNoServerRanIsReturned(t *testing.T) {
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			lists := gateways(t, store, 2, 0)
			convict(lists[:1], "p")
			time.Sleep(trialDelays[0])
			for i := range 8 {
				unsent(t, lists[i%2], sent, "p")
				is.True(refuses(lists[0], "account0", "p"))
				time.Sleep(returnedTrialDelay + 100*time.Millisecond)
			}
			late := New(Options{VM: "late", Log: lists[0].Log, Store: store})
			late.Replace(store.list())
			for _, l := range append(lists, late) {
				is.Equal(l.Entries()[0].Trials, 0)
			}
			is.True(answer(late, "account0", "p"))
		})
	}
}

// Guards against trials of a part that crashes servers which come sooner than allowed,
// because a request that has run, or another trial, counts as one that no server has run.
func TestTrialThatRanIsNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := gateways(t, newMemoryStore(), 1, 0)[0]
		convict([]*List{l}, "p")
		time.Sleep(trialDelays[0])
		is.True(crash(l, "s9", "account0", "p"))
		time.Sleep(returnedTrialDelay + 100*time.Millisecond)
		is.True(refuses(l, "account0", "p"))
		is.Equal(l.Entries()[0].Trials, 1)
	})
}

package fleetconf

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"camphorwick.dev/cloud/memkv"
	"github.com/matryer/is"
)

// runWatcher runs a watcher until the end of the test.
func runWatcher(t *testing.T, store *memkv.Store, r *Replica) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewWatcher(store, r, nil).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against watchers that call the store too often while there are no edits or
// it is unavailable, and against edits that arrive later than 5 s after an outage.
func TestWatcherCallsAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := memkv.New(), NewReplica()
		runWatcher(t, store, r)
		time.Sleep(time.Hour)
		idle := store.Calls()
		perHour := int(time.Hour / (headReadInterval / 2)) // a watch lasts at least half of headReadInterval
		is.True(idle.Reads <= perHour+1)
		is.True(idle.Watches <= perHour+1)

		store.SetDown(true)
		time.Sleep(time.Hour)
		down := store.Calls()
		// A delay is at least half of maxWatchBackoff after the first failures, for
		// which 10 calls are added.
		is.True(down.Reads-idle.Reads+down.Watches-idle.Watches <= int(time.Hour/(maxWatchBackoff/2))+10)
		store.SetDown(false)
		_, err := NewEditor(store, NewReplica()).Commit(t.Context(), edit("a", gold()))
		is.NoErr(err)
		time.Sleep(5 * time.Second) // the limit for edits after an outage
		is.Equal(r.Revision(), uint64(1))
	})
}

// Guards against a head that is not written back after it was deleted or the store
// was restored without it.
func TestWatcherRestoresDeletedHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := memkv.New(), NewReplica()
		editor := NewEditor(store, r)
		_, err := editor.Commit(t.Context(), edit("a", gold()))
		is.NoErr(err)
		runWatcher(t, store, r)
		time.Sleep(time.Second)
		store.Restore(nil)
		time.Sleep(headReadInterval) // the watcher reads the head at least this often
		head, _, err := storage{store}.readHead(t.Context())
		is.NoErr(err)
		is.Equal(head.Revision, uint64(1))
		is.Equal(head.Edits[0].Id, "a") // needed to resolve lost responses
		_, err = editor.Commit(t.Context(), edit("b", change("mark/vm", `{"state":"leaving"}`, 0)))
		is.NoErr(err)
	})
}

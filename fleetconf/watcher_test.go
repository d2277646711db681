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

// Guards against watchers that call the store too often while it is idle or
// unavailable, and against edits that arrive later than 5 s after an outage.
func TestWatcherCallsAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := memkv.New(), NewReplica()
		runWatcher(t, store, r)
		time.Sleep(time.Hour)
		idle := store.Calls()
		perHour := int(time.Hour / (headReadInterval / 2))
		is.True(idle.Reads <= perHour+1)
		is.True(idle.Watches <= perHour+1)

		store.SetDown(true)
		time.Sleep(time.Hour)
		down := store.Calls()
		is.True(down.Reads-idle.Reads+down.Watches-idle.Watches <= int(time.Hour/(maxWatchBackoff/2))+10)
		store.SetDown(false)
		_, err := NewEditor(store, NewReplica()).Commit(t.Context(), edit("a", gold()))
		is.NoErr(err)
		time.Sleep(5 * time.Second) // the stated limit
		is.Equal(r.Revision(), uint64(1))
	})
}

// Guards against a head that is deleted, or lost in a restore, and is not
// written back.
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
		time.Sleep(headReadInterval)
		head, _, err := storage{store}.readHead(t.Context())
		is.NoErr(err)
		is.Equal(head.Revision, uint64(1))
		is.Equal(head.Edits[0].Id, "a") // needed to resolve lost responses
		_, err = editor.Commit(t.Context(), edit("b", change("mark/vm", `{"state":"leaving"}`, 0)))
		is.NoErr(err)
	})
}

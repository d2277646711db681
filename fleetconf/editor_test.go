package fleetconf

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

func change(key, value string, expected uint64) *wire.ItemChange {
	return &wire.ItemChange{Key: key, Value: []byte(value), ExpectedRevision: expected}
}

func edit(id string, changes ...*wire.ItemChange) *wire.Edit {
	return &wire.Edit{Id: id, Operator: "op-" + id, Changes: changes}
}

// Guards against accepted edits that do not reach the replica of a watcher, and
// against indexes of API keys and plans that do not follow them.
func TestEditReachesWatcher(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	store := memkv.New()
	editor, follower := NewEditor(store, NewReplica()), NewReplica()
	go func() { _ = NewWatcher(store, follower, nil).Run(ctx) }()
	revision, err := editor.Commit(ctx, edit("a", change("plan/gold", `{"models":["m"]}`, 0), change("client/x", `{"plan":"gold","key_hashes":["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]}`, 0)))
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	for {
		changed := follower.Changed()
		if follower.Revision() >= revision {
			break
		}
		<-changed
	}
	account, _, ok := follower.Config().ClientByKey("foo")
	is.True(ok)
	is.Equal(account, "x")
	plan, ok := follower.Config().PlanOf("x")
	is.True(ok && plan.AllowsModel("m"))
	_, err = editor.Commit(ctx, edit("b", change("plan/gold", `{"models":["n"]}`, 0))) // the item has revision 1
	is.Equal(outcome.CodeOf(err), outcome.EditConflict)
}

func gold() *wire.ItemChange { return change("plan/gold", `{"models":["m"]}`, 0) }

func account(name string, expected uint64, keys ...string) *wire.ItemChange {
	hashes := make([]string, len(keys))
	for i, k := range keys {
		hashes[i] = hashKey(k)
	}
	value, _ := json.Marshal(Client{Plan: "gold", KeyHashes: hashes})
	return change("client/"+name, string(value), expected)
}

// Guards against edits that leave an account without a plan, delete a plan in use
// or assign a key to two accounts.
func TestReferencesAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		changes []*wire.ItemChange
		item    string // the item that the error names; "" if the edit is valid
	}{
		"unknown plan":          {[]*wire.ItemChange{change("client/b", `{"plan":"none"}`, 0)}, "client/b"},
		"plan in use":           {[]*wire.ItemChange{change("plan/gold", "", 1)}, "plan/gold"},
		"plan and its account":  {[]*wire.ItemChange{change("plan/gold", "", 1), change("client/a", "", 1)}, ""},
		"key of another":        {[]*wire.ItemChange{account("b", 0, "k")}, "client/b"},
		"key twice in one edit": {[]*wire.ItemChange{account("b", 0, "n"), account("c", 0, "n")}, "client/b"},
		"key moves":             {[]*wire.ItemChange{account("b", 0, "k"), account("a", 1)}, ""},
		"key moves, reversed":   {[]*wire.ItemChange{account("a", 1), account("b", 0, "k")}, ""},
		"item twice":            {[]*wire.ItemChange{account("b", 0), account("b", 0, "n")}, "client/b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica := NewReplica()
			editor := NewEditor(memkv.New(), replica)
			// Account a has the plan gold and the API key k.
			_, err := editor.Commit(t.Context(), edit("a", gold(), account("a", 0, "k")))
			is.NoErr(err)
			_, err = editor.Commit(t.Context(), edit("b", c.changes...))
			if c.item == "" {
				is.NoErr(err)
				if owner, _, ok := replica.Config().ClientByKey("k"); ok {
					is.Equal(owner, "b") // the key has moved
				}
				return
			}
			var invalid *ValidationError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Item, c.item)
			is.Equal(outcome.CodeOf(err), outcome.InvalidRequest)
			is.Equal(replica.Revision(), uint64(1))
		})
	}
}

// Guards against conflicts that do not name the other edit, against rejecting an
// edit that sets the value already in force, and against accepting an edit whose id
// belongs to another one.
func TestConflictNamesTheOtherEdit(t *testing.T) {
	is := is.New(t)
	store := memkv.New()
	editor := NewEditor(store, NewReplica())
	_, err := editor.Commit(t.Context(), edit("a", gold()))
	is.NoErr(err)
	_, err = editor.Commit(t.Context(), edit("b", change("plan/gold", `{"models":["n"]}`, 1)))
	is.NoErr(err)
	_, err = editor.Commit(t.Context(), edit("c", change("plan/gold", `{"models":["o"]}`, 1)))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, ConflictError{Item: "plan/gold", Expected: 1, Actual: 2, Operator: "op-b", EditID: "b"})
	is.Equal(outcome.CodeOf(err), outcome.EditConflict)
	revision, err := editor.Commit(t.Context(), edit("d", change("plan/gold", ` {"models": ["n"]}`, 1)))
	is.NoErr(err) // the value of edit b, only formatted differently
	is.Equal(revision, uint64(2))
	_, err = editor.Commit(t.Context(), edit("b", change("plan/gold", `{"models":["x"]}`, 2)))
	var reused *ReusedEditError
	is.True(errors.As(err, &reused))
}

// Guards against a Commit that reports an edit as rejected although its write may
// have taken effect, or that applies an edit twice. This happens if the store is
// unavailable or its responses are lost.
func TestLostResponsesAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		editor := NewEditor(store, NewReplica())
		store.SetDown(true)
		_, err := editor.Commit(t.Context(), edit("a", gold()))
		is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
		store.SetDown(false)

		// After a lost response, Commit has to find the edit in the head; after a lost
		// request, it has to write it again.
		for i, c := range []struct {
			fault  memkv.Fault
			edit   *wire.Edit
			writes int
		}{
			{memkv.LoseAnswer, edit("a", gold()), 1},
			{memkv.LoseRequest, edit("a2", change("mark/other", `{"state":"leaving"}`, 0)), 2},
		} {
			writes := 0
			store.SetPutFault(func(string) memkv.Fault {
				writes++
				if writes > 1 {
					return memkv.None
				}
				return c.fault
			})
			revision, err := editor.Commit(t.Context(), c.edit)
			is.NoErr(err)
			is.Equal(revision, uint64(i+1))
			is.Equal(writes, c.writes)
		}

		// The write takes effect, but its response is lost and the store is down
		// when the head is read again.
		kv := &downAfterWrite{Store: store}
		editor = NewEditor(kv, NewReplica())
		store.SetPutFault(func(string) memkv.Fault { return memkv.LoseAnswer })
		second := edit("b", change("mark/vm", `{"state":"leaving"}`, 0))
		_, err = editor.Commit(t.Context(), second)
		var inDoubt *InDoubtError
		is.True(errors.As(err, &inDoubt)) // the write may have taken effect
		is.Equal(outcome.CodeOf(err), outcome.EditInDoubt)
		is.Equal(inDoubt.EditID, "b")

		store.SetDown(false)
		store.SetPutFault(nil)
		second.Revision = inDoubt.Since // required when an edit is submitted again
		revision, err := editor.Commit(t.Context(), second)
		is.NoErr(err)
		is.Equal(revision, uint64(3))
	})
}

// downAfterWrite is a store that becomes unavailable after each write.
type downAfterWrite struct{ *memkv.Store }

func (s *downAfterWrite) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	defer s.SetDown(true)
	return s.Store.Put(ctx, key, value, expected, lease)
}

// Guards against an edit that takes effect twice because it is submitted again
// after its id was dropped from the head.
func TestExpiredEditIsNotAppliedAgain(t *testing.T) {
	is := is.New(t)
	editor := NewEditor(memkv.New(), NewReplica())
	first := edit("first", change("mark/vm", `{"state":"leaving"}`, 0))
	_, err := editor.Commit(t.Context(), edit("zero", gold()))
	is.NoErr(err)
	revision, err := editor.Commit(t.Context(), first)
	is.NoErr(err)
	_, err = editor.Commit(t.Context(), edit("undo", change("mark/vm", "", revision)))
	is.NoErr(err)
	toggleMark(is, t.Context(), editor, MaxHeadEdits+1)
	first.Revision = revision - 1
	_, err = editor.Commit(t.Context(), first)
	var expired *ExpiredEditError
	is.True(errors.As(err, &expired))
	is.Equal(outcome.CodeOf(err), outcome.EditInDoubt)
	_, marked := editor.replica.Config().Mark("vm")
	is.True(!marked)
}

// toggleMark commits n edits that change the state of one mark back and forth.
func toggleMark(is *is.I, ctx context.Context, editor *Editor, n int) {
	for i := range n {
		var expected uint64
		if item, ok := editor.replica.Config().Item("mark/flip"); ok {
			expected = item.Revision
		}
		state := []MarkState{Leaving, Stopping}[i%2]
		_, err := editor.Commit(ctx, edit(fmt.Sprintf("flip-%d-%d", expected, i),
			change("mark/flip", fmt.Sprintf(`{"state":%q}`, state), expected)))
		is.NoErr(err)
	}
}

// Guards against a head with too many edits, old snapshots that are not deleted,
// and new processes that cannot load a snapshot.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	store := memkv.New()
	editor := NewEditor(store, NewReplica())
	for i := range 8 {
		plan := fmt.Sprintf(`{"models":["m%s"]}`, strings.Repeat("x", 100))
		_, err := editor.Commit(t.Context(), edit(fmt.Sprintf("p%d", i), change(fmt.Sprintf("plan/p%d", i), plan, 0)))
		is.NoErr(err)
	}
	toggleMark(is, t.Context(), editor, 4*MaxHeadEdits)
	head, _, err := storage{store}.readHead(t.Context())
	is.NoErr(err)
	is.True(len(head.Edits) <= MaxHeadEdits)
	is.True(head.BaseRevision > 3*MaxHeadEdits) // the base is one of the latest revisions
	keys, err := store.List(t.Context(), SnapshotPrefix)
	is.NoErr(err)
	is.True(len(keys) <= 2) // the base and the previous one

	fresh := NewReplica()
	w := NewWatcher(store, fresh, nil)
	is.NoErr(w.loadHead(t.Context(), head))
	is.True(proto.Equal(fresh.Config().Snapshot(), editor.replica.Config().Snapshot()))
}

// Guards against old snapshots that stay in the store without a trace in the log: a
// call of their deletion fails. The next deletion must remove them all the same.
func TestFailedDeletionOfSnapshots(t *testing.T) {
	for _, failing := range []memkv.Operation{memkv.List, memkv.Get, memkv.Delete} {
		t.Run(string(failing), func(t *testing.T) {
			is := is.New(t)
			store := memkv.New()
			var log bytes.Buffer
			editor := NewEditor(store, NewReplica())
			editor.Log = slog.New(slog.NewTextHandler(&log, nil))
			store.SetFault(func(o memkv.Operation, key string) memkv.Fault {
				if o == failing && strings.HasPrefix(key, SnapshotPrefix) {
					return memkv.LoseRequest
				}
				return memkv.None
			})
			toggleMark(is, t.Context(), editor, 4*MaxHeadEdits)
			is.True(strings.Contains(log.String(), "old snapshots not deleted"))
			store.SetFault(nil)
			toggleMark(is, t.Context(), editor, MaxHeadEdits)
			keys, err := store.List(t.Context(), SnapshotPrefix)
			is.NoErr(err)
			is.True(len(keys) <= 2)
		})
	}
}

// Guards against large edits that make the head exceed the value limit of the
// store, and against a configuration that does not fit in a control message.
func TestSizeLimits(t *testing.T) {
	is := is.New(t)
	store := memkv.New()
	editor := NewEditor(store, NewReplica())
	var last error
	for i := 0; last == nil && i < 1000; i++ {
		models := make([]string, 500)
		for j := range models {
			models[j] = fmt.Sprintf("%d-%s", j, strings.Repeat("m", 100))
		}
		value, _ := json.Marshal(Plan{Models: models})
		var changes []*wire.ItemChange
		// Four documents of about 53 KB, close to MaxEditBytes.
		for j := range 4 {
			changes = append(changes, change(fmt.Sprintf("plan/p%d-%d", i, j), string(value), 0))
		}
		_, last = editor.Commit(t.Context(), edit(fmt.Sprintf("e%d", i), changes...))
	}
	is.Equal(outcome.CodeOf(last), outcome.InvalidRequest)
	config := editor.replica.Config()
	is.True(proto.Size(config.Snapshot()) <= MaxSnapshotBytes)
	is.True(proto.Size(config.Snapshot()) <= config.SnapshotBytes())
	update := editor.replica.UpdateSince(0, 2<<20) // 2 MiB, the maximum size of a control message
	is.True(update != nil && proto.Size(update) <= 2<<20)
	fresh := NewReplica()
	head, _, err := storage{store}.readHead(t.Context())
	is.NoErr(err)
	is.NoErr(NewWatcher(store, fresh, nil).loadHead(t.Context(), head))
	is.Equal(fresh.Revision(), config.Revision())
}

// Guards against reusing revision numbers after the store was restored from an
// older copy. An editor must reject edits if its replica has a higher revision than
// the store, and also if only a peer has reported one.
func TestStaleStoreRefusesEdits(t *testing.T) {
	is := is.New(t)
	store := memkv.New()
	replica := NewReplica()
	editor := NewEditor(store, replica)
	_, err := editor.Commit(t.Context(), edit("a", gold()))
	is.NoErr(err)
	store.Restore(nil)
	other := NewReplica()
	other.ObservePeerRevision(1)
	for _, e := range []*Editor{editor, NewEditor(store, other)} {
		_, err = e.Commit(t.Context(), edit("b", change("mark/vm", `{"state":"leaving"}`, 0)))
		var stale *StaleStoreError
		is.True(errors.As(err, &stale))
		is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
	}
}

// Guards against losing edits that a process with an older replica committed after
// the store was restored from an older copy.
func TestRestoreKeepsEditsOfOthers(t *testing.T) {
	is := is.New(t)
	store := memkv.New()
	ahead, behind := NewReplica(), NewReplica()
	commit := func(r *Replica, e *wire.Edit) {
		_, err := NewEditor(store, r).Commit(t.Context(), e)
		is.NoErr(err)
	}
	commit(ahead, edit("a", gold()))
	copied := map[string][]byte{}
	record, _ := store.Get(t.Context(), HeadKey)
	copied[HeadKey] = record.Value
	commit(ahead, edit("b", change("mark/b", `{"state":"leaving"}`, 0)))
	commit(ahead, edit("c", change("mark/c", `{"state":"leaving"}`, 0)))
	store.Restore(copied)
	commit(behind, edit("d", change("mark/d", `{"state":"leaving"}`, 0)))
	is.Equal(behind.Revision(), uint64(2)) // reuses the number of edit b
	is.NoErr(NewWatcher(store, ahead, nil).repair(t.Context()))
	is.True(ahead.Revision() > 3) // higher than those of edits a to d
	for _, vm := range []string{"b", "c", "d"} {
		_, ok := ahead.Config().Mark(vm)
		is.True(ok)
	}
}

// Guards against two processes that keep different edits with the same revision.
// After the store was restored from an older copy, the second process has committed
// as many edits to it as the first one has lost, or more.
func TestDivergedReplicasAreMerged(t *testing.T) {
	t.Run("equal", func(t *testing.T) { testMergeHistories(t, "c") })
	t.Run("longer", func(t *testing.T) { testMergeHistories(t, "c", "d") })
}

func testMergeHistories(t *testing.T, otherEdits ...string) {
	is := is.New(t)
	store := memkv.New()
	ours, theirs := NewReplica(), NewReplica()
	commit := func(r *Replica, e *wire.Edit) {
		_, err := NewEditor(store, r).Commit(t.Context(), e)
		is.NoErr(err)
	}
	commit(ours, edit("a", gold()))
	record, _ := store.Get(t.Context(), HeadKey) // the older copy, which lacks edit b
	commit(ours, edit("b", change("mark/b", `{"state":"leaving"}`, 0)))
	peer := NewReplica()
	_, err := peer.Apply(ours.UpdateSince(0, 1<<20))
	is.NoErr(err)
	store.Restore(map[string][]byte{HeadKey: record.Value})
	for _, vm := range otherEdits {
		commit(theirs, edit(vm, change("mark/"+vm, `{"state":"leaving"}`, 0)))
	}

	_, err = NewEditor(store, ours).Commit(t.Context(), edit("e", change("mark/e", `{"state":"leaving"}`, 0)))
	var diverged *DivergedError
	is.True(errors.As(err, &diverged)) // edit e must not follow the edits of the other process
	is.NoErr(NewWatcher(store, ours, nil).repair(t.Context()))
	head, _, err := storage{store}.readHead(t.Context())
	is.NoErr(err)
	is.NoErr(NewWatcher(store, theirs, nil).loadHead(t.Context(), head))
	_, err = peer.Apply(ours.UpdateSince(peer.Revision(), 1<<20))
	is.NoErr(err)
	for _, r := range []*Replica{ours, theirs, peer} {
		is.True(proto.Equal(r.Config().Snapshot(), ours.Config().Snapshot()))
		for _, vm := range append(otherEdits, "b") {
			_, ok := r.Config().Mark(vm)
			is.True(ok)
		}
	}
}

// untypedStore performs writes but fails with an error that is not a type of
// package cloud.
type untypedStore struct{ *memkv.Store }

func (s *untypedStore) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	_, _ = s.Store.Put(ctx, key, value, expected, lease)
	return 0, context.DeadlineExceeded
}

// Guards against reporting an edit as not accepted although the write may have taken
// effect, because the error of the store is of an unknown type.
func TestUntypedWriteErrorIsInDoubt(t *testing.T) {
	is := is.New(t)
	_, err := NewEditor(&untypedStore{memkv.New()}, NewReplica()).Commit(t.Context(), edit("a", gold()))
	is.Equal(outcome.CodeOf(err), outcome.EditInDoubt)
}

// secondWriteFails is a store that becomes unavailable before the second write.
type secondWriteFails struct {
	*memkv.Store
	writes int
}

func (s *secondWriteFails) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	s.writes++
	s.SetDown(s.writes == 2)
	return s.Store.Put(ctx, key, value, expected, lease)
}

// Guards against reporting an edit as not accepted while its first write is delayed
// and may still take effect. Neither reading the head, which does not hold the edit
// yet, nor the failure of the second write excludes that.
func TestHeldWriteStaysInDoubt(t *testing.T) {
	is := is.New(t)
	store := memkv.New()
	store.SetPutFault(func(string) memkv.Fault { return memkv.Hold })
	e := edit("a", gold())
	_, err := NewEditor(&secondWriteFails{Store: store}, NewReplica()).Commit(t.Context(), e)
	var inDoubt *InDoubtError
	is.True(errors.As(err, &inDoubt))
	store.SetDown(false)
	store.SetPutFault(nil)
	store.ReleaseHeld()
	e.Revision = inDoubt.Since
	revision, err := NewEditor(store, NewReplica()).Commit(t.Context(), e)
	is.NoErr(err)
	is.Equal(revision, uint64(1))
}

package fleetconf

import (
	"context"
	"testing"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/platform/memkv"
	"github.com/matryer/is"
)

func change(key, value string, expected uint64) *wire.ItemChange {
	return &wire.ItemChange{Key: key, Value: []byte(value), ExpectedRevision: expected}
}

func edit(id string, changes ...*wire.ItemChange) *wire.Edit {
	return &wire.Edit{Id: id, Operator: "op-" + id, Changes: changes}
}

// Guards against a watcher that does not deliver accepted edits.
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
	_, err = editor.Commit(ctx, edit("b", change("plan/gold", `{"models":["n"]}`, 0)))
	is.Equal(outcome.CodeOf(err), outcome.EditConflict)
}

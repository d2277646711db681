package fleetconf

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"camphorwick.dev/api/wire"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func markEdit(revision uint64) *wire.Edit {
	e := edit(fmt.Sprint(revision), change(fmt.Sprintf("mark/vm%d", revision%7), `{"state":"leaving"}`, 0))
	e.Revision = revision
	return e
}

func replicaAt(revision uint64) *Replica {
	r := NewReplica()
	for i := uint64(1); i <= revision; i++ {
		_, _ = r.Apply(&wire.ConfigUpdate{Edits: []*wire.Edit{markEdit(i)}})
	}
	return r
}

// Guards against replicas that return to an older revision, skip edits or change
// although Apply fails.
func TestReplicaOnlyAdvances(t *testing.T) {
	is := is.New(t)
	r := replicaAt(5)
	changed := r.Changed()
	for _, u := range []*wire.ConfigUpdate{nil, {}, {Edits: []*wire.Edit{markEdit(5)}},
		{Snapshot: &wire.ConfigSnapshot{Revision: 4}}, {Snapshot: &wire.ConfigSnapshot{Revision: 5}}} {
		got, err := r.Apply(u)
		is.NoErr(err)
		is.True(!got)
	}
	before := r.Config()
	_, err := r.Apply(&wire.ConfigUpdate{Edits: []*wire.Edit{markEdit(6), markEdit(8)}})
	var missing *MissingRevisionsError
	is.True(errors.As(err, &missing))
	is.Equal(*missing, MissingRevisionsError{Have: 6, Got: 8}) // edit 6 alone could have been applied
	is.True(r.Config() == before)
	select {
	case <-changed:
		t.Fatal("Changed was signalled without a change")
	default:
	}
	got, err := r.Apply(&wire.ConfigUpdate{Edits: []*wire.Edit{markEdit(5), markEdit(6), markEdit(7)}})
	is.NoErr(err)
	is.True(got)
	is.Equal(r.Revision(), uint64(7))
	<-changed
	is.Equal(before.Revision(), uint64(5)) // a held Config does not change
}

// Guards against updates that exceed maxBytes, against a replica that does not reach
// the revision of the other one by repeated updates, and against replicas that
// differ at the same revision.
func TestUpdateSinceCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := replicaAt(uint64(rapid.IntRange(0, 400).Draw(t, "source")))
		target := replicaAt(uint64(rapid.IntRange(0, 400).Draw(t, "target")))
		maxBytes := rapid.IntRange(1000, 4000).Draw(t, "maxBytes")
		for {
			u := source.UpdateSince(target.Revision(), maxBytes)
			if u == nil {
				break
			}
			if proto.Size(u) > maxBytes {
				t.Fatalf("update of %d bytes, at most %d are allowed", proto.Size(u), maxBytes)
			}
			if changed, err := target.Apply(u); err != nil || !changed {
				t.Fatalf("changed %v, error %v", changed, err)
			}
		}
		if target.Revision() < source.Revision() {
			t.Fatalf("stuck at revision %d of %d", target.Revision(), source.Revision())
		}
		if target.Revision() == source.Revision() && !proto.Equal(target.Config().Snapshot(), source.Config().Snapshot()) {
			t.Fatal("replicas of one revision differ")
		}
	})
}

// Guards against a process of an older version that rejects edits because they
// contain a field or kind of item added in a newer version.
func TestReplicaFollowsNewerVersions(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	// "later" is an unknown field, "quota" an unknown kind of item.
	e := edit("a", change("plan/gold", `{"models":["m"],"later":1}`, 0), change("quota/x", `{}`, 0))
	e.Revision = 1
	_, err := r.Apply(&wire.ConfigUpdate{Edits: []*wire.Edit{e}})
	is.NoErr(err)
	plan, ok := r.Config().Plan("gold")
	is.True(ok && plan.AllowsModel("m"))
}

// Guards against counting confirmations of an earlier epoch, against a revision that
// decreases within an epoch, and against leaving unresponsive processes out of the
// unconfirmed ones.
func TestTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	confirmation := func(vm string, epoch, revision uint64, age uint32) *wire.Confirmation {
		return &wire.Confirmation{Vm: vm, Epoch: epoch, ConfigRevision: revision, AgeMs: age}
	}
	tracker.Merge(now, confirmation("a", 2, 7, 0), confirmation("a", 1, 9, 0), confirmation("b", 1, 7, 0), confirmation("b", 1, 6, 0), confirmation("c", 1, 6, 900))
	status := tracker.InForce(now, 7, "a", "d") // d is expected but has never reported
	is.Equal(status.Confirmed, 2)               // a in epoch 2, and b with the higher one of its revisions
	is.Equal(status.Total, 4)
	is.Equal(status.Missing[0].Vm, "c")
	is.Equal(status.Missing[0].AgeMs, uint32(900))
	is.Equal(status.Missing[1].Vm, "d")
	is.Equal(tracker.InForce(now, 8).Confirmed, 0) // revision 9 was confirmed by an earlier epoch
	tracker.Merge(now, confirmation("a", 3, 1, 0)) // a has restarted with revision 1
	is.Equal(tracker.InForce(now, 7).Confirmed, 1)
	is.Equal(tracker.InForce(now.Add(time.Minute), 7).Total, 3) // reports of a, b and confirmation
	is.Equal(tracker.InForce(now.Add(ConfirmationLifetime+time.Second), 7).Total, 0)
}

// Guards against data centres with a wrong number of watchers, and against a
// selection that changes when an entry that is not a watcher leaves.
func TestIsWatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "entries")
		var live []LiveEntry
		for i := range n {
			live = append(live, LiveEntry{fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i%3)})
		}
		perCentre := map[string]int{}
		var nonWatcher int
		for i, e := range live {
			if IsWatcher(e.VM, live, 2) {
				perCentre[e.DataCentre]++
			} else {
				nonWatcher = i
			}
		}
		for i := range min(n, 3) {
			// The n entries are assigned to 3 data centres in turn, so data centre i
			// has (n-i)/3 of them, rounded up.
			centre, size := fmt.Sprintf("dc-%d", i), (n-i+2)/3
			if perCentre[centre] != min(2, size) {
				t.Fatalf("%s has %d watchers of %d entries", centre, perCentre[centre], size)
			}
		}
		if IsWatcher(live[nonWatcher].VM, live, 2) { // all entries are watchers
			return
		}
		rest := append(append([]LiveEntry{}, live[:nonWatcher]...), live[nonWatcher+1:]...)
		for _, e := range rest {
			if IsWatcher(e.VM, live, 2) != IsWatcher(e.VM, rest, 2) {
				t.Fatalf("the selection of %s changed when an entry that is not a watcher left", e.VM)
			}
		}
	})
}

// Guards against a log that loses or duplicates edits when it is shortened, and
// against a replica that drops the log, which peers may need, when it adopts a
// configuration from the store.
func TestLogIsKept(t *testing.T) {
	is := is.New(t)
	const first = 2*MinLogEdits + 1 // the log was shortened by the last edit
	r := replicaAt(first)
	check := func() {
		s := r.state.Load()
		is.True(len(s.log) >= MinLogEdits && len(s.log) <= 2*MinLogEdits)
		for i, e := range s.log {
			is.Equal(e.Revision, s.config.revision-uint64(len(s.log)-1-i)) // without gaps up to the current one
			is.True(s.editAt(e.Revision) == e)
		}
	}
	check()
	config, err := r.Config().apply(markEdit(first + 1))
	is.NoErr(err)
	r.adopt(config, []*wire.Edit{markEdit(first), markEdit(first + 1)})
	is.Equal(r.Revision(), uint64(first+1))
	check()
}

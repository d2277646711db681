package fleetconf

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// recordingStore records every edit that a process reads from the store. Different
// edits with one revision and different revisions of one edit id are violations.
type recordingStore struct {
	*memkv.Store
	// writing is read-locked during a write, so that no restore happens between
	// the effect of a write and its response.
	writing    sync.RWMutex
	mu         sync.Mutex            // guards the fields below
	edits      map[uint64]*wire.Edit // by revision
	ids        map[string]uint64     // revisions by edit id
	violations []string
}

func (s *recordingStore) record(key string, e cloud.Record) {
	head := &wire.ConfigHead{}
	if key != HeadKey || proto.Unmarshal(e.Value, head) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range head.Edits {
		if old, ok := s.edits[e.Revision]; ok && !proto.Equal(old, e) {
			s.violations = append(s.violations, fmt.Sprintf("revision %d is edit %s and edit %s", e.Revision, old.Id, e.Id))
		}
		if old, ok := s.ids[e.Id]; ok && old != e.Revision {
			s.violations = append(s.violations, fmt.Sprintf("edit %s has revisions %d and %d", e.Id, old, e.Revision))
		}
		s.edits[e.Revision], s.ids[e.Id] = e, e.Revision
	}
}

func (s *recordingStore) Get(ctx context.Context, key string) (cloud.Record, error) {
	e, err := s.Store.Get(ctx, key)
	s.record(key, e)
	return e, err
}

func (s *recordingStore) Watch(ctx context.Context, key string, after uint64) (cloud.Record, error) {
	e, err := s.Store.Watch(ctx, key, after)
	s.record(key, e)
	return e, err
}

func (s *recordingStore) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	s.writing.RLock()
	defer s.writing.RUnlock()
	return s.Store.Put(ctx, key, value, expected, lease)
}

func (s *recordingStore) dump(ctx context.Context) map[string][]byte {
	values := map[string][]byte{} // the form that Restore accepts
	keys, _ := s.List(ctx, "config/")
	for _, key := range keys {
		e, _ := s.Get(ctx, key)
		values[key] = e.Value
	}
	return values
}

type process struct {
	replica *Replica
	editor  *Editor
	stop    context.CancelFunc
}

// action is one step of a random fault schedule.
type action struct {
	Kind    string
	Process int           // index of the process that is restarted or commits the edit
	Item    int           // number of the item that the edit changes
	Stale   bool          // the edit expects that the item does not exist
	Delete  bool          // the edit deletes the item
	Delay   time.Duration // after some of the actions
}

func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			// Kinds that are listed several times are drawn more often.
			Kind: rapid.SampledFrom([]string{"edit", "edit", "edit", "edit", "edit", "edit", "sleep", "sleep",
				"lose-answer", "lose-request", "hold", "release", "down", "up", "backup", "restore", "restart"}).Draw(t, "kind"),
			Process: rapid.IntRange(0, processes-1).Draw(t, "process"),
			Item:    rapid.IntRange(0, 2).Draw(t, "item"),
			Stale:   rapid.IntRange(0, 5).Draw(t, "stale") == 0,
			Delete:  rapid.IntRange(0, 5).Draw(t, "delete") == 0,
			Delay:   time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond,
		}
	}), 20, 90).Draw(t, "actions")
}

const processes = 4

// fleet runs a schedule in virtual time.
type fleet struct {
	ctx       context.Context
	store     *recordingStore
	mu        sync.Mutex // guards the fields below
	processes []*process
	backup    map[string][]byte
	faults    []memkv.Fault
	results   []*result
	clock     int64
	pending   sync.WaitGroup
	headEdits int // Editor.headEdits of all processes
}

// result is the result of a Commit. called and returned are times of fleet.clock.
type result struct {
	edit             *wire.Edit
	revision         uint64
	err              error
	called, returned int64
}

func (f *fleet) tick() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock++
	return f.clock
}

func newFleet(ctx context.Context, headEdits int) *fleet {
	f := &fleet{ctx: ctx, headEdits: headEdits, store: &recordingStore{Store: memkv.New(), edits: map[uint64]*wire.Edit{}, ids: map[string]uint64{}}}
	f.processes = make([]*process, processes)
	for i := range f.processes {
		f.startProcess(i)
	}
	f.store.SetFault(func(memkv.Operation, string) memkv.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.faults) == 0 {
			return memkv.None
		}
		next := f.faults[0]
		f.faults = f.faults[1:]
		return next
	})
	go f.exchangeUpdates()
	return f
}

func (f *fleet) startProcess(i int) {
	ctx, stop := context.WithCancel(f.ctx)
	r := NewReplica()
	p := &process{replica: r, editor: NewEditor(f.store, r), stop: stop}
	p.editor.headEdits, p.editor.keptEdits = f.headEdits, f.headEdits/2 // frequent snapshots
	f.mu.Lock()
	f.processes[i] = p
	f.mu.Unlock()
	f.exchangeHeartbeats()
	go func() { _ = NewWatcher(f.store, r, nil).Run(ctx) }()
}

func (f *fleet) live() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*process
	for _, p := range f.processes {
		if p != nil {
			live = append(live, p)
		}
	}
	return live
}

// highest returns the highest revision of all replicas and how many have it.
func (f *fleet) highest() (revision uint64, holders int) {
	for _, p := range f.live() {
		switch r := p.replica.Revision(); {
		case r > revision:
			revision, holders = r, 1
		case r == revision:
			holders++
		}
	}
	return revision, holders
}

func (f *fleet) exchangeHeartbeats() {
	revision, _ := f.highest()
	for _, p := range f.live() {
		p.replica.ObservePeerRevision(revision)
	}
}

func (f *fleet) exchangeUpdates() {
	for sleep(f.ctx, 500*time.Millisecond) == nil {
		f.exchangeHeartbeats()
		for _, p := range f.live() {
			for _, q := range f.live() {
				_, _ = p.replica.Apply(q.replica.UpdateSince(p.replica.Revision(), 1<<20))
			}
		}
	}
}

func (f *fleet) addFault(fault memkv.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fault)
}

func (f *fleet) runAction(n int, a action) {
	switch a.Kind {
	case "edit":
		f.edit(n, a)
	case "lose-answer":
		f.addFault(memkv.LoseAnswer)
	case "lose-request":
		f.addFault(memkv.LoseRequest)
	case "hold":
		f.addFault(memkv.Hold)
	case "release":
		f.store.ReleaseHeld()
	case "down":
		f.store.SetDown(true)
	case "up":
		f.store.SetDown(false)
	case "backup":
		f.backup = f.store.dump(f.ctx)
	case "restore":
		f.restoreStore()
	case "restart":
		f.restartProcess(a.Process)
	}
	if a.Kind == "sleep" || a.Item == 0 { // also after some of the other actions
		time.Sleep(a.Delay)
	}
}

func (f *fleet) headRevision() (uint64, bool) {
	head, _, err := storage{f.store}.readHead(f.ctx)
	return head.GetRevision(), err == nil
}

// restoreStore restores the store from the backup. It does so only if a live process
// has the newest configuration, and after the heartbeats of this process have
// reached the others. Without such a process the newer edits could not be recovered.
func (f *fleet) restoreStore() {
	f.store.writing.Lock()
	defer f.store.writing.Unlock()
	head, ok := f.headRevision()
	if highest, _ := f.highest(); ok && f.backup != nil && highest == head {
		f.exchangeHeartbeats()
		f.store.Restore(f.backup)
	}
}

// restartProcess replaces a process by one with an empty replica, unless only this
// process holds the newest configuration.
func (f *fleet) restartProcess(i int) {
	highest, holders := f.highest()
	head, ok := f.headRevision()
	p := f.processes[i]
	if p.replica.Revision() == highest && holders == 1 && (!ok || head < highest) {
		return
	}
	p.stop()
	f.startProcess(i)
}

func (f *fleet) edit(n int, a action) {
	p := f.processes[a.Process]
	key := fmt.Sprintf("client/c%d", a.Item)
	expected := uint64(0)
	if item, ok := p.replica.Config().Item(key); ok && !a.Stale {
		expected = item.Revision
	}
	id := fmt.Sprintf("e%d", n)
	value := fmt.Sprintf(`{"plan":"gold","key_hashes":[%q]}`, hashKey(id))
	if a.Delete {
		value = ""
	}
	r := &result{edit: edit(id, change(key, value, expected)), called: f.tick()}
	f.results = append(f.results, r)
	f.pending.Go(func() { f.commit(p, r) })
}

func (f *fleet) commit(p *process, r *result) {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	r.revision, r.err = p.editor.Commit(ctx, r.edit)
	r.returned = f.tick()
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// endFaults ends all faults and submits the edits in doubt again.
func (f *fleet) endFaults() {
	f.pending.Wait()
	f.mu.Lock()
	f.faults = nil
	f.mu.Unlock()
	f.store.SetDown(false)
	f.store.ReleaseHeld()
	time.Sleep(time.Minute)
	for _, r := range f.results {
		var inDoubt *InDoubtError
		if errors.As(r.err, &inDoubt) {
			r.edit.Revision = inDoubt.Since
			f.commit(f.processes[0], r)
		}
	}
	time.Sleep(10 * time.Second)
	f.headRevision() // reads the final head, so that the store records its edits
}

func (f *fleet) check() error {
	if len(f.store.violations) > 0 {
		return fmt.Errorf("history: %v", f.store.violations)
	}
	if err := f.checkResults(); err != nil {
		return err
	}
	if err := f.checkReplicas(); err != nil {
		return err
	}
	return f.checkHistory()
}

func (f *fleet) checkResults() error {
	for _, r := range f.results {
		seen, ok := f.store.ids[r.edit.Id]
		deleted := len(r.edit.Changes[0].Value) == 0
		switch {
		case r.err == nil && !ok && !deleted: // deleting an absent item creates no revision
			return fmt.Errorf("accepted edit %s of revision %d was lost", r.edit.Id, r.revision)
		case r.err == nil && ok && seen != r.revision:
			return fmt.Errorf("edit %s was accepted as revision %d but has revision %d", r.edit.Id, r.revision, seen)
		case r.err != nil && outcome.CodeOf(r.err) != outcome.EditInDoubt && ok:
			return fmt.Errorf("rejected edit %s appears as revision %d: %w", r.edit.Id, seen, r.err)
		}
	}
	return nil
}

// checkReplicas applies the recorded edits to an empty configuration and compares
// every replica with the result.
func (f *fleet) checkReplicas() error {
	head, _ := f.headRevision()
	config := &Config{}
	for revision := uint64(1); revision <= head; revision++ {
		next, err := config.apply(f.store.edits[revision])
		if err != nil {
			return fmt.Errorf("replay revision %d: %w", revision, err)
		}
		config = next
	}
	fresh := &process{replica: NewReplica()} // loads only from the store
	if err := NewWatcher(f.store, fresh.replica, nil).repair(f.ctx); err != nil {
		return fmt.Errorf("load configuration in a new process: %w", err)
	}
	for i, p := range append(f.live(), fresh) {
		if got := p.replica.Config(); !proto.Equal(got.Snapshot(), config.Snapshot()) {
			return fmt.Errorf("replica %d at revision %d differs from the history at %d", i, got.Revision(), head)
		}
	}
	return nil
}

// itemState is the state of one item in the linearizability model.
type itemState struct {
	revision uint64
	present  bool
}

type itemCall struct {
	item     string
	expected uint64
	deletes  bool
}

type itemResult struct {
	accepted bool
	written  bool   // the edit has a revision, since its value was not in force already
	revision uint64 // revision of the edit, or actual revision of a conflict
}

var itemModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byItem := map[string][]porcupine.Operation{}
		for _, op := range history {
			item := op.Input.(itemCall).item
			byItem[item] = append(byItem[item], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byItem {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return itemState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(itemState), input.(itemCall), output.(itemResult)
		if !out.accepted {
			return s.revision == out.revision && s.revision != in.expected, s
		}
		if !out.written {
			return in.deletes && !s.present, s
		}
		if s.revision != in.expected {
			return false, s
		}
		if in.deletes {
			return true, itemState{}
		}
		return true, itemState{out.revision, true}
	},
}

// checkHistory checks that the results of all edits are linearizable.
func (f *fleet) checkHistory() error {
	var history []porcupine.Operation
	for i, r := range f.results {
		c := r.edit.Changes[0]
		op := porcupine.Operation{ClientId: i, Call: r.called, Return: r.returned,
			Input: itemCall{c.Key, c.ExpectedRevision, len(c.Value) == 0}}
		_, written := f.store.ids[r.edit.Id]
		var conflict *ConflictError
		switch {
		case r.err == nil:
			op.Output = itemResult{true, written, r.revision}
		case errors.As(r.err, &conflict):
			op.Output = itemResult{false, false, conflict.Actual}
		case written:
			// An edit in doubt that took effect may have done so at any time.
			op.Output, op.Return = itemResult{true, true, f.store.ids[r.edit.Id]}, f.clock+1
		default:
			continue
		}
		history = append(history, op)
	}
	if !porcupine.CheckOperations(itemModel, history) {
		return errors.New("results of the edits are not linearizable")
	}
	return nil
}

// Guards against accepted edits that are lost or reverted, against rejected edits
// that take effect, and against replicas that differ. The causes are lost responses,
// delayed writes, outages, restarts of processes and restores of the store from
// older copies.
func TestEditsUnderFaults(t *testing.T) {
	accepted, inDoubt, rejected := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		headEdits := rapid.SampledFrom([]int{4, 8, MaxHeadEdits}).Draw(rt, "headEdits")
		var err error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFleet(ctx, headEdits)
			if _, err = f.processes[0].editor.Commit(ctx, edit("plan", change("plan/gold", `{}`, 0))); err != nil {
				return
			}
			for n, a := range actions {
				f.runAction(n, a)
			}
			f.endFaults()
			err = f.check()
			for _, r := range f.results {
				switch outcome.CodeOf(r.err) {
				case "":
					accepted++
				case outcome.EditInDoubt:
					inDoubt++
				default:
					rejected++
				}
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("edits: %d accepted, %d rejected, %d in doubt at the end", accepted, rejected, inDoubt)
}

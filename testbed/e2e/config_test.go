package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// inForceLimit is the bound of guarantee 8.
const inForceLimit = 5 * time.Second

// confirmations is the answer of /admin/v1/confirmations.
type confirmations struct {
	Confirmed, Total int
	Missing          []struct {
		VM string `json:"vm"`
	}
}

func confirmationsOf(t *testing.T, f *fleet.Fleet, entry int, revision uint64) confirmations {
	t.Helper()
	var c confirmations
	data, err := f.Admin(f.Entries[entry], http.MethodGet, "/admin/v1/confirmations?revision="+jsonNumber(revision), nil)
	if err != nil || json.Unmarshal(data, &c) != nil {
		t.Fatalf("read confirmations: %v", err)
	}
	return c
}

// awaitInForce waits until a revision is in force on all processes.
func awaitInForce(t *testing.T, f *fleet.Fleet, entry int, revision uint64) {
	t.Helper()
	await(t, inForceLimit, fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
		c := confirmationsOf(t, f, entry, revision)
		return c.Total == len(f.VMs()) && c.Confirmed == c.Total
	})
}

// snapshot is what one entry says about the configuration.
type snapshot struct {
	Revision uint64 `json:"revision"`
	Items    []struct {
		Key      string          `json:"key"`
		Value    json.RawMessage `json:"value"`
		Revision uint64          `json:"revision"`
	} `json:"items"`
}

func readConfig(f *fleet.Fleet, d *fleet.Daemon) (snapshot, error) {
	var s snapshot
	data, err := f.Admin(d, http.MethodGet, "/admin/v1/config", nil)
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	return s, err
}

func (s snapshot) item(key string) uint64 {
	for _, item := range s.Items {
		if item.Key == key {
			return item.Revision
		}
	}
	return 0
}

// watchReverts polls the configuration of all entries until the returned
// function is called, and fails the test if a process goes back to a lower
// revision of the whole or of an item. A restarted process starts anew.
func watchReverts(t *testing.T, f *fleet.Fleet) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	var polls atomic.Int64
	for _, d := range f.Entries {
		group.Go(func() {
			var last snapshot
			starts := d.Starts()
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				s, err := readConfig(f, d)
				if n := d.Starts(); n != starts {
					starts, last = n, snapshot{}
					continue
				}
				if err != nil {
					continue
				}
				polls.Add(1)
				if s.Revision < last.Revision {
					t.Errorf("%s went back from revision %d to %d", d.Settings.VM, last.Revision, s.Revision)
				}
				for _, item := range last.Items {
					if s.item(item.Key) < item.Revision {
						t.Errorf("%s lost revision %d of %s", d.Settings.VM, item.Revision, item.Key)
					}
				}
				last = s
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
		t.Logf("%d polls without a revert", polls.Load())
	}
}

// editCall and editAnswer are the ends of an edit in a history of one item.
type editCall struct {
	item     string
	expected uint64
	read     bool // a read of the item's revision at the end
}

type editAnswer struct {
	accepted bool
	code     string
	revision uint64
}

// itemModel is a register per item that holds the revision of its last change.
var itemModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byItem := map[string][]porcupine.Operation{}
		for _, op := range history {
			item := op.Input.(editCall).item
			byItem[item] = append(byItem[item], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byItem))
		for _, part := range byItem {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(uint64), input.(editCall), output.(editAnswer)
		switch {
		case in.read:
			return revision == out.revision, revision
		case out.accepted:
			return revision == in.expected && out.revision > revision, out.revision
		case out.code == "edit_conflict":
			return revision != in.expected, revision
		}
		return true, revision // refused for another reason: no effect
	},
}

// editHistory collects the edits of all operators.
type editHistory struct {
	started    time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
	answers    map[string]int
}

func (h *editHistory) add(called int64, in editCall, out editAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := out.code
	if out.accepted {
		name = "accepted"
	}
	h.answers[name]++
	h.operations = append(h.operations, porcupine.Operation{Input: in, Call: called, Output: out, Return: int64(time.Since(h.started))})
}

// operate makes one edit. An edit in doubt is submitted again with its id
// until the answer is certain.
func (h *editHistory) operate(ctx context.Context, f *fleet.Fleet, random *rand.Rand, item string) {
	seen, err := readConfig(f, f.Entries[random.IntN(2)])
	if err != nil {
		return
	}
	body := object{"id": uuid.NewString(), "operator": "racer", "changes": []object{{"key": item, "expected_revision": seen.item(item),
		"value": object{"plan": "standard", "key_hashes": []string{fleet.HashKey(uuid.NewString())}}}}}
	called := int64(time.Since(h.started))
	for ctx.Err() == nil {
		out, certain := submitEdit(f, f.Entries[random.IntN(2)], body)
		if certain {
			h.add(called, editCall{item: item, expected: seen.item(item)}, out)
			return
		}
		body["since"] = seen.Revision
		time.Sleep(50 * time.Millisecond)
	}
}

// submitEdit submits an edit once; certain is false if it may have been
// accepted without an answer. A refusal for lack of the store says nothing
// about an earlier submission.
func submitEdit(f *fleet.Fleet, d *fleet.Daemon, body object) (out editAnswer, certain bool) {
	_, repeated := body["since"]
	data, err := f.Admin(d, http.MethodPost, "/admin/v1/edits", body)
	var answer struct {
		Outcome  string `json:"outcome"`
		Revision uint64 `json:"revision"`
		Error    struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	var status *fleet.StatusError
	if err != nil && !errors.As(err, &status) || json.Unmarshal(data, &answer) != nil {
		return editAnswer{}, false
	}
	if err == nil {
		return editAnswer{accepted: true, revision: answer.Revision}, true
	}
	certain = answer.Outcome == "not_run" && (!repeated || answer.Error.Code == "edit_conflict")
	return editAnswer{code: answer.Error.Code}, certain
}

// check waits until all entries agree and checks the history.
func (h *editHistory) check(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	var last snapshot
	await(t, inForceLimit, "all entries have the same configuration", func() bool {
		first, err := readConfig(f, f.Entries[0])
		second, err2 := readConfig(f, f.Entries[1])
		last = first
		return err == nil && err2 == nil && first.Revision == second.Revision
	})
	seen := map[string]bool{}
	for _, op := range h.operations {
		if item := op.Input.(editCall).item; !seen[item] {
			seen[item] = true
			h.add(int64(time.Since(h.started)), editCall{item: item, read: true}, editAnswer{code: "read", revision: last.item(item)})
		}
	}
	t.Logf("revision %d, answers %v", last.Revision, h.answers)
	for _, part := range itemModel.Partition(h.operations) {
		if porcupine.CheckOperationsTimeout(itemModel, part, 10*time.Second) != porcupine.Ok {
			t.Errorf("the answers to the edits of %s fit no order: %v", part[0].Input.(editCall).item, part)
		}
	}
}

// Guards against edits that overwrite each other, accepted edits that are
// lost, refused ones that take effect, and processes that go back, when
// operators race on two entries and the store, an entry and its connections
// fail.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Proxies: true})
	stopWatch := watchReverts(t, f)
	h := &editHistory{started: time.Now(), answers: map[string]int{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for operator := range 6 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(operator), 2))
			for {
				select {
				case <-stop:
					return
				default:
					h.operate(ctx, f, random, fmt.Sprintf("client/racer-%d", random.IntN(4)))
				}
			}
		})
	}
	time.Sleep(time.Second)
	is.NoErr(storeRules(f, object{"fault": "lose_answer", "operation": "put", "key_prefix": "config/", "probability": 0.4}))
	time.Sleep(2 * time.Second)
	is.NoErr(storeRules(f, object{"fault": "hold", "operation": "put", "key_prefix": "config/", "probability": 0.2}))
	is.NoErr(repeatedly(300*time.Millisecond, func(int) error { return f.Faults(f.Platform, http.MethodPost, "/faults/release", nil) }))
	is.NoErr(healStore(f))
	is.NoErr(f.Entries[1].Store.Cut()) // its edits are refused, and it follows its peer
	time.Sleep(2 * time.Second)
	is.NoErr(f.HealAll())
	is.NoErr(repeatedly(200*time.Millisecond, func(i int) error {
		return f.Faults(f.Platform, http.MethodPut, "/faults", object{"outage": []string{"refuse", ""}[i%2]})
	}))
	is.NoErr(healStore(f))
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	h.check(t, f)
	stopWatch()
	is.NoErr(f.Stop())
}

// Guards against accepted edits that are lost, and against processes that go
// back, when the store is restored from an older copy, also while one entry
// does not reach the store.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Orders: 1, Proxies: true})
	stopWatch := watchReverts(t, f)
	random := rand.New(rand.NewPCG(9, 9))
	h := &editHistory{started: time.Now(), answers: map[string]int{}}
	editAll := func() {
		for i := range 5 {
			h.operate(ctx, f, random, fmt.Sprintf("client/kept-%d", i))
		}
	}
	editAll()
	for round := range 3 {
		is.NoErr(f.Faults(f.Platform, http.MethodPost, "/faults/copy", nil))
		editAll()
		if round == 1 {
			is.NoErr(f.Entries[0].Store.Cut())
		}
		is.NoErr(f.Faults(f.Platform, http.MethodPost, "/faults/restore", nil))
		if round == 2 {
			is.NoErr(restart(f, f.Entries[1])) // reads the older copy if no peer is faster
			is.NoErr(f.AwaitReady(ctx, f.Entries[1]))
		}
		restored := time.Now()
		var revision uint64
		await(t, inForceLimit+5*time.Second, "an edit is accepted after the restore", func() bool {
			var err error
			revision, err = f.Edit(f.Entries[1], fleet.Change{Key: fmt.Sprintf("mark/none-%d", round), Value: object{"state": "leaving"}})
			return err == nil
		})
		t.Logf("round %d: an edit was accepted %v after the restore", round, time.Since(restored).Round(time.Millisecond))
		awaitInForce(t, f, 1, revision)
		heal(ctx, t, f)
		time.Sleep(time.Second) // the watcher of an entry that was cut off reads the store
	}
	h.check(t, f)
	stopWatch()
	is.NoErr(f.Stop())
}

// Guards against an edit that is reported as in force where it is not, or that
// reaches an entry without the store late, and against new work for an agent
// that is marked as leaving while it does not reach the store.
func TestInForceUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, Orders: 1, Proxies: true})
	paused := f.Agents[1]
	is.NoErr(paused.Signal(syscall.SIGSTOP))
	is.NoErr(f.Entries[1].Store.Cut())
	revision, err := f.Edit(f.Entries[0], fleet.Change{Key: "mark/none", Value: object{"state": "leaving"}})
	is.NoErr(err)
	started := time.Now()
	for entry := range f.Entries {
		await(t, inForceLimit, "all but the paused process confirmed", func() bool {
			c := confirmationsOf(t, f, entry, revision)
			is.True(c.Confirmed < len(f.VMs())) // the paused process cannot have confirmed
			return c.Total == len(f.VMs()) && len(c.Missing) == 1 && c.Missing[0].VM == paused.Settings.VM
		})
	}
	t.Logf("in force on all but the paused process after %v", time.Since(started).Round(time.Millisecond))
	is.NoErr(paused.Signal(syscall.SIGCONT))
	awaitInForce(t, f, 1, revision)

	leaving := f.Agents[0]
	is.NoErr(leaving.Store.Cut())
	_, err = f.Edit(f.Entries[0], fleet.Change{Key: "mark/" + leaving.Settings.VM, Value: object{"state": "leaving"}})
	is.NoErr(err)
	time.Sleep(3 * time.Second) // guarantee 6
	for i := range 40 {
		a, err := caller(f, i%2).Complete(ctx, client.Request{Model: "standin", Prompt: prompt(fmt.Sprint("mark", i), 200), MaxTokens: 2, Stream: true})
		is.NoErr(err)
		is.Equal(a.Outcome, "completed")
		is.True(!strings.HasPrefix(a.LastEventID, leaving.Settings.VM+"/"))
	}
	is.NoErr(f.Stop())
}

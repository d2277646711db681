package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"camphorwick.dev/testbed/fleet"
)

// Snapshot is the configuration that one entry reports.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	Items    []struct {
		Key      string          `json:"key"`
		Value    json.RawMessage `json:"value"`
		Revision uint64          `json:"revision"`
	} `json:"items"`
}

// ReadConfig reads the configuration from an entry.
func ReadConfig(f *fleet.Fleet, d *fleet.Daemon) (Snapshot, error) {
	var s Snapshot
	data, err := f.Admin(d, http.MethodGet, "/admin/v1/config", nil)
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	return s, err
}

// ItemRevision returns the revision of an item, 0 if it is absent.
func (s Snapshot) ItemRevision(key string) uint64 {
	for _, item := range s.Items {
		if item.Key == key {
			return item.Revision
		}
	}
	return 0
}

// pollInterval is the interval between reads of an entry's configuration.
const pollInterval = 20 * time.Millisecond

// WatchReverts polls the configuration of all entries until ctx ends. It returns
// the number of polls, and a *Violation for each revert. A revert is a revision, of
// the configuration or of an item, that is lower than in the previous poll of the
// same entry; a missing item counts as lower, except a mark, which may be deleted. A
// restarted entry is not compared with its earlier process.
func WatchReverts(ctx context.Context, f *fleet.Fleet) (polls int, reverts []error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, d := range f.Entries {
		group.Go(func() {
			n, found := watchEntry(ctx, f, d)
			mu.Lock()
			defer mu.Unlock()
			polls += n
			reverts = append(reverts, found...)
		})
	}
	group.Wait()
	return polls, reverts
}

func watchEntry(ctx context.Context, f *fleet.Fleet, d *fleet.Daemon) (polls int, reverts []error) {
	var last Snapshot
	starts := d.Starts()
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		s, err := ReadConfig(f, d)
		if n := d.Starts(); n != starts {
			starts, last = n, Snapshot{}
			continue
		}
		if err != nil {
			continue
		}
		polls++
		if s.Revision < last.Revision {
			reverts = append(reverts, violation("%s reported configuration revision %d and later %d", d.Settings.VM, last.Revision, s.Revision))
		}
		for _, item := range last.Items {
			mayBeDeleted := s.ItemRevision(item.Key) == 0 && strings.HasPrefix(item.Key, "mark/") // tests delete no other items
			if s.ItemRevision(item.Key) < item.Revision && !mayBeDeleted {
				reverts = append(reverts, violation("%s reported revision %d of %s and later a lower one or none", d.Settings.VM, item.Revision, item.Key))
			}
		}
		last = s
	}
	return polls, reverts
}

// editCall and editAnswer are the input and the output of an operation in the
// history of one item: an edit, or the final read of the item's revision.
type editCall struct {
	item     string
	expected uint64 // expected revision of the item, for an edit
	read     bool   // the final read
}

type editAnswer struct {
	accepted bool
	code     string // error code of a refused edit, "read" for the final read
	revision uint64 // of an accepted edit, or of the item that was read
}

// itemModel is the sequential model: a register per item that holds the revision
// of its last change. An edit must be accepted only if it expects this revision,
// and must be refused with a conflict only if it does not.
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

// Edits sends edits as operators do, records their answers and checks them.
// Safe for concurrent use.
type Edits struct {
	fleet   *fleet.Fleet
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	answers    map[string]int // by error code, "accepted", or "read" for the final reads
	violations []error
}

// NewEdits returns an Edits without recorded operations.
func NewEdits(f *fleet.Fleet) *Edits {
	return &Edits{fleet: f, started: time.Now(), answers: map[string]int{}}
}

func (h *Edits) now() int64 { return int64(time.Since(h.started)) }

func (h *Edits) add(called int64, in editCall, out editAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := out.code
	if out.accepted {
		name = "accepted"
	}
	h.answers[name]++
	h.operations = append(h.operations, porcupine.Operation{Input: in, Call: called, Output: out, Return: h.now()})
}

// An edit that may have been accepted (in doubt) is resubmitted after
// resubmitDelay. Its outcome must be certain within doubtTimeout, which is longer
// than the faults of the tests; those of the soak test last up to 4 s each.
const (
	resubmitDelay = 50 * time.Millisecond
	doubtTimeout  = 30 * time.Second
)

// Edit changes an item through a random entry and records the answer. An edit in
// doubt is resubmitted with the same id until the answer is certain.
func (h *Edits) Edit(random *rand.Rand, item string) {
	anyEntry := func() *fleet.Daemon { return h.fleet.Entries[random.IntN(len(h.fleet.Entries))] }
	seen, err := ReadConfig(h.fleet, anyEntry())
	if err != nil {
		return
	}
	value := map[string]any{"plan": "standard", "key_hashes": []string{fleet.HashKey(uuid.NewString())}}
	body := map[string]any{"id": uuid.NewString(), "operator": "racer",
		"changes": []fleet.Change{{Key: item, Value: value, ExpectedRevision: seen.ItemRevision(item)}}}
	called := h.now()
	for deadline := time.Now().Add(doubtTimeout); time.Now().Before(deadline); time.Sleep(resubmitDelay) {
		out, certain := submitEdit(h.fleet, anyEntry(), body)
		if certain {
			h.add(called, editCall{item: item, expected: seen.ItemRevision(item)}, out)
			return
		}
		body["since"] = seen.Revision // the entry looks for the edit among the revisions after this one
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, violation("an edit of %s is still in doubt after %v", item, doubtTimeout))
}

// SendContinuously edits random items until ctx ends.
func (h *Edits) SendContinuously(ctx context.Context, seed uint64, pause time.Duration) {
	const items = 4
	random := rand.New(rand.NewPCG(seed, 2)) // another sequence than that of Orders with the same seed
	for ctx.Err() == nil {
		h.Edit(random, fmt.Sprintf("client/racer-%d", random.IntN(items)))
		time.Sleep(pause)
	}
}

// submitEdit submits an edit once. certain is false if the edit may have been
// accepted: no answer arrived, the refusal does not have the outcome not_run, or a
// resubmitted edit was refused for a reason other than a conflict, which does not
// show whether an earlier submission was accepted.
func submitEdit(f *fleet.Fleet, d *fleet.Daemon, body map[string]any) (out editAnswer, certain bool) {
	_, resubmitted := body["since"] // Edit sets since only after the first attempt
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
	certain = answer.Outcome == "not_run" && (!resubmitted || answer.Error.Code == "edit_conflict")
	return editAnswer{code: answer.Error.Code}, certain
}

// agreeTimeout is the time within which all entries must have the same
// configuration (guarantee 8 in docs/GUARANTEES.md).
const agreeTimeout = 5 * time.Second

// Check waits until all entries agree and checks that the answers to the edits of
// each item are linearizable. summary has the last revision and the counts of
// answers; violations are of type *Violation.
func (h *Edits) Check() (summary string, violations []error) {
	last, agree := h.awaitAgreement()
	violations = append(violations, h.violations...)
	if !agree {
		violations = append(violations, violation("the entries do not agree on a configuration within %v", agreeTimeout))
	}
	seen := map[string]bool{}
	for _, op := range h.operations {
		if item := op.Input.(editCall).item; !seen[item] {
			seen[item] = true
			h.add(h.now(), editCall{item: item, read: true}, editAnswer{code: "read", revision: last.ItemRevision(item)})
		}
	}
	for _, part := range itemModel.Partition(h.operations) {
		if porcupine.CheckOperationsTimeout(itemModel, part, checkTimeout) != porcupine.Ok {
			violations = append(violations, violation("the answers to the edits of %s are not linearizable, or checking them took too long: %+v", part[0].Input.(editCall).item, part))
		}
	}
	return fmt.Sprintf("revision %d, answers %v", last.Revision, h.answers), violations
}

func (h *Edits) awaitAgreement() (last Snapshot, agree bool) {
	for deadline := time.Now().Add(agreeTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		agree = true
		for i, d := range h.fleet.Entries {
			s, err := ReadConfig(h.fleet, d)
			agree = agree && err == nil && (i == 0 || s.Revision == last.Revision)
			last = s
		}
		if agree {
			return last, true
		}
	}
	return last, false
}

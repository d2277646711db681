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
// the number of polls, and a *Violation for each time that an entry reported a
// lower revision of the configuration or of an item than before. A restarted
// entry is not compared with its earlier process.
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
			reverts = append(reverts, violation("%s reverted from revision %d to %d", d.Settings.VM, last.Revision, s.Revision))
		}
		for _, item := range last.Items {
			deleted := s.ItemRevision(item.Key) == 0 && strings.HasPrefix(item.Key, "mark/") // marks are removed by operators
			if s.ItemRevision(item.Key) < item.Revision && !deleted {
				reverts = append(reverts, violation("%s lost revision %d of %s", d.Settings.VM, item.Revision, item.Key))
			}
		}
		last = s
	}
	return polls, reverts
}

// editCall and editAnswer are the input and the output of an edit in the history
// of one item.
type editCall struct {
	item     string
	expected uint64
	read     bool // a final read of the item's revision instead of an edit
}

type editAnswer struct {
	accepted bool
	code     string
	revision uint64
}

// itemModel is the sequential model: a register per item that holds the revision
// of its last change.
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

// Edits records the history of edits by operators. Safe for concurrent use.
type Edits struct {
	fleet   *fleet.Fleet
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	answers    map[string]int
	violations []error
}

// NewEdits returns an empty history.
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

// An edit in doubt is resubmitted after resubmitDelay and must be decided within
// doubtLimit, which is longer than the faults of any test.
const (
	resubmitDelay = 50 * time.Millisecond
	doubtLimit    = 30 * time.Second
)

// Edit changes an item through a random entry. An edit in doubt is resubmitted
// with the same id until the answer is certain.
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
	for deadline := time.Now().Add(doubtLimit); time.Now().Before(deadline); time.Sleep(resubmitDelay) {
		out, certain := submitEdit(h.fleet, anyEntry(), body)
		if certain {
			h.add(called, editCall{item: item, expected: seen.ItemRevision(item)}, out)
			return
		}
		body["since"] = seen.Revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, violation("an edit of %s is still in doubt after %v", item, doubtLimit))
}

// Load edits random items until ctx ends.
func (h *Edits) Load(ctx context.Context, seed uint64, pause time.Duration) {
	const items = 4
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		h.Edit(random, fmt.Sprintf("client/racer-%d", random.IntN(items)))
		time.Sleep(pause)
	}
}

// submitEdit submits an edit once. certain is false if the edit may have been
// accepted: no answer arrived, or a resubmitted edit was refused for a reason
// other than a conflict, which does not show whether an earlier submission was
// accepted.
func submitEdit(f *fleet.Fleet, d *fleet.Daemon, body map[string]any) (out editAnswer, certain bool) {
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

// agreeLimit is the time within which all entries must have the same
// configuration (guarantee 8).
const agreeLimit = 5 * time.Second

// Check waits until all entries agree and checks the history. summary has the
// counts; violations are of type *Violation.
func (h *Edits) Check() (summary string, violations []error) {
	last, agree := h.awaitAgreement()
	violations = append(violations, h.violations...)
	if !agree {
		violations = append(violations, violation("the entries do not agree on a configuration within %v", agreeLimit))
	}
	seen := map[string]bool{}
	for _, op := range h.operations {
		if item := op.Input.(editCall).item; !seen[item] {
			seen[item] = true
			h.add(h.now(), editCall{item: item, read: true}, editAnswer{code: "read", revision: last.ItemRevision(item)})
		}
	}
	for _, part := range itemModel.Partition(h.operations) {
		if porcupine.CheckOperationsTimeout(itemModel, part, checkLimit) != porcupine.Ok {
			violations = append(violations, violation("the answers to the edits of %s are not linearizable: %v", part[0].Input.(editCall).item, part))
		}
	}
	return fmt.Sprintf("revision %d, answers %v", last.Revision, h.answers), violations
}

func (h *Edits) awaitAgreement() (last Snapshot, agree bool) {
	for deadline := time.Now().Add(agreeLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
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

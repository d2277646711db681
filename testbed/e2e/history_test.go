package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"camphorwick.dev/testbed/fleet"
)

// Kinds of operations in the history of an order key.
const (
	opSend  = "send"  // an order
	opQuery = "query" // a query of the recorded state
	opRuns  = "runs"  // the number of runs at the services, after everything
)

// orderInput and orderOutput are the two ends of an operation.
type orderInput struct{ kind, key string }

type orderOutput struct {
	outcome, code string
	recorded      bool
	runs          int
}

// orderHistory collects what callers were told about orders. Safe for
// concurrent use.
type orderHistory struct {
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	outcomes   map[string]int
	late       time.Duration // latest end of an order after its deadline
}

func newOrderHistory() *orderHistory {
	return &orderHistory{started: time.Now(), outcomes: map[string]int{}}
}

func (h *orderHistory) now() int64 { return int64(time.Since(h.started)) }

// add records an operation. One whose outcome is unknown may take effect at
// any later time, so it has no end.
func (h *orderHistory) add(called int64, in orderInput, out orderOutput) {
	returned := h.now()
	if in.kind == opSend && out.outcome == "unknown" {
		returned = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[in.kind+" "+out.outcome]++
	h.operations = append(h.operations, porcupine.Operation{Input: in, Call: called, Output: out, Return: returned})
}

// send sends an order. A broken connection to the entry counts as unknown.
func (h *orderHistory) send(ctx context.Context, f *fleet.Fleet, entry int, key string, timeout time.Duration) orderOutput {
	ctx, cancel := context.WithTimeout(ctx, timeout+lateness+5*time.Second)
	defer cancel()
	called := h.now()
	a, err := caller(f, entry).Call(ctx, http.MethodPost, "/v1/services/orders/coils", []byte(key),
		map[string]string{"Idempotency-Key": key, "Camphorwick-Timeout-Ms": fmt.Sprint(timeout.Milliseconds())})
	out := orderOutput{outcome: a.Outcome, code: a.Code, recorded: a.Recorded}
	if err != nil || !isOutcome(a.Outcome) {
		out = orderOutput{outcome: "unknown", code: "connection"}
	}
	h.add(called, orderInput{opSend, key}, out)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.late = max(h.late, a.Duration-timeout)
	}
	return out
}

// query asks for the recorded state of an order; failed queries are not part
// of the history.
func (h *orderHistory) query(ctx context.Context, f *fleet.Fleet, entry int, key string) (orderOutput, bool) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	called := h.now()
	a, err := caller(f, entry).Call(ctx, http.MethodGet, "/v1/orders/"+key, nil, nil)
	var state struct {
		Outcome string `json:"outcome"`
	}
	if err != nil || a.Status != http.StatusOK || json.Unmarshal([]byte(a.Text), &state) != nil {
		return orderOutput{}, false
	}
	out := orderOutput{outcome: state.Outcome}
	h.add(called, orderInput{opQuery, key}, out)
	return out, true
}

// keys returns all keys of the history.
func (h *orderHistory) keys() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	var keys []string
	for _, op := range h.operations {
		if key := op.Input.(orderInput).key; !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// orderModel is a register per key that holds whether the order ran. It
// forbids a second run, an answer that contradicts an earlier one, and a run
// that nobody can explain. An order that is answered not_run has no effect in
// any state: the refusal is about this call.
var orderModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(orderInput).key
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		ran := state.(bool)
		in, out := input.(orderInput), output.(orderOutput)
		switch {
		case in.kind == opRuns:
			return keepIf(ran, out.runs == runsOf(ran))
		case in.kind == opSend && out.outcome == "completed" && !out.recorded:
			if ran {
				return nil
			}
			return []any{true}
		case in.kind == opSend && out.outcome == "completed":
			// Recorded, perhaps by an earlier attempt of this very call.
			return []any{true}
		case out.outcome == "completed":
			return keepIf(ran, ran)
		case in.kind == opQuery && out.outcome == "not_run":
			return keepIf(ran, !ran)
		case in.kind == opSend && out.outcome == "unknown" && !ran:
			return []any{false, true}
		}
		return []any{ran}
	},
}

func keepIf(state, legal bool) []any {
	if legal {
		return []any{state}
	}
	return nil
}

func runsOf(ran bool) int {
	if ran {
		return 1
	}
	return 0
}

// check compares what callers were told with the runs at the services. It is
// called when all faults have ended and the system has been idle.
func (h *orderHistory) check(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	runs := map[string]int{}
	for _, service := range f.Orders {
		var stats struct {
			Keys map[string]int `json:"keys"`
		}
		if err := f.Stats(service, "/runs", &stats); err != nil {
			t.Fatal(err)
		}
		for key, n := range stats.Keys {
			runs[key] += n
		}
	}
	keys := h.keys()
	byRuns := map[int]int{}
	for _, key := range keys {
		byRuns[runs[key]]++
		h.add(h.now(), orderInput{opRuns, key}, orderOutput{runs: runs[key]})
	}
	t.Logf("%d keys, by number of runs %v, answers %v, latest answer %v relative to its deadline", len(keys), byRuns, h.outcomes, h.late.Round(time.Millisecond))
	if h.late > lateness {
		t.Errorf("an order was answered %v after its deadline", h.late)
	}
	for n, count := range byRuns {
		if n > 1 {
			t.Errorf("%d orders ran %d times", count, n)
		}
	}
	model := orderModel.ToModel()
	for _, part := range orderModel.Partition(h.operations) {
		key := part[0].Input.(orderInput).key
		if porcupine.CheckOperationsTimeout(model, part, 10*time.Second) != porcupine.Ok || promiseBroken(part, runs[key]) {
			t.Errorf("the answers about order %s contradict each other or its %d runs: %v", key, runs[key], describe(part))
		}
	}
}

// promiseBroken reports whether a query was answered not_run, nobody sent the
// order afterwards, and the order ran all the same.
func promiseBroken(part []porcupine.Operation, runs int) bool {
	var told, sent int64
	for _, op := range part {
		in, out := op.Input.(orderInput), op.Output.(orderOutput)
		switch {
		case in.kind == opQuery && out.outcome == "not_run":
			told = max(told, op.Return)
		case in.kind == opSend:
			sent = max(sent, op.Call)
		}
	}
	return runs > 0 && told > sent
}

func describe(part []porcupine.Operation) []string {
	var lines []string
	for _, op := range part {
		in, out := op.Input.(orderInput), op.Output.(orderOutput)
		lines = append(lines, fmt.Sprintf("%v+%v %s: %s %s recorded=%v runs=%d", time.Duration(op.Call).Round(time.Millisecond),
			time.Duration(op.Return-op.Call).Round(time.Millisecond), in.kind, out.outcome, out.code, out.recorded, out.runs))
	}
	return lines
}

// load sends orders until stop is closed. Each key is sent once or through
// both entries at once, queried, perhaps sent again, and queried again.
func (h *orderHistory) load(ctx context.Context, t *testing.T, f *fleet.Fleet, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		default:
		}
		key := orderKey(t)
		timeout := time.Duration(600+random.IntN(1800)) * time.Millisecond
		entry, both, again := random.IntN(2), random.IntN(2) == 0, random.IntN(3) == 0
		var group sync.WaitGroup
		group.Go(func() { h.send(ctx, f, entry, key, timeout) })
		if both {
			group.Go(func() { h.send(ctx, f, 1-entry, key, timeout) })
		}
		group.Wait()
		h.query(ctx, f, random.IntN(2), key)
		if again {
			h.send(ctx, f, random.IntN(2), key, timeout)
			h.query(ctx, f, random.IntN(2), key)
		}
	}
}

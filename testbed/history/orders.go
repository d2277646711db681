// Package history records the answers that callers and operators get while
// faults are injected, and checks them against a sequential model and against
// the requests that the backend servers received. The integration tests and the
// soak test use it.
package history

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"camphorwick.dev/standin/ordersim"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// Kinds of operations in the history of an order key.
const (
	opSend  = "send"  // an order
	opQuery = "query" // a query of the recorded state
	opRuns  = "runs"  // a read of the number of runs at the services, by Check
)

// orderInput and orderOutput are the input and the output of an operation.
type orderInput struct{ kind, key string }

type orderOutput struct {
	outcome, code string
	recorded      bool // the answer is that of an earlier run
	runs          int  // of an operation opRuns
}

// MaxLateness is the time after the deadline of a request within which its answer
// must arrive. An entry answers by the deadline (guarantee 1 in
// docs/GUARANTEES.md); one second is allowed for the transport of the answer.
const MaxLateness = time.Second

// checkTimeout bounds the linearizability check of one key or item.
const checkTimeout = 10 * time.Second

// answerTimeout bounds the wait for an answer after its deadline.
const answerTimeout = 15 * time.Second

// IsOutcome reports whether s is one of the four outcomes.
func IsOutcome(s string) bool {
	switch s {
	case "completed", "not_run", "failed", "unknown":
		return true
	}
	return false
}

// Violation is a broken guarantee.
type Violation struct{ Text string }

func (v *Violation) Error() string { return v.Text }

func violation(format string, args ...any) error { return &Violation{fmt.Sprintf(format, args...)} }

// Clients returns a client for each entry of a fleet.
func Clients(f *fleet.Fleet) []*client.Client {
	var clients []*client.Client
	for _, d := range f.Entries {
		clients = append(clients, client.New(d.Settings.Entry.CallersAddress, fleet.CallerKey))
	}
	return clients
}

// Orders sends orders and queries, records their answers and checks them.
// Safe for concurrent use.
type Orders struct {
	fleet   *fleet.Fleet
	clients []*client.Client
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	answers    map[string]int // by kind of operation and outcome
	lateness   time.Duration  // longest time from the deadline of an order to its answer, 0 if none was late
	foreign    []string       // keys of orders with an answer that is cut or belongs to another order
}

// NewOrders returns an Orders without recorded operations.
func NewOrders(f *fleet.Fleet) *Orders {
	return &Orders{fleet: f, clients: Clients(f), started: time.Now(), answers: map[string]int{}}
}

func (h *Orders) now() int64 { return int64(time.Since(h.started)) }

// add records an operation. An order with the outcome unknown may take effect at
// any later time, so its return time is unbounded.
func (h *Orders) add(called int64, in orderInput, out orderOutput) {
	returned := h.now()
	if in.kind == opSend && out.outcome == "unknown" {
		returned = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[in.kind+" "+out.outcome]++
	h.operations = append(h.operations, porcupine.Operation{Input: in, Call: called, Output: out, Return: returned})
}

// Send sends an order through an entry. A broken connection to the entry
// counts as unknown.
func (h *Orders) Send(ctx context.Context, entry int, key string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout+answerTimeout)
	defer cancel()
	called := h.now()
	a, err := h.clients[entry].Call(ctx, http.MethodPost, "/v1/services/orders/coils", []byte(key),
		map[string]string{"Idempotency-Key": key, "Camphorwick-Timeout-Ms": fmt.Sprint(timeout.Milliseconds())})
	out := orderOutput{outcome: a.Outcome, code: a.Code, recorded: a.Recorded}
	if err != nil || !IsOutcome(a.Outcome) {
		out = orderOutput{outcome: "unknown", code: "connection"}
	}
	h.add(called, orderInput{opSend, key}, out)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.lateness = max(h.lateness, a.Duration-timeout)
	}
	if out.outcome == "completed" && a.Status == http.StatusOK && !isAnswerTo(key, a.Text) {
		h.foreign = append(h.foreign, key)
	}
}

// isAnswerTo reports whether text is the whole answer of the service to the order
// with this key. The key is also the body of the order, which the answer names by
// its hash.
func isAnswerTo(key, text string) bool {
	var result ordersim.Result
	sum := sha256.Sum256([]byte(key))
	return json.Unmarshal([]byte(text), &result) == nil && result.OrderHash == hex.EncodeToString(sum[:])
}

// Query queries the outcome of an order at an entry. ok is false if the query
// fails; failed queries are not part of the history.
func (h *Orders) Query(ctx context.Context, entry int, key string) (outcome string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	called := h.now()
	a, err := h.clients[entry].Call(ctx, http.MethodGet, "/v1/orders/"+key, nil, nil)
	var state struct {
		Outcome string `json:"outcome"`
	}
	if err != nil || a.Status != http.StatusOK || json.Unmarshal([]byte(a.Text), &state) != nil {
		return "", false
	}
	h.add(called, orderInput{opQuery, key}, orderOutput{outcome: state.Outcome})
	return state.Outcome, true
}

// keys returns all keys of the history.
func (h *Orders) keys() []string {
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

// orderModel is the sequential model: a register per key that holds whether the
// order ran. It forbids a second run, an answer that contradicts an earlier one,
// and a run without a call that may have caused it. The outcome not_run of an
// order is valid in any state and changes nothing: it says that this call did not
// run the order, but another call with the same key may have.
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
			return keepIf(ran, out.runs == expectedRuns(ran))
		case in.kind == opSend && out.outcome == "completed" && !out.recorded:
			if ran {
				return nil
			}
			return []any{true}
		case in.kind == opSend && out.outcome == "completed":
			// The answer is recorded, so an earlier call ran the order, or an
			// earlier attempt that the entry made for this call.
			return []any{true}
		case out.outcome == "completed":
			return keepIf(ran, ran)
		case in.kind == opQuery && out.outcome == "not_run":
			return keepIf(ran, !ran)
		case in.kind == opSend && out.outcome == "unknown" && !ran:
			return []any{false, true}
		}
		// No change: not_run of an order, unknown after a run, and failed, which
		// only idempotent requests get.
		return []any{ran}
	},
}

func keepIf(state, legal bool) []any { // an empty result means that the step is not legal
	if legal {
		return []any{state}
	}
	return nil
}

func expectedRuns(ran bool) int {
	if ran {
		return 1
	}
	return 0
}

// Check queries each key again and compares all answers with the runs at the
// services. It must be called after all faults have ended and when no order is in
// flight at a service. summary has the counts; violations are of type *Violation,
// except for an error of reading the runs.
func (h *Orders) Check(ctx context.Context) (summary string, violations []error) {
	keys := h.keys()
	violations = h.queryAll(ctx, keys)
	runs, err := h.runs()
	if err != nil {
		return "", append(violations, err)
	}
	byRuns := map[int]int{}
	for _, key := range keys {
		byRuns[runs[key]]++
		h.add(h.now(), orderInput{opRuns, key}, orderOutput{runs: runs[key]})
	}
	for n, count := range byRuns {
		if n > 1 {
			violations = append(violations, violation("%d orders ran %d times", count, n))
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.foreign) > 0 {
		violations = append(violations, violation("%d orders got an answer that is cut or belongs to another order: %s", len(h.foreign), h.foreign))
	}
	if h.lateness > MaxLateness {
		violations = append(violations, violation("an order was answered %v after its deadline", h.lateness))
	}
	model := orderModel.ToModel()
	for _, part := range orderModel.Partition(h.operations) {
		key := part[0].Input.(orderInput).key
		if porcupine.CheckOperationsTimeout(model, part, checkTimeout) != porcupine.Ok || ranAfterNotRun(part, runs[key]) {
			violations = append(violations, violation("the answers about order %s contradict each other or its %d runs, or checking them took too long: %v", key, runs[key], describe(part)))
		}
	}
	return fmt.Sprintf("%d keys, by number of runs %v, answers %v, longest time from deadline to answer %v",
		len(keys), byRuns, h.answers, h.lateness.Round(time.Millisecond)), violations
}

// queryAll queries all keys, distributed over the entries.
func (h *Orders) queryAll(ctx context.Context, keys []string) (violations []error) {
	const workers = 8
	var group sync.WaitGroup
	var mu sync.Mutex
	for worker := range workers {
		group.Go(func() {
			for i := worker; i < len(keys); i += workers {
				if _, ok := h.Query(ctx, i%len(h.clients), keys[i]); !ok {
					mu.Lock()
					violations = append(violations, violation("the state of order %s cannot be read after all faults have ended", keys[i]))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return violations
}

// runs returns the number of runs of each key, summed over all services.
func (h *Orders) runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, service := range h.fleet.Orders {
		var stats struct {
			Keys map[string]int `json:"keys"`
		}
		if err := h.fleet.Stats(service, "/runs", &stats); err != nil {
			return nil, err
		}
		for key, n := range stats.Keys {
			runs[key] += n
		}
	}
	return runs, nil
}

// ranAfterNotRun reports whether the order ran although a query returned not_run
// and the order was not sent again after that. The model alone does not find
// this, because an order with the outcome unknown may take effect at any time.
func ranAfterNotRun(part []porcupine.Operation, runs int) bool {
	var notRunReturned, lastSent int64
	for _, op := range part {
		in, out := op.Input.(orderInput), op.Output.(orderOutput)
		switch {
		case in.kind == opQuery && out.outcome == "not_run":
			notRunReturned = max(notRunReturned, op.Return)
		case in.kind == opSend:
			lastSent = max(lastSent, op.Call)
		}
	}
	return runs > 0 && notRunReturned > lastSent
}

func describe(part []porcupine.Operation) []string {
	var lines []string
	for _, op := range part {
		in, out := op.Input.(orderInput), op.Output.(orderOutput)
		lines = append(lines, fmt.Sprintf("at %v for %v %s: %s %s recorded=%v runs=%d", time.Duration(op.Call).Round(time.Millisecond),
			time.Duration(op.Return-op.Call).Round(time.Millisecond), in.kind, out.outcome, out.code, out.recorded, out.runs))
	}
	return lines
}

// SendContinuously sends orders until ctx ends. Each order is sent through one entry or
// through two at once and is queried; some are then retried and queried again.
func (h *Orders) SendContinuously(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	callCtx := context.WithoutCancel(ctx) // calls in flight are not cancelled
	anyEntry := func() int { return random.IntN(len(h.clients)) }
	for ctx.Err() == nil {
		key := NewKey()
		timeout := time.Duration(600+random.IntN(1800)) * time.Millisecond
		first, second, both, retry := anyEntry(), anyEntry(), random.IntN(2) == 0, random.IntN(3) == 0
		var group sync.WaitGroup
		group.Go(func() { h.Send(callCtx, first, key, timeout) })
		if both {
			group.Go(func() { h.Send(callCtx, second, key, timeout) })
		}
		group.Wait()
		h.Query(callCtx, anyEntry(), key)
		if retry {
			h.Send(callCtx, anyEntry(), key, timeout)
			h.Query(callCtx, anyEntry(), key)
		}
	}
}

// NewKey returns a new order key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

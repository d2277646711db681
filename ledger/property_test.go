package ledger

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
)

// journal is what the scenarios need of a Ledger or of the naive baseline.
type journal interface {
	claim(ctx context.Context, key Key, attempt string) (ending, *wire.OrderRecord, error)
	Lookup(ctx context.Context, key Key) (*wire.OrderRecord, error)
	Close(ctx context.Context) error
	sweep(ctx context.Context) error
}

// ending is the part of Claim that its holder calls.
type ending interface {
	Done(status int, contentType string, body []byte)
	Abandon()
	InDoubt()
}

type ledgerJournal struct{ *Ledger }

func (j ledgerJournal) claim(ctx context.Context, key Key, attempt string) (ending, *wire.OrderRecord, error) {
	claim, record, err := j.Claim(ctx, key, digest, attempt)
	if claim == nil {
		return nil, record, err
	}
	return claim, record, err
}

func newLedgerJournal(kv cloud.KV, claimant string, now func() time.Time) journal {
	cfg := Config{MaxBackoff: 30 * time.Second, Logger: slog.New(slog.DiscardHandler), Now: now}
	return ledgerJournal{New(kv, claimant, cfg)}
}

type stepKind int

const (
	stepOrder stepKind = iota
	stepLookup
	stepOutage
	stepRelease // held writes take effect
	stepCrash   // the process loses its memory
	stepReplace // a new epoch starts while the old process still runs
	stepSweep
	stepKinds
)

type endKind int

const (
	endDone endKind = iota
	endInDoubt
	endAbandon // without a send
	endKinds
)

// step is one event of a scenario, followed by a wait.
type step struct {
	Kind           stepKind
	Process, Key   int
	Timeout, Pause time.Duration // of the claim; between claim and send
	End            endKind
	Wait           time.Duration
}

// scenario is drawn before it runs, because rapid's draws may not happen in the
// bubble of synctest.
type scenario struct {
	Steps  []step
	Faults []memkv.Fault   // of successive writes, repeated
	Delays []time.Duration // before and after successive calls, repeated
}

const (
	processes = 3
	orderKeys = 2
)

func drawScenario(t *rapid.T, waits []time.Duration) scenario {
	duration := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 50 * time.Millisecond, time.Second, 5 * time.Second})
	oneStep := rapid.Custom(func(t *rapid.T) step {
		kind := stepKind(max(0, rapid.IntRange(-6, int(stepKinds)-1).Draw(t, "kind"))) // mostly orders
		return step{
			Kind: kind, Process: rapid.IntRange(0, processes-1).Draw(t, "process"), Key: rapid.IntRange(0, orderKeys-1).Draw(t, "key"),
			Timeout: rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, 30 * time.Second}).Draw(t, "timeout"),
			Pause:   duration.Draw(t, "pause"), End: endKind(rapid.IntRange(0, int(endKinds)-1).Draw(t, "end")),
			Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
		}
	})
	fault := rapid.SampledFrom([]memkv.Fault{memkv.None, memkv.None, memkv.LoseAnswer, memkv.LoseRequest, memkv.Hold})
	return scenario{
		Steps:  rapid.SliceOfN(oneStep, 4, 24).Draw(t, "steps"),
		Faults: rapid.SliceOfN(fault, 1, 12).Draw(t, "faults"),
		Delays: rapid.SliceOfN(duration, 1, 8).Draw(t, "delays"),
	}
}

// faultyKV delays calls, as a slow store or a paused process does.
type faultyKV struct {
	*memkv.Store
	mu     sync.Mutex
	delays []time.Duration
	next   int
}

func (kv *faultyKV) sleep() {
	kv.mu.Lock()
	delay := time.Duration(0)
	if len(kv.delays) > 0 {
		delay = kv.delays[kv.next%len(kv.delays)]
		kv.next++
	}
	kv.mu.Unlock()
	time.Sleep(delay)
}

func (kv *faultyKV) Get(ctx context.Context, key string) (cloud.Entry, error) {
	kv.sleep()
	defer kv.sleep()
	return kv.Store.Get(ctx, key)
}

func (kv *faultyKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	kv.sleep()
	defer kv.sleep()
	return kv.Store.Put(ctx, key, value, expected, lease)
}

// openFunc starts a process with a clock.
type openFunc func(kv cloud.KV, claimant string, now func() time.Time) journal

// run is one execution of a scenario.
type run struct {
	scenario
	open    openFunc
	kv      *faultyKV
	keys    []Key
	current []journal // by process
	old     []journal // replaced processes that still run
	epoch   int
	orders  sync.WaitGroup

	mu       sync.Mutex
	clock    int64 // orders the events of the history
	sends    map[int]int
	notRun   map[string]bool
	history  []porcupine.Operation
	crashed  bool
	problems []string
}

// execute runs a scenario in virtual time.
func execute(t *testing.T, s scenario, open openFunc) *run {
	r := &run{scenario: s, open: open, sends: map[int]int{}, notRun: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		r.kv = &faultyKV{Store: memkv.New(), delays: s.Delays}
		r.keys = []Key{mustKey(t, time.Now(), 1)}
		time.Sleep(DeletionMargin)    // valid for all clocks
		for len(r.keys) < orderKeys { // all in one shard
			key := r.keys[0]
			key.hash[hashBytes-1] += byte(len(r.keys))
			r.keys = append(r.keys, key)
		}
		r.injectFaults()
		for range processes {
			r.current = append(r.current, r.start())
		}
		for n, step := range s.Steps {
			r.perform(t.Context(), n, step)
			time.Sleep(step.Wait)
		}
		r.settle(t.Context())
	})
	return r
}

func (r *run) injectFaults() {
	n := 0
	r.kv.SetFault(func(string) memkv.Fault {
		n++
		return r.Faults[n%len(r.Faults)]
	})
}

func (r *run) start() journal {
	r.epoch++
	skew := time.Duration(r.epoch%3-1) * (DeletionMargin/2 - time.Second) // differences stay below the margin
	return r.open(r.kv, fmt.Sprintf("vm@%d", r.epoch), func() time.Time { return time.Now().Add(skew) })
}

func (r *run) perform(ctx context.Context, n int, step step) {
	switch step.Kind {
	case stepOrder:
		j := r.current[step.Process]
		r.orders.Go(func() { r.order(ctx, j, fmt.Sprintf("attempt-%d", n), step) })
	case stepLookup:
		j := r.current[step.Process]
		r.orders.Go(func() { r.lookup(ctx, j, step) })
	case stepOutage:
		r.kv.SetDown(true)
		r.orders.Go(func() { time.Sleep(step.Pause); r.kv.SetDown(false) })
	case stepRelease:
		r.kv.ReleaseHeld()
	case stepCrash:
		r.crashed = true
		ended, cancel := context.WithCancel(ctx)
		cancel()
		j := r.current[step.Process]
		r.current[step.Process] = r.start()
		r.orders.Go(func() { _ = j.Close(ended) })
	case stepReplace:
		r.old = append(r.old, r.current[step.Process])
		r.current[step.Process] = r.start()
	case stepSweep:
		j := r.current[step.Process]
		r.orders.Go(func() { _ = j.sweep(ctx) })
	}
}

// event returns the position of an event in the history.
func (r *run) event() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *run) record(begin int64, key int, in input, out output) {
	end := r.event()
	r.mu.Lock()
	defer r.mu.Unlock()
	in.key = key
	if out.notRun {
		end = 1 << 60 // the claim may still get into the store
		r.notRun[in.attempt] = true
	}
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: begin, Output: out, Return: end})
}

func (r *run) order(ctx context.Context, j journal, attempt string, step step) {
	limited, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	begin := r.event()
	claim, record, err := j.claim(limited, r.keys[step.Key], attempt)
	out := seen(record)
	out.won = claim != nil
	out.inProgress = outcome.CodeOf(err) == outcome.OrderInProgress
	out.notRun = err != nil && !out.inProgress
	r.record(begin, step.Key, input{kind: inClaim, attempt: attempt}, out)
	if claim == nil {
		return
	}
	time.Sleep(step.Pause)
	if step.End != endAbandon {
		r.send(step.Key, attempt)
	}
	begin = r.event()
	switch step.End {
	case endDone:
		claim.Done(200, "text/plain", []byte(attempt))
		r.record(begin, step.Key, input{kind: inDone, attempt: attempt}, output{})
	case endAbandon:
		claim.Abandon()
		r.record(begin, step.Key, input{kind: inAbandon, attempt: attempt}, output{})
	case endInDoubt:
		claim.InDoubt()
	}
}

func (r *run) send(key int, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sends[key]++; r.sends[key] > 1 {
		r.problems = append(r.problems, fmt.Sprintf("key %d was sent %d times", key, r.sends[key]))
	}
	if r.notRun[attempt] {
		r.problems = append(r.problems, "sent after not_run: "+attempt)
	}
}

func (r *run) lookup(ctx context.Context, j journal, step step) {
	limited, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	begin := r.event()
	record, err := j.Lookup(limited, r.keys[step.Key])
	if err == nil {
		r.record(begin, step.Key, input{kind: inLookup}, seen(record))
	}
}

// settle ends all faults and checks that the journal recovers: everything is
// written, and a key that was not sent can be claimed unless a process crashed.
func (r *run) settle(ctx context.Context) {
	r.orders.Wait()
	r.kv.SetFault(nil)
	r.kv.mu.Lock()
	r.kv.delays = nil
	r.kv.mu.Unlock()
	r.kv.SetDown(false)
	r.kv.ReleaseHeld()
	limited, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, j := range append(r.old, r.current...) {
		if err := j.Close(limited); err != nil {
			r.problems = append(r.problems, fmt.Sprintf("close: %v", err))
		}
	}
	fresh := r.start()
	for n, key := range r.keys {
		claim, record, err := fresh.claim(limited, key, "last")
		expired := outcome.CodeOf(err) == outcome.KeyExpired
		if claim != nil {
			r.send(n, "last")
			claim.InDoubt()
		} else if r.sends[n] == 0 && !r.crashed && !expired {
			r.problems = append(r.problems, fmt.Sprintf("key %d is blocked by %v, %v", n, record, err))
		}
	}
	if err := fresh.Close(limited); err != nil {
		r.problems = append(r.problems, fmt.Sprintf("close: %v", err))
	}
}

// Guards against a second send and a send after not_run under lost answers,
// lost and delayed writes, outages, pauses, crashes and the deletion of old
// hours; and against keys that stay blocked although nothing was sent.
func TestOrdersAreSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		waits := []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 13 * time.Hour}
		r := execute(t, drawScenario(rt, waits), newLedgerJournal)
		if len(r.problems) > 0 {
			rt.Fatal(strings.Join(r.problems, "; "))
		}
	})
}

// Guards against answers that contradict each other in time: each key behaves
// like one register that holds the attempt with the right to send.
func TestHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		waits := []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 10 * time.Second}
		r := execute(t, drawScenario(rt, waits), newLedgerJournal)
		if result := porcupine.CheckOperationsTimeout(registerModel, r.history, 10*time.Second); result != porcupine.Ok {
			rt.Fatalf("history of %d operations: %v: %+v", len(r.history), result, r.history)
		}
	})
}

type inputKind int

const (
	inClaim inputKind = iota
	inLookup
	inDone
	inAbandon
)

type input struct {
	kind    inputKind
	key     int
	attempt string
}

type output struct {
	won, inProgress, notRun bool
	holder                  string // attempt in the record; "" if there is none
	status                  wire.OrderStatus
}

func seen(record *wire.OrderRecord) output {
	attempt, _, _ := strings.Cut(record.GetAttemptId(), "/")
	return output{holder: attempt, status: record.GetStatus()}
}

// register is the state of one key: the attempt that holds it. A key is free
// for the next claim in the states unspecified and abandoned. An abandoned
// record may still be shown as claimed, which callers read as unknown.
type register struct {
	holder string
	status wire.OrderStatus
}

func (s register) free() bool { return s.status != claimed && s.status != done }

func (s register) shows(out output) bool {
	if s.holder != out.holder {
		return false
	}
	return out.status == s.status || out.status == claimed
}

func (s register) step(in input, out output) []register {
	switch {
	case in.kind == inDone && s == register{in.attempt, claimed}:
		return []register{{in.attempt, done}}
	case in.kind == inAbandon && s == register{in.attempt, claimed}:
		return []register{{in.attempt, abandoned}}
	case in.kind == inDone || in.kind == inAbandon:
		return nil
	case out.won && s.free():
		return []register{{in.attempt, claimed}}
	case out.won:
		return nil
	case out.notRun && s.free():
		return []register{s, {in.attempt, abandoned}}
	case out.notRun || out.inProgress || s.shows(out):
		return []register{s}
	}
	return nil
}

var registerModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, orderKeys)
		for _, op := range history {
			key := op.Input.(input).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() []any { return []any{register{}} },
	Step: func(state, in, out any) []any {
		var next []any
		for _, s := range state.(register).step(in.(input), out.(output)) {
			next = append(next, s)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// naive is the differential baseline: one compare-and-swap per order and a
// blind retry after a lost answer.
type naive struct{ kv cloud.KV }

func newNaive(kv cloud.KV, _ string, _ func() time.Time) journal { return &naive{kv} }

type naiveClaim struct{}

func (naiveClaim) Done(int, string, []byte) {}
func (naiveClaim) Abandon()                 {}
func (naiveClaim) InDoubt()                 {}

// claim takes a conflict after a lost answer for its own write.
func (n *naive) claim(ctx context.Context, key Key, attempt string) (ending, *wire.OrderRecord, error) {
	storeKey := fmt.Sprintf("%s/%x", key.storeKey(), key.hash)
	entry, err := n.kv.Get(ctx, storeKey)
	if err != nil {
		return nil, nil, err
	}
	if entry.Revision != 0 {
		return nil, &wire.OrderRecord{Status: claimed}, nil
	}
	retried := false
	for ctx.Err() == nil {
		_, err := n.kv.Put(ctx, storeKey, []byte(attempt), 0, 0)
		var uncertain *cloud.UncertainError
		var conflict *cloud.ConflictError
		switch {
		case err == nil, retried && errors.As(err, &conflict):
			return naiveClaim{}, nil, nil
		case errors.As(err, &uncertain):
			retried = true
		default:
			return nil, nil, err
		}
	}
	return nil, nil, ctx.Err()
}

func (n *naive) Lookup(context.Context, Key) (*wire.OrderRecord, error) { return nil, nil }
func (n *naive) Close(context.Context) error                            { return nil }
func (n *naive) sweep(context.Context) error                            { return nil }

// Shows what the ledger is for: the same lost request makes the naive baseline
// send twice, and the ledger once.
func TestNaiveBaselineSendsTwice(t *testing.T) {
	// The first write of process 0 is lost on its way; process 1 claims and
	// sends before process 0 repeats the write.
	s := scenario{
		Faults: []memkv.Fault{memkv.None, memkv.LoseRequest, memkv.None, memkv.None, memkv.None, memkv.None, memkv.None, memkv.None},
		Delays: []time.Duration{0, 0, 0, 2 * time.Second, 0, 0, 0, 0}, // process 0 is paused after its write
		Steps: []step{
			{Kind: stepOrder, Process: 0, Timeout: 30 * time.Second, End: endInDoubt, Wait: 500 * time.Millisecond},
			{Kind: stepOrder, Process: 1, Timeout: 30 * time.Second, End: endInDoubt, Wait: 10 * time.Second},
		},
	}
	if sends := execute(t, s, newNaive).sends[0]; sends != 2 {
		t.Errorf("the naive baseline sent %d times, expected 2", sends)
	}
	if sends := execute(t, s, newLedgerJournal).sends[0]; sends != 1 {
		t.Errorf("the ledger sent %d times, expected 1", sends)
	}
}

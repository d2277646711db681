package ledger

import (
	"context"
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

// orderLedger is what scenarios use of a Ledger, or of the baseline in naive_test.go
// that it is compared with.
type orderLedger interface {
	claim(ctx context.Context, key Key, attempt string) (claimHandle, *wire.OrderRecord, error)
	Lookup(ctx context.Context, key Key) (*wire.OrderRecord, error)
	Close(ctx context.Context) error
	sweep(ctx context.Context) error
}

// claimHandle holds the methods that the holder of a Claim calls.
type claimHandle interface {
	Done(status int, contentType string, body []byte)
	Abandon()
	InDoubt()
}

type ledgerAdapter struct{ *Ledger }

func (l ledgerAdapter) claim(ctx context.Context, key Key, attempt string) (claimHandle, *wire.OrderRecord, error) {
	claim, record, err := l.Claim(ctx, key, digest, attempt)
	if claim == nil {
		return nil, record, err
	}
	return claim, record, err
}

func newLedgerAdapter(kv cloud.KV, claimant string, now func() time.Time) orderLedger {
	cfg := Config{MaxBackoff: 30 * time.Second, Logger: slog.New(slog.DiscardHandler), Now: now}
	return ledgerAdapter{New(kv, claimant, cfg)}
}

type stepKind int

const (
	stepOrder stepKind = iota
	stepLookup
	stepOutage
	stepRelease // writes delayed by memkv.Hold take effect
	stepCrash   // the process ends without writing its records and is replaced
	stepReplace // a new process starts while the old one still runs
	stepSweep
	stepKinds
)

type endKind int

const (
	endDone endKind = iota
	endInDoubt
	endAbandon // not sent, unlike endDone (sent, with a response) and endInDoubt (sent, without one)
	endKinds
)

// step is one event of a scenario, followed by a wait.
type step struct {
	Kind         stepKind
	Process, Key int // indexes of the process and of the key that the step uses
	// Timeout is that of the claim or lookup. Pause is the time between the claim
	// and the send, or the duration of an outage.
	Timeout, Pause time.Duration
	End            endKind
	Wait           time.Duration // before the next step
}

// scenario is drawn before it runs, because rapid must not draw inside a synctest
// bubble.
type scenario struct {
	Steps []step
	// Faults are those of successive writes: write n, counted from 1, gets
	// Faults[n % len(Faults)].
	Faults []memkv.Fault
	// OtherFaults are those of successive other calls, in the same way; empty for
	// none.
	OtherFaults []memkv.Fault
	// Delays are those before and after successive store calls. After the last
	// element the first one follows.
	Delays []time.Duration
}

const (
	processes = 3
	orderKeys = 2
)

func drawScenario(t *rapid.T, waits []time.Duration) scenario {
	duration := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 50 * time.Millisecond, time.Second, 5 * time.Second})
	oneStep := rapid.Custom(func(t *rapid.T) step {
		kind := stepKind(max(0, rapid.IntRange(-6, int(stepKinds)-1).Draw(t, "kind"))) // negative numbers give stepOrder too, so most steps are orders
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

		OtherFaults: rapid.SliceOfN(fault, 0, 12).Draw(t, "faults of other calls"),
		Delays:      rapid.SliceOfN(duration, 1, 8).Draw(t, "delays"),
	}
}

// delayedKV delays calls like a slow store or a paused process. memkv.Store
// injects the faults.
type delayedKV struct {
	*memkv.Store
	mu     sync.Mutex
	delays []time.Duration
	next   int
}

func (kv *delayedKV) sleep() {
	kv.mu.Lock()
	delay := time.Duration(0)
	if len(kv.delays) > 0 {
		delay = kv.delays[kv.next%len(kv.delays)]
		kv.next++
	}
	kv.mu.Unlock()
	time.Sleep(delay)
}

func (kv *delayedKV) Get(ctx context.Context, key string) (cloud.Record, error) {
	kv.sleep()
	defer kv.sleep()
	return kv.Store.Get(ctx, key)
}

func (kv *delayedKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	kv.sleep()
	defer kv.sleep()
	return kv.Store.Put(ctx, key, value, expected, lease)
}

// ledgerFactory returns the ledger of a new process; now is its clock.
type ledgerFactory func(kv cloud.KV, claimant string, now func() time.Time) orderLedger

// execution holds the processes, the store and the recorded history of a running
// scenario.
type execution struct {
	scenario
	createLedger     ledgerFactory
	kv               *delayedKV
	keys             []Key
	current          []orderLedger  // current ledger of each process
	old              []orderLedger  // replaced processes that still run
	startedProcesses int            // number of processes started so far
	orders           sync.WaitGroup // orders and other steps that run in the background

	mu       sync.Mutex
	clock    int64           // logical clock of the history
	sends    map[int]int     // number of sends by key
	notRun   map[string]bool // attempts that were reported as never sent
	history  []porcupine.Operation
	crashed  bool
	problems []string
}

// runScenario runs a scenario in virtual time.
func runScenario(t *testing.T, s scenario, createLedger ledgerFactory) *execution {
	r := &execution{scenario: s, createLedger: createLedger, sends: map[int]int{}, notRun: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		r.kv = &delayedKV{Store: memkv.New(), delays: s.Delays}
		r.keys = []Key{mustKey(t, time.Now(), 1)}
		time.Sleep(DeletionMargin) // until the key is valid on the slowest clock
		// The shard depends on the first bytes of the hash, so a change of the
		// last byte gives another key of the same shard.
		for len(r.keys) < orderKeys {
			key := r.keys[0]
			key.hash[hashBytes-1] += byte(len(r.keys))
			r.keys = append(r.keys, key)
		}
		r.injectFaults()
		for range processes {
			r.current = append(r.current, r.startProcess())
		}
		for n, step := range s.Steps {
			r.runStep(t.Context(), n, step)
			time.Sleep(step.Wait)
		}
		r.checkRecovery(t.Context())
	})
	return r
}

func (r *execution) injectFaults() {
	writes, others := 0, 0
	r.kv.SetFault(func(o memkv.Operation, _ string) memkv.Fault {
		switch {
		case o == memkv.Put:
			writes++
			return r.Faults[writes%len(r.Faults)]
		case len(r.OtherFaults) > 0:
			others++
			return r.OtherFaults[others%len(r.OtherFaults)]
		}
		return memkv.None
	})
}

func (r *execution) startProcess() orderLedger {
	r.startedProcesses++
	// Clocks are right, or fast or slow by 1 s less than half the margin, so that
	// the difference of two clocks stays below DeletionMargin.
	skew := time.Duration(r.startedProcesses%3-1) * (DeletionMargin/2 - time.Second)
	return r.createLedger(r.kv, fmt.Sprintf("vm@%d", r.startedProcesses), func() time.Time { return time.Now().Add(skew) })
}

func (r *execution) runStep(ctx context.Context, n int, step step) {
	switch step.Kind {
	case stepOrder:
		l := r.current[step.Process]
		r.orders.Go(func() { r.runOrder(ctx, l, fmt.Sprintf("attempt-%d", n), step) })
	case stepLookup:
		l := r.current[step.Process]
		r.orders.Go(func() { r.runLookup(ctx, l, step) })
	case stepOutage:
		r.kv.SetDown(true)
		r.orders.Go(func() { time.Sleep(step.Pause); r.kv.SetDown(false) })
	case stepRelease:
		r.kv.ReleaseHeld()
	case stepCrash:
		r.crashed = true
		// Close with a cancelled context writes no records, as if the process had
		// crashed.
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		l := r.current[step.Process]
		r.current[step.Process] = r.startProcess()
		r.orders.Go(func() { _ = l.Close(cancelled) })
	case stepReplace:
		r.old = append(r.old, r.current[step.Process])
		r.current[step.Process] = r.startProcess()
	case stepSweep:
		l := r.current[step.Process]
		r.orders.Go(func() { _ = l.sweep(ctx) })
	}
}

// tick advances the logical clock and returns it.
func (r *execution) tick() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *execution) record(begin int64, key int, in input, out output) {
	end := r.tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	in.key = key
	if out.notRun {
		// The claim may still reach the store, so its operation counts as not
		// returned until the end of the history.
		end = 1 << 60
		r.notRun[in.attempt] = true
	}
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: begin, Output: out, Return: end})
}

func (r *execution) runOrder(ctx context.Context, l orderLedger, attempt string, step step) {
	claimCtx, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	begin := r.tick()
	claim, record, err := l.claim(claimCtx, r.keys[step.Key], attempt)
	out := recordOutput(record)
	out.won = claim != nil
	out.inProgress = outcome.CodeOf(err) == outcome.OrderInProgress
	out.notRun = err != nil && !out.inProgress
	r.record(begin, step.Key, input{kind: inputClaim, attempt: attempt}, out)
	if claim == nil {
		return
	}
	time.Sleep(step.Pause)
	if step.End != endAbandon {
		r.send(step.Key, attempt)
	}
	begin = r.tick()
	switch step.End {
	case endDone:
		claim.Done(200, "text/plain", []byte(attempt))
		r.record(begin, step.Key, input{kind: inputDone, attempt: attempt}, output{})
	case endAbandon:
		claim.Abandon()
		r.record(begin, step.Key, input{kind: inputAbandon, attempt: attempt}, output{})
	case endInDoubt:
		claim.InDoubt() // changes no record, so it is not in the history
	}
}

func (r *execution) send(key int, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sends[key]++; r.sends[key] > 1 {
		r.problems = append(r.problems, fmt.Sprintf("key %d was sent %d times", key, r.sends[key]))
	}
	if r.notRun[attempt] {
		r.problems = append(r.problems, "sent after not_run: "+attempt)
	}
}

func (r *execution) runLookup(ctx context.Context, l orderLedger, step step) {
	lookupCtx, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	begin := r.tick()
	record, err := l.Lookup(lookupCtx, r.keys[step.Key])
	if err == nil {
		r.record(begin, step.Key, input{kind: inputLookup}, recordOutput(record))
	}
}

// checkRecovery ends all faults and checks that the ledgers recover: all records
// are written, and unless a process crashed, a key that was not sent can be
// claimed.
func (r *execution) checkRecovery(ctx context.Context) {
	r.orders.Wait()
	r.kv.SetFault(nil)
	r.kv.mu.Lock()
	r.kv.delays = nil
	r.kv.mu.Unlock()
	r.kv.SetDown(false)
	r.kv.ReleaseHeld()
	timeoutCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, l := range append(r.old, r.current...) {
		if err := l.Close(timeoutCtx); err != nil {
			r.problems = append(r.problems, fmt.Sprintf("close: %v", err))
		}
	}
	fresh := r.startProcess()
	for n, key := range r.keys {
		claim, record, err := fresh.claim(timeoutCtx, key, "last")
		expired := outcome.CodeOf(err) == outcome.KeyExpired
		if claim != nil {
			r.send(n, "last")
			claim.InDoubt()
		} else if r.sends[n] == 0 && !r.crashed && !expired {
			r.problems = append(r.problems, fmt.Sprintf("key %d is blocked by %v, %v", n, record, err))
		}
	}
	if err := fresh.Close(timeoutCtx); err != nil {
		r.problems = append(r.problems, fmt.Sprintf("close: %v", err))
	}
}

// Guards against sending an order twice or after it was reported as not_run, and
// against keys that stay blocked although nothing was sent. The causes are lost
// responses, lost and delayed writes, outages, pauses, crashes and the deletion of
// values whose keys have expired.
func TestOrdersAreSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Two waits of 13 h exceed KeyLifetime (24 h). Three also exceed the 26 h
		// after which every value is deletable: KeyLifetime, at most 1 h of the rest
		// of its hour, and DeletionMargin (1 h).
		waits := []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 13 * time.Hour}
		r := runScenario(t, drawScenario(rt, waits), newLedgerAdapter)
		if len(r.problems) > 0 {
			rt.Fatal(strings.Join(r.problems, "; "))
		}
	})
}

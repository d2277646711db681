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

// journal is the part of a Ledger or of the naive baseline that scenarios use.
type journal interface {
	claim(ctx context.Context, key Key, attempt string) (claimHandle, *wire.OrderRecord, error)
	Lookup(ctx context.Context, key Key) (*wire.OrderRecord, error)
	Close(ctx context.Context) error
	sweep(ctx context.Context) error
}

// claimHandle is the part of Claim that its holder calls.
type claimHandle interface {
	Done(status int, contentType string, body []byte)
	Abandon()
	InDoubt()
}

type ledgerJournal struct{ *Ledger }

func (j ledgerJournal) claim(ctx context.Context, key Key, attempt string) (claimHandle, *wire.OrderRecord, error) {
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

// scenario is drawn before it runs, because rapid must not draw inside a synctest
// bubble.
type scenario struct {
	Steps  []step
	Faults []memkv.Fault   // of successive writes, cycled
	Delays []time.Duration // before and after successive calls, cycled
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

// faultyKV delays calls like a slow store or a paused process.
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

// journalFactory starts a process that uses the clock now.
type journalFactory func(kv cloud.KV, claimant string, now func() time.Time) journal

// run is one execution of a scenario.
type run struct {
	scenario
	newJournal journalFactory
	kv         *faultyKV
	keys       []Key
	current    []journal // current journal of each process
	old        []journal // replaced processes that still run
	epoch      int
	orders     sync.WaitGroup

	mu       sync.Mutex
	clock    int64 // logical clock of the history
	sends    map[int]int
	notRun   map[string]bool
	history  []porcupine.Operation
	crashed  bool
	problems []string
}

// execute runs a scenario in virtual time.
func execute(t *testing.T, s scenario, newJournal journalFactory) *run {
	r := &run{scenario: s, newJournal: newJournal, sends: map[int]int{}, notRun: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		r.kv = &faultyKV{Store: memkv.New(), delays: s.Delays}
		r.keys = []Key{mustKey(t, time.Now(), 1)}
		time.Sleep(DeletionMargin)    // until the key is valid on the slowest clock
		for len(r.keys) < orderKeys { // all keys in one shard
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
		r.checkRecovery(t.Context())
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
	skew := time.Duration(r.epoch%3-1) * (DeletionMargin/2 - time.Second) // clock differences stay below the margin
	return r.newJournal(r.kv, fmt.Sprintf("vm@%d", r.epoch), func() time.Time { return time.Now().Add(skew) })
}

func (r *run) perform(ctx context.Context, n int, step step) {
	switch step.Kind {
	case stepOrder:
		j := r.current[step.Process]
		r.orders.Go(func() { r.runOrder(ctx, j, fmt.Sprintf("attempt-%d", n), step) })
	case stepLookup:
		j := r.current[step.Process]
		r.orders.Go(func() { r.runLookup(ctx, j, step) })
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

// tick advances the logical clock and returns it.
func (r *run) tick() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *run) record(begin int64, key int, in input, out output) {
	end := r.tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	in.key = key
	if out.notRun {
		end = 1 << 60 // the claim may still reach the store
		r.notRun[in.attempt] = true
	}
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: begin, Output: out, Return: end})
}

func (r *run) runOrder(ctx context.Context, j journal, attempt string, step step) {
	limited, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	begin := r.tick()
	claim, record, err := j.claim(limited, r.keys[step.Key], attempt)
	out := recordOutput(record)
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
	begin = r.tick()
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

func (r *run) runLookup(ctx context.Context, j journal, step step) {
	limited, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	begin := r.tick()
	record, err := j.Lookup(limited, r.keys[step.Key])
	if err == nil {
		r.record(begin, step.Key, input{kind: inLookup}, recordOutput(record))
	}
}

// checkRecovery ends all faults and checks that the journal recovers: all records
// are written, and unless a process crashed, a key that was not sent can be
// claimed.
func (r *run) checkRecovery(ctx context.Context) {
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

// Guards against sending an order twice or after not_run, and against keys that
// stay blocked although nothing was sent, under lost responses, lost and delayed
// writes, outages, pauses, crashes and the deletion of old hours.
func TestOrdersAreSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		waits := []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 13 * time.Hour}
		r := execute(t, drawScenario(rt, waits), newLedgerJournal)
		if len(r.problems) > 0 {
			rt.Fatal(strings.Join(r.problems, "; "))
		}
	})
}

// Package soak runs a fleet of real processes under a bounded load while
// faults are mixed at random, and checks the guarantees of the design at the
// end. The choice of faults and requests follows from a seed; the timing of
// the processes does not.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"camphorwick.dev/settings"
	"camphorwick.dev/standin/enginesim"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// Size of the fleet and times of a run.
const (
	entries      = 3
	engines      = 4
	orderServers = 2
	operators    = 2
	operatorRest = 100 * time.Millisecond
	idleTime     = 3 * time.Second
	memoryLimit  = 20 * time.Second
	answerTokens = 40
	callerRest   = 50 * time.Millisecond
	healLimit    = 30 * time.Second
)

// Options of a run.
type Options struct {
	// Bin and Dir are those of fleet.Options.
	Bin, Dir string
	Seed     uint64
	// Duration is the time under load and faults; checks come on top.
	Duration time.Duration
	// Callers is the number of completions, and Orders that of order keys, in
	// progress at once.
	Callers, Orders int
	// Out gets one line per fault, with the time since the start; it may be
	// io.Discard.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	// Requests counts completions by "<band> <outcome> <code>".
	Requests map[string]int
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Orders and Edits are the summaries of the histories.
	Orders, Edits string
	// Polls counts reads of the configuration, Reverts those that went back.
	Polls, Reverts int
	// MemoryLeft is the KV-cache memory and number of streams that engines
	// held after all requests had ended.
	MemoryLeft int
	// Late is the latest end of a completion after its deadline.
	Late time.Duration
	// Violations of the guarantees; none in a good run.
	Violations []error
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "requests by length band and outcome:\n%s", lines(r.Requests))
	fmt.Fprintf(w, "faults:\n%s", lines(r.Faults))
	fmt.Fprintf(w, "orders: %s\nedits: %s\nconfiguration: %d polls, %d reverts\nmemory left: %d\nlatest completion: %v relative to its deadline\n",
		r.Orders, r.Edits, r.Polls, r.Reverts, r.MemoryLeft, r.Late.Round(time.Millisecond))
	for _, err := range r.Violations {
		fmt.Fprintf(w, "violation: %v\n", err)
	}
	fmt.Fprintf(w, "violations: %d\n", len(r.Violations))
}

func lines(counts map[string]int) string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "  %6d %s\n", counts[name], name)
	}
	return b.String()
}

// run is the state of one run.
type run struct {
	options Options
	fleet   *fleet.Fleet
	clients []*client.Client
	started time.Time
	// down is odd while an entry is being replaced, by index of the entry.
	down [entries]atomic.Int64

	mu     sync.Mutex // protects report
	report Report
}

// Run runs a fleet and returns what was found. An error says that the run
// could not be made.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Start(ctx, fleet.Options{Bin: o.Bin, Dir: o.Dir, Entries: entries, Engines: engines, Orders: orderServers,
		DataCentres: []string{"dc-1", "dc-2"}, Proxies: true, Adjust: adjust,
		EngineFlags: []string{"--kv-tokens=60000", "--step-per-prefill=2us"}})
	if err != nil {
		return nil, err
	}
	defer f.Kill()
	r := &run{options: o, fleet: f, clients: history.Clients(f), started: time.Now(),
		report: Report{Requests: map[string]int{}, Faults: map[string]int{}}}
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	return &r.report, nil
}

// adjust bounds the time for which agents keep the answers of lost entries,
// so that the memory can be checked soon after the load.
func adjust(s *settings.Settings) {
	if s.Agent != nil {
		s.Agent.OrphanGraceMillis = 3000
	}
}

func (r *run) run(ctx context.Context) error {
	orders, edits := history.NewOrders(r.fleet), history.NewEdits(r.fleet)
	load, stop := context.WithTimeout(ctx, r.options.Duration)
	defer stop()
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var group, watcher sync.WaitGroup
	watcher.Go(func() {
		polls, reverts := history.WatchReverts(watch, r.fleet)
		r.report.Polls, r.report.Reverts = polls, len(reverts)
		r.violate(reverts...)
	})
	for i := range r.options.Callers {
		group.Go(func() { r.complete(load, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	for i := range r.options.Orders {
		group.Go(func() { orders.Load(load, r.options.Seed<<8+uint64(i)) })
	}
	for i := range operators {
		group.Go(func() { edits.Load(load, r.options.Seed<<8+uint64(i), operatorRest) })
	}
	for i, faults := range [][]fault{connectionFaults, processFaults} {
		group.Go(func() { r.inject(load, faults, rand.New(rand.NewPCG(r.options.Seed, 1000+uint64(i)))) })
	}
	group.Wait()
	if err := r.heal(ctx); err != nil {
		return err
	}
	time.Sleep(idleTime)
	r.checkMemory()
	var found []error
	r.report.Orders, found = orders.Check(ctx)
	r.violate(found...)
	r.report.Edits, found = edits.Check()
	r.violate(found...)
	stopWatch()
	watcher.Wait()
	if err := r.fleet.Stop(); err != nil {
		r.violate(&history.Violation{Text: fmt.Sprintf("a graceful stop failed: %v", err)})
	}
	return nil
}

func (r *run) violate(errs ...error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, errs...)
}

// heal ends all faults and waits until the fleet is whole again.
func (r *run) heal(ctx context.Context) error {
	if err := endAll(r.fleet); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, healLimit)
	defer cancel()
	return r.fleet.AwaitMesh(ctx)
}

// checkMemory waits until no engine holds memory for a stream.
func (r *run) checkMemory() {
	for deadline := time.Now().Add(memoryLimit); ; time.Sleep(callerRest) {
		held := 0
		for _, engine := range r.fleet.Engines {
			var stats struct {
				KVUsedTokens int   `json:"kv_used_tokens"`
				Streams      []any `json:"streams"`
			}
			if err := r.fleet.Stats(engine, "/stats", &stats); err != nil {
				r.violate(err)
			}
			held += stats.KVUsedTokens + len(stats.Streams)
		}
		r.report.MemoryLeft = held
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			r.violate(&history.Violation{Text: fmt.Sprintf("engines hold %d tokens and streams %v after the last request", held, memoryLimit)})
			return
		}
	}
}

// bands are the prompt lengths of the load in tokens; the last one exceeds an
// engine and is served by a group.
var bands = []struct {
	name     string
	min, max int
	weight   int
}{
	{"short", 200, 4_000, 16}, {"medium", 10_000, 30_000, 3}, {"long", 100_000, 120_000, 1},
}

var timeouts = []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, 20 * time.Second}

// complete sends completions until ctx ends.
func (r *run) complete(ctx context.Context, random *rand.Rand) {
	total := 0
	for _, b := range bands {
		total += b.weight
	}
	for ctx.Err() == nil {
		pick, band := random.IntN(total), 0
		for pick >= bands[band].weight {
			pick -= bands[band].weight
			band++
		}
		b := bands[band]
		tokens := b.min + random.IntN(b.max-b.min)
		text := (fmt.Sprintf("request %d ", random.Uint64()) + strings.Repeat("coating ", tokens/2+1))[:tokens*4]
		timeout := timeouts[random.IntN(len(timeouts))]
		q := client.Request{Model: "standin", Prompt: text, MaxTokens: answerTokens, Stream: random.IntN(2) == 0, TimeoutMS: timeout.Milliseconds()}
		r.send(context.WithoutCancel(ctx), b.name, random.IntN(entries), q, timeout)
		time.Sleep(callerRest)
	}
}

// send sends one completion and checks how it ends. A connection may break
// only if the entry was being replaced.
func (r *run) send(ctx context.Context, band string, entry int, q client.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout+healLimit)
	defer cancel()
	before := r.down[entry].Load()
	a, err := r.clients[entry].Complete(ctx, q)
	replaced := before%2 == 1 || r.down[entry].Load() != before
	if err != nil && replaced {
		a.Outcome, a.Code = "connection", "entry replaced"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests[strings.TrimSpace(band+" "+a.Outcome+" "+a.Code)]++
	whole := ""
	if texts, _ := enginesim.Answer([]byte(q.Prompt), answerTokens, 0); len(texts) > 0 {
		whole = strings.Join(texts, "")
	}
	problem := ""
	switch {
	case err != nil && replaced:
		if q.Stream && !strings.HasPrefix(whole, a.Text) {
			problem = "the part of the answer before the connection broke is wrong"
		}
	case err != nil:
		problem = err.Error()
	case !history.IsOutcome(a.Outcome):
		problem = fmt.Sprintf("outcome %q", a.Outcome)
	case a.Outcome == "completed" && a.Text != whole:
		problem = "the whole answer is wrong"
	case a.Outcome == "failed" && q.Stream && a.Status == 200 && !strings.HasPrefix(whole, a.Text):
		problem = "the part of the answer is wrong"
	case a.Duration > timeout+history.Lateness:
		problem = fmt.Sprintf("it ended %v after its deadline", a.Duration-timeout)
	}
	if err == nil {
		r.report.Late = max(r.report.Late, a.Duration-timeout)
	}
	if problem != "" {
		r.report.Violations = append(r.report.Violations, &history.Violation{Text: fmt.Sprintf("%v: %s completion (stream %v, timeout %v, entry %d, outcome %s %s): %s",
			time.Since(r.started).Round(time.Millisecond), band, q.Stream, timeout, entry+1, a.Outcome, a.Code, problem)})
	}
}

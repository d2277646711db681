// Package soak runs a fleet of real processes under a bounded load while random
// faults overlap, and checks the guarantees of the design. The choice of faults
// and requests is determined by a seed; the timing of the processes is not.
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

// Size of the fleet, and intervals and timeouts of a run.
const (
	entries       = 3
	engines       = 4
	orderServers  = 2
	operators     = 2
	editInterval  = 100 * time.Millisecond
	idleTime      = 3 * time.Second
	memoryTimeout = 20 * time.Second
	answerTokens  = 40
	thinkTime     = 50 * time.Millisecond
	healTimeout   = 30 * time.Second
)

// Options of a run.
type Options struct {
	// Bin and Dir are those of fleet.Options.
	Bin, Dir string
	Seed     uint64
	// Duration is the time under load and faults, without the final checks.
	Duration time.Duration
	// Callers and Orders are the numbers of completions and of order keys in
	// flight at once.
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
	// Polls counts reads of the configuration, Reverts those that returned an
	// older revision than an earlier read.
	Polls, Reverts int
	// MemoryLeft is the number of KV-cache tokens plus streams that engines
	// still held after all requests had ended.
	MemoryLeft int
	// Late is the longest time from the deadline of a completion to its end.
	Late time.Duration
	// Violations of the guarantees; a passing run has none.
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
	// replaceSequence is odd while the entry with the index is being replaced.
	// It is incremented at the start and at the end of each replacement.
	replaceSequence [entries]atomic.Int64

	mu     sync.Mutex // guards report
	report Report
}

// Run runs a fleet under load and faults and returns the findings. It returns an
// error if the fleet cannot be started or healed.
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

// adjust shortens the time for which agents keep answers of unreachable entries,
// so that the engines' memory can be checked soon after the load.
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
		r.addViolations(reverts...)
	})
	for i := range r.options.Callers {
		group.Go(func() { r.sendCompletions(load, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	for i := range r.options.Orders {
		group.Go(func() { orders.Load(load, r.options.Seed<<8+uint64(i)) })
	}
	for i := range operators {
		group.Go(func() { edits.Load(load, r.options.Seed<<8+uint64(i), editInterval) })
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
	r.addViolations(found...)
	r.report.Edits, found = edits.Check()
	r.addViolations(found...)
	stopWatch()
	watcher.Wait()
	if err := r.fleet.Stop(); err != nil {
		r.addViolations(&history.Violation{Text: fmt.Sprintf("stop the fleet gracefully: %v", err)})
	}
	return nil
}

func (r *run) addViolations(errs ...error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, errs...)
}

// heal ends all faults and waits until the entries reach all daemons.
func (r *run) heal(ctx context.Context) error {
	if err := endAllFaults(r.fleet); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, healTimeout)
	defer cancel()
	return r.fleet.AwaitMesh(ctx)
}

// checkMemory waits until no engine holds memory for a stream.
func (r *run) checkMemory() {
	for deadline := time.Now().Add(memoryTimeout); ; time.Sleep(thinkTime) {
		held := 0
		for _, engine := range r.fleet.Engines {
			var stats struct {
				KVUsedTokens int   `json:"kv_used_tokens"`
				Streams      []any `json:"streams"`
			}
			if err := r.fleet.Stats(engine, "/stats", &stats); err != nil {
				r.addViolations(err)
			}
			held += stats.KVUsedTokens + len(stats.Streams)
		}
		r.report.MemoryLeft = held
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			r.addViolations(&history.Violation{Text: fmt.Sprintf("engines hold %d tokens and streams %v after the last request", held, memoryTimeout)})
			return
		}
	}
}

// bands are the prompt lengths of the load in tokens. Prompts of the last band
// exceed the memory of one engine and are served by a group.
var bands = []struct {
	name     string
	min, max int
	weight   int
}{
	{"short", 200, 4_000, 16}, {"medium", 10_000, 30_000, 3}, {"long", 100_000, 120_000, 1},
}

var timeouts = []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, 20 * time.Second}

// sendCompletions sends completions until ctx ends.
func (r *run) sendCompletions(ctx context.Context, random *rand.Rand) {
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
		r.sendCompletion(context.WithoutCancel(ctx), b.name, random.IntN(entries), q, timeout)
		time.Sleep(thinkTime)
	}
}

// sendCompletion sends one completion and checks its outcome, text and duration.
// Its connection may break only if the entry was being replaced.
func (r *run) sendCompletion(ctx context.Context, band string, entry int, q client.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout+healTimeout)
	defer cancel()
	before := r.replaceSequence[entry].Load()
	a, err := r.clients[entry].Complete(ctx, q)
	replaced := before%2 == 1 || r.replaceSequence[entry].Load() != before
	if err != nil && replaced {
		a.Outcome, a.Code = "connection", "entry replaced"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests[strings.TrimSpace(band+" "+a.Outcome+" "+a.Code)]++
	complete := ""
	if texts, _ := enginesim.Answer([]byte(q.Prompt), answerTokens, 0); len(texts) > 0 {
		complete = strings.Join(texts, "")
	}
	problem := ""
	switch {
	case err != nil && replaced:
		if q.Stream && !strings.HasPrefix(complete, a.Text) {
			problem = "the answer received before the connection broke is wrong"
		}
	case err != nil:
		problem = err.Error()
	case !history.IsOutcome(a.Outcome):
		problem = fmt.Sprintf("outcome %q", a.Outcome)
	case a.Outcome == "completed" && a.Text != complete:
		problem = "the complete answer is wrong"
	case a.Outcome == "failed" && q.Stream && a.Status == 200 && !strings.HasPrefix(complete, a.Text):
		problem = "the partial answer is wrong"
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

// Package soak runs a fleet of separate processes with a fixed number of requests
// in flight while random faults overlap, and checks the guarantees in
// docs/GUARANTEES.md. The choice of faults and requests is determined by a seed;
// the timing of the processes is not.
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

// Size of the fleet, and intervals and timeouts of a run. Each operator waits
// editInterval after each edit. Each answer has answerTokens. A caller waits
// pauseTime between two requests, as the memory check does between two reads. The
// entries must reach all daemons within recoveryTimeout of the end of all faults.
// The checks start idleTime later; engines must then free all memory within
// memoryTimeout. During the faults, a caller waits for an answer until
// recoveryTimeout after its deadline, which bounds the wait on a connection that
// hangs.
const (
	entries         = 3
	engines         = 4
	orderServers    = 2
	operators       = 2
	editInterval    = 100 * time.Millisecond
	idleTime        = 3 * time.Second
	memoryTimeout   = 20 * time.Second
	answerTokens    = 40
	pauseTime       = 50 * time.Millisecond
	recoveryTimeout = 30 * time.Second
)

// Options of a run.
type Options struct {
	// Bin is the directory of the binaries, Dir the directory for settings and
	// logs, which must exist.
	Bin, Dir string
	Seed     uint64
	// Duration is the time under load and faults, without the final checks.
	Duration time.Duration
	// Callers is the number of callers that send completions, Orders the number of
	// those that send orders, each with one key at a time.
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
	// Orders and Edits are the summaries that history.Orders.Check and
	// history.Edits.Check return.
	Orders, Edits string
	// Polls counts reads of the configuration, Reverts the decreases of a revision
	// from one read to the next, of the configuration or of an item.
	Polls, Reverts int
	// MemoryLeft is the number of KV-cache tokens plus the number of streams that
	// engines still held after all requests had ended. Any value but 0 is an error.
	MemoryLeft int
	// ObservedLateness is the longest time from the deadline of a completion to its
	// end, 0 if none ended after its deadline.
	ObservedLateness time.Duration
	// Violations of the guarantees; a passing run has none.
	Violations []error
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "requests by length band and outcome:\n%s", formatCounts(r.Requests))
	fmt.Fprintf(w, "faults:\n%s", formatCounts(r.Faults))
	fmt.Fprintf(w, "orders: %s\nedits: %s\nconfiguration: %d polls, %d reverts\nKV-cache tokens and streams left: %d\nlongest time from the deadline of a completion to its end: %v\n",
		r.Orders, r.Edits, r.Polls, r.Reverts, r.MemoryLeft, r.ObservedLateness.Round(time.Millisecond))
	for _, err := range r.Violations {
		fmt.Fprintf(w, "violation: %v\n", err)
	}
	fmt.Fprintf(w, "violations: %d\n", len(r.Violations))
}

func formatCounts(counts map[string]int) string { // one line for each name, sorted
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
	// Element i of replaceSequence is odd while entry i is being replaced.
	// It is incremented at the start and at the end of each replacement.
	replaceSequence [entries]atomic.Int64

	mu     sync.Mutex // guards report
	report Report
}

// Run runs a fleet under load and faults and returns the report. It returns an
// error if the fleet cannot be started or its faults cannot be ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Start(ctx, fleet.Options{Bin: o.Bin, Dir: o.Dir, Entries: entries, Engines: engines, Orders: orderServers,
		DataCentres: []string{"dc-1", "dc-2"}, Proxies: true, Adjust: shortenOrphanGrace,
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

// shortenOrphanGrace shortens the time for which agents keep answers whose entry
// cannot be reached, so that the engines' memory can be checked soon after the
// load.
func shortenOrphanGrace(s *settings.Settings) {
	if s.Agent != nil {
		s.Agent.OrphanGraceMillis = 3000
	}
}

func (r *run) run(ctx context.Context) error {
	orders, edits := history.NewOrders(r.fleet), history.NewEdits(r.fleet)
	loadCtx, stop := context.WithTimeout(ctx, r.options.Duration)
	defer stop()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var group, watcher sync.WaitGroup
	watcher.Go(func() {
		polls, reverts := history.WatchReverts(watchCtx, r.fleet)
		r.report.Polls, r.report.Reverts = polls, len(reverts)
		r.addViolations(reverts...)
	})
	// Each loop has a random sequence of its own: callers and faults use the seed of
	// the run with sequence numbers from 0 and from 1000, orders and edits use the
	// seeds 256*seed + index with sequence numbers that package history sets.
	for i := range r.options.Callers {
		group.Go(func() { r.sendCompletions(loadCtx, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	for i := range r.options.Orders {
		group.Go(func() { orders.SendContinuously(loadCtx, r.options.Seed<<8+uint64(i)) })
	}
	for i := range operators {
		group.Go(func() { edits.SendContinuously(loadCtx, r.options.Seed<<8+uint64(i), editInterval) })
	}
	for i, faults := range [][]fault{environmentFaults, daemonFaults} {
		group.Go(func() { r.inject(loadCtx, faults, rand.New(rand.NewPCG(r.options.Seed, 1000+uint64(i)))) })
	}
	group.Wait()
	if err := r.endFaultsAndAwaitSessions(ctx); err != nil {
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
	r.addViolations(r.fleet.Races()...)
	return nil
}

func (r *run) addViolations(errs ...error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, errs...)
}

// endFaultsAndAwaitSessions ends all faults and waits until each entry has a
// session with every other daemon.
func (r *run) endFaultsAndAwaitSessions(ctx context.Context) error {
	if err := endAllFaults(r.fleet); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	return r.fleet.AwaitSessions(ctx)
}

// checkMemory waits until no engine holds memory for a stream, and records a
// violation if that takes longer than memoryTimeout.
func (r *run) checkMemory() {
	for deadline := time.Now().Add(memoryTimeout); ; time.Sleep(pauseTime) {
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
			r.addViolations(&history.Violation{Text: fmt.Sprintf("engines still hold %d (KV-cache tokens plus streams) %v after the start of the memory check", held, memoryTimeout)})
			return
		}
	}
}

// bands are the prompt lengths of the load in tokens, with weight as the relative
// frequency. Prompts of the last band exceed the memory of one engine, 60,000
// tokens, so that several engines serve each of them together.
var bands = []struct {
	name     string
	min, max int
	weight   int
}{
	{"short", 200, 4_000, 16}, {"medium", 10_000, 30_000, 3}, {"long", 100_000, 120_000, 1},
}

// timeouts are those of completions, chosen at random. The first is too short for
// some requests, so that these end at their deadline.
var timeouts = []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, 20 * time.Second}

// sendCompletions sends completions until ctx ends.
func (r *run) sendCompletions(ctx context.Context, random *rand.Rand) {
	total := 0
	for _, b := range bands {
		total += b.weight
	}
	for ctx.Err() == nil {
		// Chooses a band with a probability proportional to its weight.
		pick, bandIndex := random.IntN(total), 0
		for pick >= bands[bandIndex].weight {
			pick -= bands[bandIndex].weight
			bandIndex++
		}
		b := bands[bandIndex]
		tokens := b.min + random.IntN(b.max-b.min)
		// A token has 4 bytes, the repeated word 8.
		text := (fmt.Sprintf("request %d ", random.Uint64()) + strings.Repeat("coating ", tokens/2+1))[:tokens*4]
		timeout := timeouts[random.IntN(len(timeouts))]
		request := client.Request{Model: "standin", Prompt: text, MaxTokens: answerTokens, Stream: random.IntN(2) == 0, TimeoutMS: timeout.Milliseconds()}
		r.sendCompletion(context.WithoutCancel(ctx), b.name, random.IntN(entries), request, timeout)
		time.Sleep(pauseTime)
	}
}

// sendCompletion sends one completion and checks its outcome, text and duration.
// Its connection may break only if the entry was being replaced.
func (r *run) sendCompletion(ctx context.Context, band string, entry int, request client.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout+recoveryTimeout)
	defer cancel()
	sequenceBefore := r.replaceSequence[entry].Load()
	a, err := r.clients[entry].Complete(ctx, request)
	replaced := sequenceBefore%2 == 1 || r.replaceSequence[entry].Load() != sequenceBefore
	if err != nil && replaced {
		a.Outcome, a.Code = "connection", "entry replaced"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests[strings.TrimSpace(band+" "+a.Outcome+" "+a.Code)]++
	expected := ""
	if texts, _ := enginesim.Answer([]byte(request.Prompt), answerTokens, 0); len(texts) > 0 {
		expected = strings.Join(texts, "")
	}
	problem := ""
	switch {
	case err != nil && replaced:
		if request.Stream && !strings.HasPrefix(expected, a.Text) {
			problem = "the answer received before the connection broke is wrong"
		}
	case err != nil:
		problem = err.Error()
	case !history.IsOutcome(a.Outcome):
		problem = fmt.Sprintf("outcome %q is not one of the four outcomes", a.Outcome)
	case a.Outcome == "completed" && a.Text != expected:
		problem = "the text of the completed answer is wrong"
	case a.Outcome == "failed" && request.Stream && a.Status == 200 && !strings.HasPrefix(expected, a.Text):
		problem = "the partial answer is wrong"
	case a.Duration > timeout+history.MaxLateness:
		problem = fmt.Sprintf("the answer ended %v after its deadline", a.Duration-timeout)
	}
	if err == nil {
		r.report.ObservedLateness = max(r.report.ObservedLateness, a.Duration-timeout)
	}
	if problem != "" {
		r.report.Violations = append(r.report.Violations, &history.Violation{Text: fmt.Sprintf("%v: %s completion (stream %v, timeout %v, entry %d, outcome %s %s): %s",
			time.Since(r.started).Round(time.Millisecond), band, request.Stream, timeout, entry+1, a.Outcome, a.Code, problem)})
	}
}

// Command load starts a fleet of real processes with a users' sizes and
// measures it twice in one run: the short load alone, and the same short load
// beside long prompts. It prints times to first token by length band, the
// slowdown of short prompts, and the processor time of the daemons per token.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/load"
)

// firstTokenTarget is the users' target for the time to first token.
const firstTokenTarget = 520 * time.Millisecond

// clockTick is the unit of processor time in /proc; it is 10 ms on Linux.
const clockTick = 10 * time.Millisecond

type options struct {
	bin                       string
	engines, orders, entries  int
	plan                      load.Plan
	engineStepFixed, perToken time.Duration
}

func main() {
	o := options{}
	flag.StringVar(&o.bin, "bin", "bin", "folder with the binaries")
	flag.IntVar(&o.engines, "engines", 25, "model engines")
	flag.IntVar(&o.orders, "orders", 3, "order services")
	flag.IntVar(&o.entries, "entries", 3, "entries")
	flag.Uint64Var(&o.plan.Seed, "seed", 1, "seed of the arrivals")
	flag.DurationVar(&o.plan.Duration, "duration", 20*time.Second, "length of each part")
	flag.Float64Var(&o.plan.Rate, "rate", 20, "short requests per second")
	flag.Float64Var(&o.plan.Swing, "swing", 5, "factor of the rate in the middle fifth")
	flag.Float64Var(&o.plan.LongRate, "long-rate", 0.5, "long requests per second")
	flag.IntVar(&o.plan.LongTokens, "long-tokens", 300_000, "length of long prompts in tokens")
	flag.IntVar(&o.plan.ShortTokens, "short-tokens", 4_000, "longest short prompt in tokens")
	flag.IntVar(&o.plan.AnswerTokens, "answer-tokens", 32, "length of answers in tokens")
	flag.DurationVar(&o.engineStepFixed, "step-fixed", 10*time.Millisecond, "fixed part of an engine step")
	flag.DurationVar(&o.perToken, "step-per-prefill", 10*time.Microsecond, "engine time per prefill token")
	flag.Parse()
	o.plan.Timeout, o.plan.LongTimeout, o.plan.Model = 30*time.Second, 5*time.Minute, "standin"
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "camphorwick-load-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx := context.Background()
	f, err := fleet.Start(ctx, fleet.Options{Bin: o.bin, Dir: dir, Entries: o.entries, Engines: o.engines, Orders: o.orders,
		DataCentres: []string{"dc-1", "dc-2", "dc-3"},
		EngineFlags: []string{"--step-fixed=" + o.engineStepFixed.String(), "--step-per-prefill=" + o.perToken.String()}})
	if err != nil {
		return err
	}
	defer f.Kill()
	var entries []*client.Client
	for _, d := range f.Entries {
		entries = append(entries, client.New(d.Settings.Entry.CallersAddress, fleet.CallerKey))
	}
	fmt.Printf("seed %d, %d engines, %d entries, %v each part, %.0f short requests/s with a swing of %.0f, %.2g long ones/s of %d tokens\n",
		o.plan.Seed, o.engines, o.entries, o.plan.Duration, o.plan.Rate, o.plan.Swing, o.plan.LongRate, o.plan.LongTokens)
	idle(f)
	alone := o.plan
	alone.LongRate, alone.Salt = 0, "alone"
	first := measure(ctx, f, alone, entries, "short prompts alone")
	second := measure(ctx, f, o.plan, entries, "the same beside long prompts")
	fmt.Printf("slowdown of short prompts (p95 of the first token): %.2f\n",
		second.P95(outcome.Short).Seconds()/first.P95(outcome.Short).Seconds())
	return f.Stop()
}

// idleTime is how long the daemons are watched without requests.
const idleTime = 10 * time.Second

// idle prints the processor time that the daemons use without requests: the
// cost of control.
func idle(f *fleet.Fleet) {
	entryBefore, agentBefore := processorTime(f.Entries), processorTime(f.Agents)
	time.Sleep(idleTime)
	share := func(spent time.Duration, daemons int) float64 {
		return 100 * spent.Seconds() / idleTime.Seconds() / float64(daemons)
	}
	fmt.Printf("without requests: %.2f%% of a core per entry, %.2f%% per agent\n\n",
		share(processorTime(f.Entries)-entryBefore, len(f.Entries)), share(processorTime(f.Agents)-agentBefore, len(f.Agents)))
}

// measure runs one part and prints its figures.
func measure(ctx context.Context, f *fleet.Fleet, p load.Plan, entries []*client.Client, name string) *load.Result {
	entryBefore, agentBefore := processorTime(f.Entries), processorTime(f.Agents)
	result := load.Run(ctx, p, entries)
	result.Print(os.Stdout, name)
	tokens := max(result.Tokens, 1)
	fmt.Printf("short first token within %v: %.4f; processor time per token: entries %v, agents %v\n\n", firstTokenTarget,
		result.Share(outcome.Short, firstTokenTarget), (processorTime(f.Entries)-entryBefore)/time.Duration(tokens),
		(processorTime(f.Agents)-agentBefore)/time.Duration(tokens))
	return result
}

// processorTime returns the user and system time of running daemons.
func processorTime(daemons []*fleet.Daemon) time.Duration {
	var total time.Duration
	for _, d := range daemons {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Pid()))
		if err != nil {
			continue // the process has ended
		}
		// The fields after the command name, which stands in parentheses.
		fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
		for _, field := range fields[11:13] {
			ticks, err := strconv.Atoi(string(field))
			if err == nil {
				total += time.Duration(ticks) * clockTick
			}
		}
	}
	return total
}

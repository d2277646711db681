// Command load starts a fleet of separate processes, by default 25 stand-in
// engines, 3 order services and 3 entries, and measures it twice: with short prompts
// alone, and with the same short prompts and long ones. It prints
// times to first token by length band, the slowdown of short prompts, and the
// processor time of the daemons per token.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/standin/process"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/load"
)

// firstTokenTarget is the target for the time to first token of short prompts.
const firstTokenTarget = 520 * time.Millisecond

// clockTick is the unit of processor time in /proc, 10 ms on Linux.
const clockTick = 10 * time.Millisecond

// options are the flags.
type options struct {
	Bin            string        `long:"bin" default:"bin" description:"folder with the binaries"`
	Engines        int           `long:"engines" default:"25" description:"model engines"`
	Orders         int           `long:"orders" default:"3" description:"order services"`
	Entries        int           `long:"entries" default:"3" description:"entries"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Duration       time.Duration `long:"duration" default:"20s" description:"length of each part"`
	Rate           float64       `long:"rate" default:"20" description:"short requests per second"`
	PeakFactor     float64       `long:"swing" default:"5" description:"factor of the rate in the middle fifth"`
	LongRate       float64       `long:"long-rate" default:"0.5" description:"long requests per second"`
	LongTokens     int           `long:"long-tokens" default:"300000" description:"length of long prompts in tokens"`
	MaxShortTokens int           `long:"short-tokens" default:"4000" description:"longest short prompt in tokens"`
	AnswerTokens   int           `long:"answer-tokens" default:"32" description:"length of answers in tokens"`
	StepFixed      time.Duration `long:"step-fixed" default:"10ms" description:"fixed part of an engine step"`
	StepPerPrefill time.Duration `long:"step-per-prefill" default:"10us" description:"engine time per prefill token"`
}

// spec returns the load of the second measurement; the first one leaves out the
// long requests.
func (o *options) spec() load.Spec {
	return load.Spec{Seed: o.Seed, Duration: o.Duration, Rate: o.Rate, PeakFactor: o.PeakFactor, LongRate: o.LongRate, LongTokens: o.LongTokens,
		MaxShortTokens: o.MaxShortTokens, AnswerTokens: o.AnswerTokens, Timeout: 30 * time.Second, LongTimeout: 5 * time.Minute, Model: "standin"}
}

func main() {
	var o options
	process.ParseFlags(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "camphorwick-load-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx := context.Background()
	f, err := fleet.Start(ctx, fleet.Options{Bin: o.Bin, Dir: dir, Entries: o.Entries, Engines: o.Engines, Orders: o.Orders,
		DataCentres: []string{"dc-1", "dc-2", "dc-3"},
		EngineFlags: []string{"--step-fixed=" + o.StepFixed.String(), "--step-per-prefill=" + o.StepPerPrefill.String()}})
	if err != nil {
		return err
	}
	defer f.Kill()
	var entries []*client.Client
	for _, d := range f.Entries {
		entries = append(entries, client.New(d.Settings.Entry.CallersAddress, fleet.CallerKey))
	}
	fmt.Printf("seed %d, %d engines, %d entries, %v for each measurement, %.0f short requests/s with a peak factor of %.0f, %.2g long ones/s of %d tokens\n",
		o.Seed, o.Engines, o.Entries, o.Duration, o.Rate, o.PeakFactor, o.LongRate, o.LongTokens)
	printIdleCost(f)
	spec := o.spec()
	alone := spec
	alone.LongRate, alone.PromptPrefix = 0, "alone" // other prompts than in spec, so that none is cached
	first := measure(ctx, f, alone, entries, "short prompts alone")
	second := measure(ctx, f, spec, entries, "short and long prompts")
	fmt.Printf("slowdown of short prompts (p95 of the time to first token, with long prompts / alone): %.2f\n",
		second.FirstTokenP95(outcome.Short).Seconds()/first.FirstTokenP95(outcome.Short).Seconds())
	return f.Stop()
}

// idleTime is how long the daemons are measured without requests.
const idleTime = 10 * time.Second

// printIdleCost prints the processor time that the daemons use without requests,
// which is the cost of heartbeats and other control traffic.
func printIdleCost(f *fleet.Fleet) {
	entryBefore, agentBefore := processorTime(f.Entries), processorTime(f.Agents)
	time.Sleep(idleTime)
	share := func(spent time.Duration, daemons int) float64 {
		return 100 * spent.Seconds() / idleTime.Seconds() / float64(daemons)
	}
	fmt.Printf("without requests: %.2f%% of a core per entry, %.2f%% per agent\n\n",
		share(processorTime(f.Entries)-entryBefore, len(f.Entries)), share(processorTime(f.Agents)-agentBefore, len(f.Agents)))
}

// measure runs a load and prints the times that its callers saw and the processor
// time of the daemons per token.
func measure(ctx context.Context, f *fleet.Fleet, p load.Spec, entries []*client.Client, name string) *load.Result {
	entryBefore, agentBefore := processorTime(f.Entries), processorTime(f.Agents)
	result := load.Run(ctx, p, entries)
	result.Print(os.Stdout, name)
	tokens := max(result.Tokens, 1)
	fmt.Printf("share of short prompts with the first token within %v: %.4f; processor time per token: entries %v, agents %v\n\n", firstTokenTarget,
		result.ShareWithin(outcome.Short, firstTokenTarget), (processorTime(f.Entries)-entryBefore)/time.Duration(tokens),
		(processorTime(f.Agents)-agentBefore)/time.Duration(tokens))
	return result
}

// processorTime returns the sum of the user and system time of daemons since their
// start, without those that have ended.
func processorTime(daemons []*fleet.Daemon) time.Duration {
	var total time.Duration
	for _, d := range daemons {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Pid()))
		if err != nil {
			continue // the process has ended
		}
		// The fields after the command name, which is in parentheses and may
		// contain spaces. utime and stime, fields 14 and 15 in proc(5),
		// have the indexes 11 and 12 in the rest.
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

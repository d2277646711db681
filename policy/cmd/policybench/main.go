// Command policybench simulates the policy, which is the project's decision
// modules, and two baselines in virtual time. It prints Markdown tables, or writes
// a report folder with tables and plots. Equal flags give equal figures.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"camphorwick.dev/policy/internal/sim"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

func run() error {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 3, "number of seeds in the ablation table")
	length := flag.Duration("length", 120*time.Second, "length of the arrivals in virtual time")
	baseLoad := flag.Float64("base", 0.22, "load outside peaks as a share of the prefill capacity")
	peakFactor := flag.Float64("swing", 5, "load at peaks in multiples of the base load")
	failingShare := flag.Float64("failing", 0.125, "share of servers that fail during each peak")
	longTimeout := flag.Duration("long-timeout", 0, "time limit of long requests; 0 is the usual one")
	attention := flag.Int("attention", 0, "context length in tokens that doubles the cost of a prefill token; 0 is never")
	ablation := flag.Bool("ablation", true, "print the ablation table")
	late := flag.Bool("late", false, "print only what the late short requests at peaks waited for")
	longTokenShare := flag.Float64("long-tokens", 0, "share of the prompt tokens from prompts over 100,000 tokens; 0 is the usual lengths")
	slowShare := flag.Float64("slow", 0, "share of slow servers, rounded to whole servers, which entries do not know about")
	slowSpeed := flag.Float64("slow-speed", 0.5, "speed of the slow servers as a share of the usual one")
	bySeed := flag.String("by-seed", "", "print only the figures of each seed for these variants of the ablation, separated by commas")
	reportFolder := flag.String("report", "", "folder to write the report of all documented loads and seeds to; other flags are ignored")
	timeLimit := flag.Duration("limit", 3*time.Minute, "time after which the program exits with an error")
	flag.Parse()
	time.AfterFunc(*timeLimit, func() {
		fmt.Fprintln(os.Stderr, "policybench: not finished after", *timeLimit)
		os.Exit(1)
	})
	if *reportFolder != "" {
		return writeReport(*reportFolder, documentedScenarios)
	}
	scenario := sim.Scenario{Seed: *seed, Length: *length, BaseLoad: *baseLoad, PeakFactor: *peakFactor, FailingShare: *failingShare, LongTimeout: *longTimeout, Attention: *attention,
		LongTokenShare: *longTokenShare, SlowShare: *slowShare, SlowSpeed: *slowSpeed}
	if *late {
		for _, scenario.Servers = range fleetSizes {
			printLateRequests(os.Stdout, printLateByCause(os.Stdout, scenario))
		}
		return nil
	}
	if *bySeed != "" {
		return printSeeds(os.Stdout, scenario, strings.Split(*bySeed, ","), *seeds)
	}
	for _, scenario.Servers = range fleetSizes {
		printComparison(os.Stdout, scenario)
	}
	if *ablation {
		scenario.Servers, scenario.Strategy = fleetSizes[0], sim.Policy
		printAblation(os.Stdout, scenario, *seeds)
	}
	return nil
}

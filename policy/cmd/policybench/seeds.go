package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/internal/sim"
)

// errUnknownVariant is the error for a variant that the ablation table does not
// have.
var errUnknownVariant = errors.New("unknown variant")

// seedFigures are the figures that printSeeds prints.
var seedFigures = []struct {
	name  string
	value func(*sim.Result) string
}{
	{"peak short in 0.52 s, %", func(r *sim.Result) string { return fmt.Sprintf("%.2f", inTime(r)) }},
	{"short p95 ms", func(r *sim.Result) string {
		return fmt.Sprintf("%.0f", ms(r.FirstToken[outcome.Short].ValueAtQuantile(95)))
	}},
	{"medium p95 ms", func(r *sim.Result) string {
		return fmt.Sprintf("%.0f", ms(r.FirstToken[outcome.Medium].ValueAtQuantile(95)))
	}},
	{"medium finished, %", func(r *sim.Result) string { return fmt.Sprintf("%.1f", finished(r, outcome.Medium)) }},
	{"long finished, %", func(r *sim.Result) string { return fmt.Sprintf("%.1f", longFinished(r)) }},
	{"retries", func(r *sim.Result) string { return fmt.Sprint(r.Retries) }},
	{"wasted, %", func(r *sim.Result) string {
		return fmt.Sprintf("%.2f", wasted(r, r.WastedByFailures+r.WastedByPreemption))
	}},
}

// printSeeds prints the figures of each seed for the named variants. A mean over
// the seeds can hide a seed for which a rule makes the figures worse.
func printSeeds(out io.Writer, s sim.Scenario, names []string, seeds int) error {
	s.Strategy = sim.Policy
	for _, s.Servers = range fleetSizes {
		fmt.Fprintf(out, "\n%d servers, load %.2f with peaks of %.2f, seeds %d to %d\n\n| Figure | Variant |", s.Servers, s.BaseLoad,
			s.BaseLoad*s.PeakFactor, s.Seed, s.Seed+uint64(seeds)-1)
		for i := range seeds {
			fmt.Fprintf(out, " %d |", s.Seed+uint64(i))
		}
		fmt.Fprint(out, "\n|---|---|")
		for range seeds {
			fmt.Fprint(out, "---|")
		}
		fmt.Fprintln(out)
		results := make([][]*sim.Result, len(names))
		for i, name := range names {
			var err error
			if results[i], err = runSeeds(s, name, seeds); err != nil {
				return err
			}
		}
		for _, figure := range seedFigures {
			for i, name := range names {
				fmt.Fprintf(out, "| %s | %s |", figure.name, name)
				for _, r := range results[i] {
					fmt.Fprintf(out, " %s |", figure.value(r))
				}
				fmt.Fprintln(out)
			}
		}
	}
	return nil
}

func runSeeds(s sim.Scenario, name string, seeds int) ([]*sim.Result, error) {
	index := slices.IndexFunc(variants, func(v variant) bool { return v.name == name })
	if index < 0 {
		return nil, fmt.Errorf("run variant %q: %w", name, errUnknownVariant)
	}
	variants[index].change(&s.Rules)
	results := make([]*sim.Result, seeds)
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	first := s.Seed
	for i := range results {
		s := s
		s.Seed = first + uint64(i)
		group.Go(func() {
			slots <- struct{}{}
			results[i] = sim.Run(s)
			<-slots
		})
	}
	group.Wait()
	return results, nil
}

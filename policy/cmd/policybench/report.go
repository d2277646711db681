package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"camphorwick.dev/policy/internal/sim"
)

// load is one part of the report.
type load struct {
	name, title string
	scenario    sim.Scenario
	// seeds is the number of seeds of the ablation.
	seeds int
}

const (
	committedSeed   = 1
	committedSeeds  = 4
	committedLength = 120 * time.Second
	overloadSeeds   = 2 // a run at overload takes several times as long
)

// committed are the loads of docs/MEASUREMENTS.md.
var committed = []load{
	{"usual", "Usual load", sim.Scenario{Base: 0.22, Swing: 5, Failing: 0.125}, committedSeeds},
	{"twice", "Twice the capacity at peaks", sim.Scenario{Base: 0.4, Swing: 5, Failing: 0.25, LongTimeout: time.Minute}, committedSeeds},
	{"fourfold", "Four times the capacity at peaks", sim.Scenario{Base: 0.4, Swing: 10, Failing: 0.25}, committedSeeds},
	{"overload", "Lasting overload", sim.Scenario{Base: 0.7, Swing: 8, Failing: 0.25}, overloadSeeds},
}

// writeReport writes the tables as report.md and the plots as PNG files.
func writeReport(folder string, loads []load) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("report folder: %w", err)
	}
	var out bytes.Buffer
	fmt.Fprintln(&out, "# Benchmark of the decision modules in virtual time")
	for _, l := range loads {
		if err := l.write(&out, folder); err != nil {
			return fmt.Errorf("load %s: %w", l.name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "report.md"), out.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func (l load) write(out *bytes.Buffer, folder string) error {
	fmt.Fprintf(out, "\n## %s\n", l.title)
	s := l.scenario
	s.Seed = committedSeed
	if s.Length == 0 {
		s.Length = committedLength
	}
	for _, s.Servers = range fleetSizes {
		results := compare(out, s)
		printLate(out, s)
		for _, p := range []struct {
			kind string
			save func(string, []*sim.Result) error
		}{{"first-token", plotFirstToken}, {"swing", plotSwing}} {
			name := fmt.Sprintf("%s-%s-%d.png", p.kind, l.name, s.Servers)
			if err := p.save(filepath.Join(folder, name), results); err != nil {
				return fmt.Errorf("plot %s: %w", name, err)
			}
			fmt.Fprintf(out, "\n![%s, %d servers](%s)\n", p.kind, s.Servers, name)
		}
	}
	s.Servers, s.Strategy = fleetSizes[0], sim.Policy
	name := fmt.Sprintf("ablation-%s.png", l.name)
	if err := plotAblation(filepath.Join(folder, name), ablate(out, s, l.seeds)); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	fmt.Fprintf(out, "\n![Ablation](%s)\n", name)
	return nil
}

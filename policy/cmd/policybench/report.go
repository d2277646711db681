package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"camphorwick.dev/policy/internal/sim"
)

// reportedScenario is a scenario with the title of its section in the report.
// The name is part of the names of the plot files.
type reportedScenario struct {
	name, title string
	scenario    sim.Scenario
	// seeds is the number of seeds of the ablation.
	seeds int
}

// The report uses firstSeed for the comparisons, and seedCount or
// overloadSeedCount seeds from firstSeed on for the ablation. Requests arrive for
// arrivalLength, unless a scenario sets another time.
const (
	firstSeed         = 1
	seedCount         = 4
	arrivalLength     = 120 * time.Second
	overloadSeedCount = 2 // a run at overload takes several times as long
)

// documentedScenarios are the scenarios whose results docs/MEASUREMENTS.md gives.
// The load at peaks as a share of the prefill capacity is BaseLoad * PeakFactor:
// 1.1 at usual load, 2, 4 and 5.6 in the others. The scenario "twice" also has a
// timeout of one minute for long requests instead of the usual four.
var documentedScenarios = []reportedScenario{
	{"usual", "Usual load", sim.Scenario{BaseLoad: 0.22, PeakFactor: 5, FailingShare: 0.125}, seedCount},
	{"twice", "Twice the capacity at peaks", sim.Scenario{BaseLoad: 0.4, PeakFactor: 5, FailingShare: 0.25, LongTimeout: time.Minute}, seedCount},
	{"fourfold", "Four times the capacity at peaks", sim.Scenario{BaseLoad: 0.4, PeakFactor: 10, FailingShare: 0.25}, seedCount},
	{"overload", "Lasting overload", sim.Scenario{BaseLoad: 0.7, PeakFactor: 8, FailingShare: 0.25}, overloadSeedCount},
}

// writeReport writes the tables to report.md and the plots to PNG files in the
// folder.
func writeReport(folder string, scenarios []reportedScenario) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	var out bytes.Buffer
	fmt.Fprintln(&out, "# Benchmark of the decision modules in virtual time")
	for _, l := range scenarios {
		if err := l.write(&out, folder); err != nil {
			return fmt.Errorf("write scenario %s: %w", l.name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "report.md"), out.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (l reportedScenario) write(out *bytes.Buffer, folder string) error {
	fmt.Fprintf(out, "\n## %s\n", l.title)
	s := l.scenario
	s.Seed = firstSeed
	if s.Length == 0 {
		s.Length = arrivalLength
	}
	for _, s.Servers = range fleetSizes {
		results := printComparison(out, s)
		printLateByCause(out, s)
		for _, p := range []struct {
			kind string
			save func(string, []*sim.Result) error
		}{{"first-token", plotFirstToken}, {"swing", plotLoadCycle}} {
			name := fmt.Sprintf("%s-%s-%d.png", p.kind, l.name, s.Servers)
			if err := p.save(filepath.Join(folder, name), results); err != nil {
				return fmt.Errorf("draw plot %s: %w", name, err)
			}
			fmt.Fprintf(out, "\n![%s, %d servers](%s)\n", p.kind, s.Servers, name)
		}
	}
	s.Servers, s.Strategy = fleetSizes[0], sim.Policy
	name := fmt.Sprintf("ablation-%s.png", l.name)
	if err := plotAblation(filepath.Join(folder, name), printAblation(out, s, l.seeds)); err != nil {
		return fmt.Errorf("draw plot %s: %w", name, err)
	}
	fmt.Fprintf(out, "\n![Ablation](%s)\n", name)
	return nil
}

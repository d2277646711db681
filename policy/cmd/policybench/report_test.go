package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/policy/internal/sim"
)

// Guards against reports that differ between equal runs, so that the effect of a
// change to the policy could not be seen, and against a plot that is not written.
func TestReportIsTheSameOnEveryRun(t *testing.T) {
	is := is.New(t)
	scenarios := []reportedScenario{{"small", "Small", sim.Scenario{BaseLoad: 0.05, PeakFactor: 5, FailingShare: 0.125, Length: 18 * time.Second}, 1}}
	first, second := t.TempDir(), t.TempDir()
	is.NoErr(writeReport(first, scenarios))
	is.NoErr(writeReport(second, scenarios))
	files, err := os.ReadDir(first)
	is.NoErr(err)
	is.Equal(len(files), 6) // report.md, two plots for each of two fleet sizes, the ablation plot
	for _, file := range files {
		a, err := os.ReadFile(filepath.Join(first, file.Name()))
		is.NoErr(err)
		b, err := os.ReadFile(filepath.Join(second, file.Name()))
		is.NoErr(err)
		is.True(len(a) > 0)
		is.Equal(string(a) == string(b), true)
	}
}

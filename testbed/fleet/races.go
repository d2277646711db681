package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// raceSuffix is the suffix of the files with the reports of the race detector. The
// detector appends the process ID.
const raceSuffix = ".race"

// raceEnvironment returns the environment variable that makes the race detector of
// a process write its reports to files of their own: in the log, lines of other
// threads would stand between theirs. Options of the caller's environment stay.
func (f *Fleet) raceEnvironment(name string) string {
	options := os.Getenv("GORACE") + " log_path=" + filepath.Join(f.Options.Dir, name+raceSuffix)
	return "GORACE=" + strings.TrimSpace(options)
}

// RaceError is a data race that the race detector has found in a process.
type RaceError struct {
	// Process is the name of the process with its ID, Report the complete report.
	Process, Report string
}

func (e *RaceError) Error() string { return fmt.Sprintf("data race in %s:\n%s", e.Process, e.Report) }

// Races returns the data races of all processes that the fleet has started, also of
// those that were killed. The errors are of type *RaceError, except for errors of
// reading the reports.
func (f *Fleet) Races() []error {
	files, err := filepath.Glob(filepath.Join(f.Options.Dir, "*"+raceSuffix+".*"))
	if err != nil {
		return []error{fmt.Errorf("find race reports in %q: %w", f.Options.Dir, err)}
	}
	var errs []error
	for _, file := range files {
		report, err := os.ReadFile(file)
		if err != nil {
			errs = append(errs, fmt.Errorf("read race report: %w", err))
			continue
		}
		errs = append(errs, &RaceError{strings.Replace(filepath.Base(file), raceSuffix+".", " ", 1), string(report)})
	}
	return errs
}

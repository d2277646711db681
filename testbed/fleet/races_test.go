package fleet

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// raceTime bounds the time until the racing program has written its log.
const raceTime = 20 * time.Second

// Guards against a data race of a process that no test reports: its report is not
// among the last lines of the log, and a process that is killed has no exit status.
func TestRacesOfKilledProcessesAreReported(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	build := exec.Command("go", "build", "-race", "-o", filepath.Join(dir, "race"), "./testdata/race")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f, err := Empty(Options{Bin: dir, Dir: dir})
	is.NoErr(err)
	defer f.Kill()
	for _, name := range []string{"first", "second"} {
		p, err := f.StartProcess("race", name, nil)
		is.NoErr(err)
		awaitLog(t, f, name, "done")
		p.KillNow()
	}
	races := f.Races()
	is.Equal(len(races), 2)
	for _, err := range races {
		var race *RaceError
		is.True(errors.As(err, &race))
		is.Equal(strings.Count(race.Report, "WARNING: DATA RACE"), 1)
		is.Equal(strings.Count(race.Report, "main.main.func1()"), 2) // both accesses
		is.True(!strings.Contains(race.Report, "line"))              // nothing of the log
	}
}

// awaitLog waits until the log of a process contains text.
func awaitLog(t *testing.T, f *Fleet, name, text string) {
	t.Helper()
	for end := time.Now().Add(raceTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		data, err := os.ReadFile(f.LogFile(name))
		if err == nil && strings.Contains(string(data), text) {
			return
		}
	}
	t.Fatalf("log of %s without %q", name, text)
}

package gatewaysoak

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testSeeds are the seeds of every test run: one that draws all faults, and each
// seed that has failed, with its cause.
var testSeeds = []uint64{
	1,
	128, // a watch accepted by the unresponsive store hid a dropped route
	133, // SIGHUP terminated a process that did not handle signals yet
}

// plannedSeeds are the seeds of planned work in every test run.
var plannedSeeds = []uint64{1, 2, 3}

// plannedTime is the time under planned work of a seed; a stop lasts for up to 8 s.
const plannedTime = 8 * time.Second

// binaries returns a directory with the gateway's binary, built with the race
// detector.
func binaries(t *testing.T) string {
	t.Helper()
	bin := os.Getenv("CAMPHORWICK_BIN")
	if bin == "" {
		bin = t.TempDir()
		out, err := exec.Command("go", "build", "-race", "-o", bin+string(filepath.Separator), "camphorwick.dev/daemon/cmd/camphorwick").CombinedOutput()
		if err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	return bin
}

// Guards against broken guarantees when faults of gateways, store, servers and
// connections overlap, which no other test covers. `make gateway-soak` runs
// longer with other seeds.
func TestGatewaySoak(t *testing.T) {
	bin := binaries(t)
	for _, seed := range testSeeds {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		report, err := Run(ctx, Options{Bin: bin, Dir: t.TempDir(), Seed: seed, Duration: 10 * time.Second, Gateways: 3, Out: io.Discard})
		is.NoErr(err)
		t.Log(seed, report.Requests, report.Faults)
		for _, v := range report.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}

// Guards against requests that end without an answer while gateways are only
// stopped, reloaded and reconfigured, which TestGatewaySoak cannot tell from the
// effects of crashes.
func TestPlannedWork(t *testing.T) {
	bin := binaries(t)
	for _, seed := range plannedSeeds {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		report, err := Run(ctx, Options{Bin: bin, Dir: t.TempDir(), Seed: seed, Duration: plannedTime, Gateways: 3, Planned: true, Out: io.Discard})
		is.NoErr(err)
		is.True(report.Requests[toStopping] > 0) // otherwise the run shows nothing
		t.Log(seed, report.Requests, report.Faults)
		for _, v := range report.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}

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

// Guards against broken guarantees when faults of gateways, store, servers and
// connections overlap, which no other test covers. `make gateway-soak` runs
// longer with other seeds.
func TestGatewaySoak(t *testing.T) {
	bin := os.Getenv("CAMPHORWICK_BIN")
	if bin == "" {
		bin = t.TempDir()
		out, err := exec.Command("go", "build", "-race", "-o", bin+string(filepath.Separator), "camphorwick.dev/daemon/cmd/camphorwick").CombinedOutput()
		if err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
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

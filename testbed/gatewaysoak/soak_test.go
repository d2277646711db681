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

// testSeeds are played by every run of the tests: one for all faults, and each
// seed that ever failed, with its cause.
var testSeeds = []uint64{
	1,
	128, // a watch that the silent store had taken hid a dropped route
	133, // SIGHUP before the process handled signals ended it
}

// Guards against broken promises under combinations of faults that no other
// test has. `make gateway-soak` runs longer with other seeds.
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

package e2e

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/soak"
)

// soakSeed determines the faults and requests of the short run.
const soakSeed = 20

// Guards against broken guarantees when faults overlap in combinations that no
// other test covers. `make soak` runs longer with other seeds.
func TestSoak(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	dir := t.TempDir()
	report, err := soak.Run(ctx, soak.Options{Bin: binaries, Dir: dir, Seed: soakSeed, Duration: 12 * time.Second, Callers: 8, Orders: 4, Out: io.Discard})
	is.NoErr(err)
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	is.Equal(len(report.Violations), 0)
}

// Command gatewaysoak runs gateways under random faults, once per seed, and
// fails if a guarantee was broken. Each seed is printed, so that its run can be
// repeated.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"camphorwick.dev/standin/process"
	"camphorwick.dev/testbed/gatewaysoak"
)

// options are the flags.
type options struct {
	Bin      string        `long:"bin" default:"bin" description:"folder with the binaries"`
	Seed     uint64        `long:"seed" description:"first seed; a new one by default"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Jobs     uint64        `long:"jobs" default:"1" description:"seeds played at once"`
	Duration time.Duration `long:"duration" default:"15s" description:"time under load and faults of a seed"`
	Gateways int           `long:"gateways" default:"3" description:"gateway processes"`
	Callers  int           `long:"callers" description:"callers; by default 12, or 40 with -planned"`
	Planned  bool          `long:"planned" description:"planned work only: stops, reloads, changes of the configuration and drains; each request must get an answer"`
	Logs     string        `long:"logs" description:"folder for settings and logs, kept at the end; a temporary one by default"`
	Verbose  bool          `long:"verbose" description:"print each fault"`
}

func main() {
	var flagValues options
	process.ParseFlags(&flagValues)
	if flagValues.Seed == 0 {
		flagValues.Seed = uint64(time.Now().Unix())
	}
	o := gatewaysoak.Options{Bin: flagValues.Bin, Duration: flagValues.Duration, Gateways: flagValues.Gateways, Callers: flagValues.Callers,
		Planned: flagValues.Planned, Out: io.Discard}
	if flagValues.Verbose {
		o.Out = os.Stdout
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var group sync.WaitGroup
	var failedSeeds atomic.Int64
	next := atomic.Uint64{}
	for range flagValues.Jobs {
		group.Go(func() {
			for n := next.Add(1); n <= flagValues.Seeds && ctx.Err() == nil; n = next.Add(1) {
				if !runSeed(ctx, o, flagValues.Seed+n-1, flagValues.Logs) {
					failedSeeds.Add(1)
				}
			}
		})
	}
	group.Wait()
	fmt.Printf("%d seeds requested, %d failed\n", flagValues.Seeds, failedSeeds.Load())
	if failedSeeds.Load() > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed and reports whether the run ended without violations.
func runSeed(ctx context.Context, o gatewaysoak.Options, seed uint64, logs string) bool {
	o.Seed = seed
	var err error
	if logs == "" {
		o.Dir, err = os.MkdirTemp("", "camphorwick-gatewaysoak-")
		defer func() { _ = os.RemoveAll(o.Dir) }()
	} else {
		o.Dir = filepath.Join(logs, fmt.Sprint(seed))
		err = os.MkdirAll(o.Dir, 0o755)
	}
	if err != nil {
		fmt.Printf("seed %d: no result: %v\n", seed, err)
		return false
	}
	report, err := gatewaysoak.Run(ctx, o)
	if err != nil {
		fmt.Printf("seed %d: no result: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d requests run by servers, answers %v, faults %v, %d violations\n", seed, report.Runs, report.Requests, report.Faults, len(report.Violations))
	for _, v := range report.Violations {
		fmt.Printf("  violation: %v\n", v)
	}
	return len(report.Violations) == 0
}

// Command gatewaysoak plays seeds of faults against gateways and fails if a
// promise was broken. Each seed is printed, so that it can be played again.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"camphorwick.dev/testbed/gatewaysoak"
)

func main() {
	var o gatewaysoak.Options
	flag.StringVar(&o.Bin, "bin", "bin", "folder with the binaries")
	first := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds")
	jobs := flag.Uint64("jobs", 1, "seeds played at once")
	flag.DurationVar(&o.Duration, "duration", 15*time.Second, "time under load and faults of a seed")
	flag.IntVar(&o.Gateways, "gateways", 3, "gateway processes")
	logs := flag.String("logs", "", "folder for settings and logs, kept at the end; a temporary one by default")
	verbose := flag.Bool("verbose", false, "print each fault")
	flag.Parse()
	o.Out = io.Discard
	if *verbose {
		o.Out = os.Stdout
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var group sync.WaitGroup
	var bad atomic.Int64
	next := atomic.Uint64{}
	for range *jobs {
		group.Go(func() {
			for n := next.Add(1); n <= *seeds && ctx.Err() == nil; n = next.Add(1) {
				if !play(ctx, o, *first+n-1, *logs) {
					bad.Add(1)
				}
			}
		})
	}
	group.Wait()
	fmt.Printf("%d seeds, %d with violations\n", *seeds, bad.Load())
	if bad.Load() > 0 {
		os.Exit(1)
	}
}

// play plays one seed and reports whether it was good.
func play(ctx context.Context, o gatewaysoak.Options, seed uint64, logs string) bool {
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
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	report, err := gatewaysoak.Run(ctx, o)
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d runs, requests %v, faults %v, %d violations\n", seed, report.Runs, report.Requests, report.Faults, len(report.Violations))
	for _, v := range report.Violations {
		fmt.Printf("  violation: %v\n", v)
	}
	return len(report.Violations) == 0
}

// Command soak mixes faults at random under load against a fleet of real
// processes, prints what it counted, and fails if a guarantee was broken. The
// seed is printed first, so that a run can be repeated with the same choices.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"camphorwick.dev/testbed/soak"
)

func main() {
	var o soak.Options
	flag.StringVar(&o.Bin, "bin", "bin", "folder with the binaries")
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()), "seed of faults and requests")
	flag.DurationVar(&o.Duration, "duration", 2*time.Minute, "time under load and faults")
	flag.IntVar(&o.Callers, "callers", 12, "completions in progress at once")
	flag.IntVar(&o.Orders, "orders", 6, "order keys in progress at once")
	logs := flag.String("logs", "", "folder for settings and logs, kept at the end; a temporary one by default")
	flag.Parse()
	o.Out = os.Stdout
	violations, err := run(o, *logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

func run(o soak.Options, logs string) (violations int, err error) {
	fmt.Printf("seed %d, %v, %d callers, %d orders at once\n", o.Seed, o.Duration, o.Callers, o.Orders)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if o.Dir = logs; logs == "" {
		if o.Dir, err = os.MkdirTemp("", "camphorwick-soak-"); err != nil {
			return 0, fmt.Errorf("make a folder: %w", err)
		}
		defer func() { _ = os.RemoveAll(o.Dir) }()
	}
	report, err := soak.Run(ctx, o)
	if err != nil {
		return 0, err
	}
	report.Write(os.Stdout)
	return len(report.Violations), nil
}

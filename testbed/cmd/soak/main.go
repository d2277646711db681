// Command soak runs a fleet of separate processes under load and random faults,
// prints a report, and fails if a guarantee was broken. The seed is printed
// first, so that a run can be repeated with the same faults and requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"camphorwick.dev/standin/process"
	"camphorwick.dev/testbed/soak"
)

// options are the flags.
type options struct {
	Bin      string        `long:"bin" default:"bin" description:"folder with the binaries"`
	Seed     uint64        `long:"seed" description:"seed of faults and requests; a new one by default"`
	Duration time.Duration `long:"duration" default:"2m" description:"time under load and faults"`
	Callers  int           `long:"callers" default:"12" description:"completions in progress at once"`
	Orders   int           `long:"orders" default:"6" description:"order keys in progress at once"`
	Logs     string        `long:"logs" description:"folder for settings and logs, kept at the end; a temporary one by default"`
}

func main() {
	var f options
	process.ParseFlags(&f)
	if f.Seed == 0 {
		f.Seed = uint64(time.Now().UnixNano())
	}
	o := soak.Options{Bin: f.Bin, Seed: f.Seed, Duration: f.Duration, Callers: f.Callers, Orders: f.Orders, Out: os.Stdout}
	violations, err := run(o, f.Logs)
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
			return 0, fmt.Errorf("create temporary directory: %w", err)
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

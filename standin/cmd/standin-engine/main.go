// Command standin-engine runs the simulated model engine of package enginesim
// as a process, for tests and demos with real connections.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"camphorwick.dev/standin/enginesim"
	"camphorwick.dev/standin/process"
)

// options are the flags; enginesim.Config documents the values.
type options struct {
	Address       string `long:"address" default:"127.0.0.1:0" description:"address of the engine"`
	FaultsAddress string `long:"faults-address" default:"127.0.0.1:0" description:"address of /faults and /stats"`

	Models   []string `long:"model" description:"model loaded at the start; repeat for more (default: standin)"`
	KVTokens int      `long:"kv-tokens" default:"400000" description:"KV-cache memory, tokens"`

	StepTokens     int           `long:"step-tokens" default:"2048" description:"prefill tokens per step"`
	StepFixed      time.Duration `long:"step-fixed" default:"5ms" description:"fixed part of the step time"`
	StepPerPrefill time.Duration `long:"step-per-prefill" default:"10us" description:"step time per prefill token"`
	StepPerDecode  time.Duration `long:"step-per-decode" default:"100us" description:"step time per decoding sequence"`
	MaxQueued      int           `long:"max-queued" default:"0" description:"requests that may wait; 0 for no limit"`

	Retention   time.Duration `long:"retention" default:"10s" description:"time for which a broken stream can be re-attached"`
	KeepForever bool          `long:"keep-forever" description:"keep broken streams until they are cancelled (a leak)"`

	StateBytesPerToken int           `long:"state-bytes-per-token" default:"8" description:"size of an exported state"`
	StateTimePerToken  time.Duration `long:"state-time-per-token" default:"1us" description:"time of an export or import"`

	EventDelay           time.Duration `long:"event-delay" default:"500ms" description:"age at which cache events become visible"`
	EventLossProbability float64       `long:"event-gap" default:"0" description:"probability that a cache event is lost"`
	Seed                 uint64        `long:"seed" default:"1" description:"seed of the lost cache events"`

	LoadLag  time.Duration `long:"load-lag" default:"500ms" description:"age of load reports"`
	LoadTime time.Duration `long:"load-time" default:"2s" description:"time to load a model, adapter or version"`

	FencingChecked  bool    `long:"fencing-checked" description:"refuse orders with an old fencing token"`
	StopProbability float64 `long:"stop-probability" default:"0" description:"probability that an answer stops at a token"`
}

func (o options) config() enginesim.Config {
	models := o.Models
	if len(models) == 0 {
		models = []string{"standin"}
	}
	return enginesim.Config{
		Models: models, KVTokens: o.KVTokens,
		StepTokens: o.StepTokens, StepFixed: o.StepFixed,
		StepPerPrefill: o.StepPerPrefill, StepPerDecode: o.StepPerDecode,
		MaxQueued: o.MaxQueued, Retention: o.Retention, KeepForever: o.KeepForever,
		StateBytesPerToken: o.StateBytesPerToken, StateTimePerToken: o.StateTimePerToken,
		EventDelay: o.EventDelay, EventLossProbability: o.EventLossProbability, Seed: o.Seed,
		LoadLag: o.LoadLag, LoadTime: o.LoadTime,
		FencingChecked: o.FencingChecked, StopProbability: o.StopProbability,
	}
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).ParseArgs(process.LongFlags(os.Args[1:])); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2) // go-flags printed the error
	}
	if err := run(o); err != nil {
		slog.New(slog.NewJSONHandler(os.Stderr, nil)).Error("engine stand-in failed", "error", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT.
func run(o options) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	engine, err := enginesim.New(o.config())
	if err != nil {
		return fmt.Errorf("create engine: %w", err)
	}
	defer engine.Close()
	callListener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return fmt.Errorf("listen for engine calls: %w", err)
	}
	faultsListener, err := net.Listen("tcp", o.FaultsAddress)
	if err != nil {
		return fmt.Errorf("listen for faults: %w", err)
	}
	server := enginesim.NewServer(engine)
	failed := make(chan error, 2) // one per listener
	go func() { failed <- server.Serve(callListener) }()
	go func() { failed <- server.ServeFaults(faultsListener) }()
	if err := writeReady(callListener.Addr(), faultsListener.Addr()); err != nil {
		return err
	}
	select {
	case <-stop:
		return stopServer(server)
	case err := <-failed:
		return errors.Join(err, stopServer(server))
	}
}

// stopServer logs, but does not report, connections that callers keep open past
// the timeout of Shutdown.
func stopServer(s *enginesim.Server) error {
	if err := s.Shutdown(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		slog.New(slog.NewJSONHandler(os.Stderr, nil)).Warn("connections were still open", "error", err)
	}
	return nil
}

// writeReady writes the bound addresses as one JSON line.
func writeReady(address, faults net.Addr) error {
	ready := struct {
		Message       string `json:"msg"`
		Address       string `json:"address"`
		FaultsAddress string `json:"faults_address"`
	}{"ready", address.String(), faults.String()}
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return fmt.Errorf("write ready line: %w", err)
	}
	return nil
}

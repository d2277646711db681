// Command camphorwick is the daemon of an entry or an agent. Its role,
// addresses and data centre come from a settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/backend"
	"camphorwick.dev/backend/enginehttp"
	"camphorwick.dev/backend/servicehttp"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/httpkv"
	"camphorwick.dev/daemon/agent"
	"camphorwick.dev/daemon/entry"
	"camphorwick.dev/daemon/listen"
	"camphorwick.dev/daemon/member"
	"camphorwick.dev/daemon/signals"
	"camphorwick.dev/observe"
	"camphorwick.dev/platform"
	"camphorwick.dev/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// shutdownTimeout bounds the time to send the last spans and metrics.
const shutdownTimeout = 5 * time.Second

type runCommand struct {
	Settings string `short:"s" long:"settings" required:"true" description:"settings file in JSON"`
}

type checkCommand struct {
	Settings string `short:"s" long:"settings" required:"true" description:"settings file in JSON"`
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "camphorwick"
	run, check := &runCommand{}, &checkCommand{}
	runCmd, err := parser.AddCommand("run", "run the daemon", "Runs the role that the settings file names until SIGTERM, which stops it gracefully.", run)
	must(runCmd, err)
	runCmd.FindOptionByLongName("settings").EnvDefaultKey = platform.SettingsVariable
	must(parser.AddCommand("check-config", "check a settings file", "Checks a settings file and opens no port.", check))
	_, err = parser.Parse()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}

func must(_ *flags.Command, err error) {
	if err != nil {
		panic(err) // a command struct is invalid
	}
}

func exitCode(err error) int {
	var usage *flags.Error
	var invalid *settings.Error
	switch {
	case errors.As(err, &usage):
		if usage.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	case errors.As(err, &invalid):
		return exitSettings
	}
	return exitFailed
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	signals.RestoreDefaults()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of %s %s are valid\n", c.Settings, s.Role, s.VM)
	return nil
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	p := processSignals{terminate: signals.Terminate, interrupt: signals.Interrupt, reload: signals.Reload}
	data, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	s, err := settings.Parse(c.Settings, data)
	if err != nil {
		return err
	}
	ctx := context.Background()
	telemetry, err := observe.New(ctx, observe.Options{VM: s.VM, Role: string(s.Role), DataCentre: s.DataCentre,
		LogLevel: s.LogLevel, Log: logOutput(s.Role), OTLPURL: s.Trace.OTLPURL, LogSpans: s.Trace.Log})
	if err != nil {
		return fmt.Errorf("set up telemetry: %w", err)
	}
	if s.Role == settings.RoleGateway {
		err = serveGateway(ctx, p, reloader{log: telemetry.Log, path: c.Settings, role: s.Role, lastData: data}, s, telemetry)
	} else {
		err = serve(ctx, p, s, telemetry)
	}
	if err != nil {
		telemetry.Log.Error("daemon failed", "error", err.Error())
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return errors.Join(err, telemetry.Shutdown(shutdownCtx))
}

// processSignals holds the channels of the signals that a daemon handles.
type processSignals struct {
	terminate, interrupt, reload chan os.Signal
}

// role is the common interface of all roles.
type role interface {
	Stop()
	Ready() error
}

// serve opens the listeners of an entry or agent and runs it until it has
// stopped.
func serve(ctx context.Context, p processSignals, s *settings.Settings, t *observe.Telemetry) error {
	store := httpkv.New(httpkv.Options{Address: hostOf(s.Platform.URL),
		CallTimeout: time.Duration(s.Platform.TimeoutMillis) * time.Millisecond, Log: t.Log})
	defer store.Close()
	kv, err := member.MeterKV(store, t.Meter)
	if err != nil {
		return fmt.Errorf("set up store metrics: %w", err)
	}
	ports := &ports{}
	defer ports.close()
	ops := ports.open(s.OpsAddress)
	control := ports.open(s.ControlAddress)
	var r role
	var run func(context.Context) error
	switch s.Role {
	case settings.RoleEntry:
		listeners := entry.Listeners{Control: control, Callers: ports.open(s.Entry.CallersAddress), Admin: ports.open(s.Entry.AdminAddress)}
		e, err := entry.New(s, entry.Deps{KV: kv, VMs: store, Weights: store, Telemetry: t})
		if err != nil {
			return err
		}
		r, run = e, func(ctx context.Context) error { return e.Run(ctx, listeners) }
	default:
		deps, err := agentDeps(s, kv, store, t)
		if err != nil {
			return err
		}
		a, err := agent.New(s, deps)
		if err != nil {
			return err
		}
		r, run = a, func(ctx context.Context) error { return a.Run(ctx, listen.Retry(control, t.Log)) }
	}
	if ports.err != nil {
		return ports.err
	}
	return runRole(ctx, p, t, r, run, ops, reloader{log: t.Log})
}

// runRole runs a role together with its health and metrics server, which also serves the
// given handlers, and stops it on a signal.
func runRole(ctx context.Context, p processSignals, t *observe.Telemetry, r role, run func(context.Context) error, ops net.Listener, reload reloader, handlers ...observe.OpsHandler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go stopOnSignals(ctx, p, t.Log, r, cancel)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.ServeOps(groupCtx, listen.Retry(ops, t.Log), r.Ready, handlers...) })
	group.Go(func() error { return watchSettings(groupCtx, p.reload, reload) })
	group.Go(func() error {
		defer cancel()
		t.Log.Info("daemon started")
		return run(groupCtx)
	})
	err := group.Wait()
	t.Log.Info("daemon stopped")
	return err
}

// stopOnSignals stops r gracefully on SIGTERM or SIGINT, until ctx ends. A repeated
// SIGTERM changes nothing, because several stops of a VM may overlap. The second
// SIGINT, which is sent by an operator at a terminal, aborts in-flight work.
func stopOnSignals(ctx context.Context, p processSignals, log *slog.Logger, r role, abort func()) {
	interrupts := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.terminate:
			log.Info("stop requested", "signal", "SIGTERM")
		case <-p.interrupt:
			log.Info("stop requested", "signal", "SIGINT")
			interrupts++
		}
		if interrupts > 1 {
			log.Warn("second SIGINT, aborting in-flight work")
			abort()
			return
		}
		r.Stop()
	}
}

func agentDeps(s *settings.Settings, kv cloud.KV, vms cloud.VMList, t *observe.Telemetry) (agent.Deps, error) {
	deps := agent.Deps{KV: kv, VMs: vms, Telemetry: t}
	if s.Agent.Engine != nil {
		deps.Engine = enginehttp.New(hostOf(s.Agent.Engine.URL))
		return deps, nil
	}
	service, err := newService(s.Agent.Service)
	deps.Service = service
	return deps, err
}

func newService(s *settings.Service) (backend.Service, error) {
	options := servicehttp.Options{Address: hostOf(s.URL), MaxConnections: s.MaxConcurrent}
	if s.CallerTokenFile != "" {
		token, err := os.ReadFile(s.CallerTokenFile)
		if err != nil {
			return nil, &settings.Error{File: s.CallerTokenFile, Cause: fmt.Errorf("read the caller token: %w", err)}
		}
		options.Token = strings.TrimSpace(string(token))
	}
	return servicehttp.New(options), nil
}

// hostOf returns host:port of a URL that was validated with the settings.
func hostOf(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		return address
	}
	return u.Host
}

// ports opens listeners and keeps the first error. After an error it opens no
// more.
type ports struct {
	listeners []net.Listener
	err       error
}

func (p *ports) open(address string) net.Listener {
	if p.err != nil {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		p.err = fmt.Errorf("open port: %w", err)
		return nil
	}
	p.listeners = append(p.listeners, l)
	return l
}

func (p *ports) close() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/daemon/machine"
	"camphorwick.dev/gateway/node"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/observe"
	"camphorwick.dev/platform"
	"camphorwick.dev/policy/retry"
	"camphorwick.dev/settings"
)

const (
	// retryReserve is the share of the retry budget that is not used, so that the
	// budget holds although processes count requests at different times.
	retryReserve = 0.15
	// graceMargin is the time before SIGKILL at which a stopping gateway aborts
	// in-flight requests.
	graceMargin = 800 * time.Millisecond
	// bodyMemoryShare is the share of the VM's memory for the bodies of requests in flight,
	// and smallBodyShare that for small ones alone. The rest holds connections, answers,
	// tables, and bodies that the collector has not freed yet.
	bodyMemoryShare = 0.25
	smallBodyShare  = 0.05
)

// serveGateway runs the gateway role until it has stopped. reload reloads s and
// does not apply settings yet.
func serveGateway(ctx context.Context, p processSignals, reload reloader, s *settings.Settings, t *observe.Telemetry) error {
	m := machine.Of(s.Gateway.MemoryMB, s.Gateway.MaxFiles)
	m.LimitHeap()
	address, err := url.Parse(s.Platform.URL)
	if err != nil {
		return fmt.Errorf("parse the platform's URL: %w", err)
	}
	store := platform.NewStore(address.Host, upstream.New())
	if err := countStoreCalls(ctx, store, t.Meter); err != nil {
		return fmt.Errorf("set up metrics: %w", err)
	}
	n, err := node.New(gatewayOptions(s, t, m), node.Protocol{Wire: platform.Wire{}, Store: store, EngineMemory: platform.NewEngineMemory, DecodeConfig: platform.DecodeConfig,
		DecodeServer: platform.DecodeServer, ConfigKey: platform.ConfigKey, ServersPrefix: platform.ServersPrefix,
		EvacuationsPrefix: platform.EvacuationsPrefix, Quarantine: store})
	if err != nil {
		return err
	}
	store.OnEra = n.StoreEraChanged
	ops, err := net.Listen("tcp", s.OpsAddress)
	if err != nil {
		return fmt.Errorf("open the port of health and metrics: %w", err)
	}
	reload.apply = func(s *settings.Settings) { n.SetBudget(retryBudget(s.Gateway)) }
	return runRole(ctx, p, t, n, n.Run, ops, reload, observe.OpsHandler{Path: "/quarantine", Handler: n.QuarantineHandler()},
		observe.OpsHandler{Path: "/servers", Handler: n.ServersHandler()})
}

// countStoreCalls registers the metrics of the calls to the store.
func countStoreCalls(ctx context.Context, store *platform.Store, meter metric.Meter) error {
	calls, err := meter.Int64Counter("gateway.store_calls", metric.WithDescription("Calls to the platform's store, by kind"))
	if err != nil {
		return err
	}
	received, err := meter.Int64Counter("gateway.store_answer", metric.WithUnit("By"), metric.WithDescription("Bytes of answers of the platform's store, by kind of call and by whether the answer was read to its end"))
	if err != nil {
		return err
	}
	store.OnCall = func(call string) { calls.Add(ctx, 1, metric.WithAttributes(attribute.String("call", call))) }
	store.OnAnswer = func(call string, bytes int, complete bool) {
		received.Add(ctx, int64(bytes), metric.WithAttributes(attribute.String("call", call), attribute.Bool("complete", complete)))
	}
	return nil
}

func gatewayOptions(s *settings.Settings, t *observe.Telemetry, m machine.Machine) node.Options {
	g := s.Gateway
	return node.Options{VM: s.VM, DataCentre: s.DataCentre, Callers: g.CallersAddress, Peers: s.ControlAddress,
		UnusedMemory: time.Duration(g.UnusedMemoryMillis) * time.Millisecond, DrainTime: time.Duration(g.DrainMillis) * time.Millisecond,
		ConfigDeadline: time.Duration(g.ConfigDeadlineMillis) * time.Millisecond, EvacuationTime: time.Duration(g.EvacuationMillis) * time.Millisecond,
		Regions: g.Regions,
		Budget:  retryBudget(g), DrainLimit: seconds(g.GraceSeconds) - graceMargin,
		Footprint: m.CallerLimits(bodyMemoryShare, smallBodyShare), Log: t.Log, Meter: t.Meter}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func retryBudget(g *settings.Gateway) retry.WindowConfig {
	return retry.WindowConfig{Span: seconds(g.RetryWindowSeconds), Ratio: g.RetryRatio, Extra: g.RetryExtra, Reserve: retryReserve}
}

// logOutput returns the writer of a role's log. The gateway logs to standard
// output, where the engineers of the users' platform read it.
func logOutput(role settings.Role) io.Writer {
	if role == settings.RoleGateway {
		return observe.NewBoundedWriter(os.Stdout)
	}
	return os.Stderr
}

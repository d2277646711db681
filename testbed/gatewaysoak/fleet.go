package gatewaysoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/fleet"
)

// Each route has the timeout routeTimeout, and as its targets latencyTarget for the
// time to the response and eventGapLimit for the time between two events of a
// stream.
const (
	// dataCentre is that of the gateways and of every other server, secondDataCentre that of
	// the other servers.
	dataCentre, secondDataCentre = "dc-1", "dc-2"
	// streamService and orderService are the services; only the first has model engines.
	streamService, orderService = "streams", "orders"
	// secondOrderService gets a part of the orders under planned work.
	secondOrderService = "orders-2"
	routeTimeout       = 5 * time.Second
	latencyTarget      = 300 * time.Millisecond
	eventGapLimit      = 250 * time.Millisecond
	// versionStep is the increment of the configuration version. It is above 1,
	// so that gateways must accept versions that do not follow each other directly.
	versionStep  = 3
	firstVersion = versionStep
	// baseRetryExtra is the retry budget of the first settings.
	baseRetryExtra = 100
)

// gateway is a gateway process with the proxy between it and the platform's
// store of routes and servers.
type gateway struct {
	run            *run
	index          int
	name           string
	callersAddress string
	opsAddress     string
	control        string       // address of the port for peers
	settings       string       // name of the settings file
	settingsMu     sync.Mutex   // held while the settings file is replaced
	store          *fleet.Proxy // the proxy in front of run.store
	storeMu        sync.Mutex   // held during a fault of the proxy, so that its faults do not overlap

	mu      sync.Mutex // held while the process is ended, replaced or paused
	process atomic.Pointer[instance]
}

// instance is one process of a gateway.
type instance struct {
	*fleet.Process
	mu         sync.Mutex
	terminated []time.Time
}

// Signal sends a signal and records the time of SIGTERM.
func (i *instance) Signal(s syscall.Signal) error {
	if s == syscall.SIGTERM {
		i.mu.Lock()
		i.terminated = append(i.terminated, time.Now())
		i.mu.Unlock()
	}
	return i.Process.Signal(s)
}

// terms returns the times at which SIGTERM was sent.
func (i *instance) terms() []time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.terminated)
}

func (r *run) newGateway(i int, storeAddress string) (*gateway, error) {
	g := &gateway{run: r, index: i, name: fmt.Sprintf("gateway-%d", i), callersAddress: r.fleet.ReserveAddress(), opsAddress: r.fleet.ReserveAddress()}
	var err error
	if g.store, err = r.fleet.Proxy("store of "+g.name, storeAddress); err != nil {
		return nil, err
	}
	g.control = r.fleet.ReserveAddress()
	g.settings = filepath.Join(r.options.Dir, g.name+".json")
	if err := g.writeSettings(baseRetryExtra); err != nil {
		return nil, err
	}
	return g, g.start()
}

// writeSettings replaces the settings file by one with the given retry budget.
func (g *gateway) writeSettings(retryExtra float64) error {
	s := &settings.Settings{VM: g.name, Role: settings.RoleGateway, DataCentre: dataCentre, ControlAddress: g.control, OpsAddress: g.opsAddress,
		InsecurePlaintext: true, Platform: settings.Platform{URL: "http://" + g.store.Address()},
		Gateway: &settings.Gateway{CallersAddress: g.callersAddress, MemoryMB: 256, MaxFiles: gatewayFiles, RetryRatio: 0.2, RetryExtra: retryExtra, RetryWindowSeconds: 10,
			GraceSeconds: graceTime.Seconds(), EvacuationMillis: int(evacuationBound.Milliseconds())}}
	data, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	g.settingsMu.Lock()
	defer g.settingsMu.Unlock()
	if err := os.WriteFile(g.settings+".new", data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(g.settings+".new", g.settings); err != nil {
		return fmt.Errorf("replace settings: %w", err)
	}
	return nil
}

// start starts the process. mu must be held, unless no other goroutine has the
// gateway yet.
func (g *gateway) start() error {
	logSize := g.logSize()
	p, err := g.run.fleet.StartProcess("camphorwick", g.name, []string{"run", "--settings", g.settings}, g.environment()...)
	if err != nil {
		return err
	}
	g.process.Store(&instance{Process: p})
	go g.supervise(p, logSize, time.Now())
	return nil
}

// environment limits every other gateway to one thread of Go code under planned
// work, so that requests wait within the process while it closes connections.
func (g *gateway) environment() []string {
	if g.run.options.Planned && g.index%2 == 1 {
		return []string{"GOMAXPROCS=1"}
	}
	return nil
}

// logSize returns the size of the gateway's log file, 0 if it does not exist.
func (g *gateway) logSize() int64 {
	info, err := os.Stat(g.run.fleet.LogFile(g.name))
	if err != nil {
		return 0
	}
	return info.Size()
}

// supervise restarts a process that exits on its own, as the platform does. The
// exit is a violation, with one exception: the fault "gateway reloads" may send
// SIGHUP before the process handles signals. The process handles signals before it
// writes its first log line. So if the log file has grown since the start, when its
// size was logSize, the process already handled signals and its exit is a violation.
func (g *gateway) supervise(p *fleet.Process, logSize int64, started time.Time) {
	<-p.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process.Load().Process != p || g.run.stopping.Load() {
		return
	}
	if !terminatedBy(p.Err(), syscall.SIGHUP) || g.logSize() > logSize {
		g.run.addViolation("%s exited on its own %v after its start; result of the wait: %v", g.name, time.Since(started), p.Err())
	}
	g.run.count("process ended at its start") // counts every exit seen here, also one long after the start
	if err := g.start(); err != nil {
		g.run.addViolation("start %s: %w", g.name, err)
	}
}

// terminatedBy reports whether err, the result of waiting for a process, says that
// the signal s terminated the process. A process that handles s and then exits is
// not terminated by it.
func terminatedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// terminatedAtStart reports whether a signal terminated a process that does not handle
// signals yet.
func terminatedAtStart(err error) bool {
	return terminatedBy(err, syscall.SIGTERM) || terminatedBy(err, syscall.SIGHUP)
}

func (g *gateway) url(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: g.callersAddress, Path: path}
}

// awaitReady polls /readyz until the gateway is ready or ctx ends.
func (g *gateway) awaitReady(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + g.opsAddress + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until %s is ready: %w", g.name, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// restart ends the process with SIGTERM or SIGKILL and starts it again. If the
// process does not exit in time, that is a violation and the process is killed.
func (g *gateway) restart(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restartLocked(s)
}

// restartLocked is restart for a caller that holds mu.
func (g *gateway) restartLocked(s syscall.Signal) error {
	signalled := time.Now()
	p := g.process.Load()
	if err := p.Signal(s); err != nil {
		return err
	}
	select {
	case <-p.Done():
	case <-time.After(graceTime + time.Second):
		g.run.addViolation("%s had not exited %v after the signal %q", g.name, time.Since(signalled), s)
		p.KillNow()
		return g.start()
	}
	if s == syscall.SIGTERM && p.Err() != nil && !terminatedAtStart(p.Err()) {
		g.run.addViolation("%s ended with %w after SIGTERM", g.name, p.Err())
	}
	return g.start()
}

// pause stops the process with SIGSTOP for d.
func (g *gateway) pause(d time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.process.Load()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	defer g.run.reports.recordFreeze(p)
	return p.Signal(syscall.SIGCONT)
}

// server is a simulated backend server with the proxy in front of it.
type server struct {
	index  int
	mu     sync.Mutex // held during a fault of this server, so that its faults do not overlap
	sim    *fleetsim.Server
	proxy  *fleet.Proxy
	starts int // number of starts, part of the server's id
	// reported is what the server says of itself; nil for the usual.
	reported atomic.Pointer[fleetsim.SelfReport]
}

func (r *run) newServer(i int) (*server, error) {
	b := &server{index: i}
	return b, r.startServer(b)
}

// startServer starts the server, also again after it has ended. Each start has a new
// id, as on the platform, and a new proxy for the new address.
func (r *run) startServer(b *server) error {
	b.starts++
	sim := &fleetsim.Server{ID: fmt.Sprintf("server-%d-%d", b.index, b.starts), Service: serviceOf(b.index), Events: streamEvents, EventInterval: eventPause,
		Fault: r.chooseFault, OnRun: r.recordRun, CrashOn: r.crashing.crashesOn,
		Report: b.report, OnArrival: r.handleArrival}
	if b.starts > 1 {
		sim.ColdLeft = coldTime
	}
	r.places.recordStart(sim.ID, b.dataCentre(), sim.ColdLeft)
	sim.OnCrash = func(fleetsim.Run) { r.handleCrash(b, sim) }
	b.sim = sim
	if r.options.Planned {
		b.sim.RunTime = r.runTimes(b.sim.Service)
	}
	if err := b.sim.Start(); err != nil {
		return err
	}
	var err error
	b.proxy, err = r.fleet.Proxy(b.sim.ID, b.sim.Address())
	return err
}

// serviceOf returns the service of the server with an index.
func serviceOf(index int) string {
	switch {
	case index < streamServers:
		return streamService
	case index < streamServers+orderServers:
		return orderService
	default:
		return secondOrderService
	}
}

func (r *run) register(b *server, state fleetsim.State) error {
	return r.store.Register(b.sim, b.proxy.Address(), b.dataCentre(), state)
}

func (r *run) crashServers() {
	for _, b := range r.servers {
		b.sim.Crash()
	}
}

// configure writes the next version of the configuration. Each version replaces
// one route and one key of the version before. Only the first version has the
// route "dropped", which the final check expects to be unknown.
func (r *run) configure() error {
	r.mu.Lock()
	r.version += versionStep
	version := r.version
	r.mu.Unlock()
	v := r.nextVariation()
	route := func(name string, kind fleetsim.RouteKind) fleetsim.Route {
		out := fleetsim.Route{Name: name, Host: host, Prefix: "/" + name + "/", Service: orderService, Targets: v.targets, Kind: kind, Timeout: v.routeTimeout,
			LatencyTarget: latencyTarget, EventGap: eventGapLimit, MaxServers: 2}
		if kind == fleetsim.Streaming {
			out.Service, out.Targets = streamService, nil
		}
		return out
	}
	routes := []fleetsim.Route{route("order", fleetsim.NonIdempotent), route("lookup", fleetsim.Idempotent),
		route("stream", fleetsim.Streaming), route(fmt.Sprintf("added-%d", version), fleetsim.Idempotent)}
	if version == firstVersion {
		routes = append(routes, route("dropped", fleetsim.Idempotent))
	}
	if v.extraRoute {
		routes = append(routes, route(string(extraKind), fleetsim.NonIdempotent))
	}
	routes = append(routes, r.seriesRoutes(version, route)...)
	return r.store.Configure(fleetsim.Configuration{Version: version, Routes: routes, Engines: []string{streamService}, Plain: []string{orderService, secondOrderService},
		HeaderTimeout: v.headerTimeout, IdleTimeout: v.idleTimeout, ColdRequestsPerSecond: coldRate, Accounts: []fleetsim.Account{{Name: account, Keys: []string{apiKey, fmt.Sprint("other-", version)}}}})
}

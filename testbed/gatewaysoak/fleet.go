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
	"sync"
	"syscall"
	"time"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/fleet"
)

const (
	dataCentre = "dc-1"
	// streams and orders are the services; only the first has model engines.
	streams, orders = "streams", "orders"
	routeTimeout    = 5 * time.Second
	latencyTarget   = 300 * time.Millisecond
	eventGap        = 250 * time.Millisecond
	// versionStep is the distance of two versions of the configuration, which
	// need not follow each other closely; firstVersion is the first one.
	versionStep  = 3
	firstVersion = versionStep
)

// gateway is a gateway process with the proxy on its way to the store.
type gateway struct {
	run      *run
	index    int
	name     string
	callers  string // address of the callers' port
	ops      string
	settings string // path
	store    *fleet.Proxy
	storeMu  sync.Mutex // taken for the whole of a fault of store

	mu      sync.Mutex // taken for the whole of a stop and start
	process *fleet.Process
}

func (r *run) newGateway(i int, storeAddress string) (*gateway, error) {
	g := &gateway{run: r, index: i, name: fmt.Sprintf("gateway-%d", i), callers: r.fleet.FreeAddress(), ops: r.fleet.FreeAddress()}
	var err error
	if g.store, err = r.fleet.Proxy("store of "+g.name, storeAddress); err != nil {
		return nil, err
	}
	s := &settings.Settings{VM: g.name, Role: settings.RoleGateway, DataCentre: dataCentre, ControlAddress: r.fleet.FreeAddress(), OpsAddress: g.ops,
		InsecurePlaintext: true, Platform: settings.Platform{URL: "http://" + g.store.Address()},
		Gateway: &settings.Gateway{CallersAddress: g.callers, MemoryMB: 256, RetryRatio: 0.2, RetryExtra: 100, RetryWindowSeconds: 10,
			GraceSeconds: graceTime.Seconds()}}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	g.settings = filepath.Join(r.options.Dir, g.name+".json")
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return g, g.start()
}

// start starts the process. mu is held, or nobody else knows the gateway yet.
func (g *gateway) start() error {
	logged := g.logged()
	p, err := g.run.fleet.StartProcess("camphorwick", g.name, []string{"run", "--settings", g.settings})
	if err != nil {
		return err
	}
	g.process = p
	go g.supervise(p, logged, time.Now())
	return nil
}

// logged returns the size of the gateway's log; 0 while there is none.
func (g *gateway) logged() int64 {
	info, err := os.Stat(g.run.fleet.LogFile(g.name))
	if err != nil {
		return 0
	}
	return info.Size()
}

// supervise starts a process again that ends by itself, as the platform does.
// Only SIGHUP that comes before the process handles signals excuses that, which
// is before its first line; logged is the size of the log at its start.
func (g *gateway) supervise(p *fleet.Process, logged int64, started time.Time) {
	<-p.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != p || g.run.over.Load() {
		return
	}
	if !endedBy(p.Err(), syscall.SIGHUP) || g.logged() > logged {
		g.run.violate("%s ended by itself %v after its start: %v", g.name, time.Since(started), p.Err())
	}
	g.run.count("process ended at its start")
	if err := g.start(); err != nil {
		g.run.violate("%s could not be started: %w", g.name, err)
	}
}

// endedBy reports whether a signal that it did not handle ended a process.
func endedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

func (g *gateway) url(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: g.callers, Path: path}
}

// awaitReady waits until the gateway says that it can serve.
func (g *gateway) awaitReady(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + g.ops + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", g.name, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// replace ends the process with a signal and starts it again.
func (g *gateway) replace(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	begun := time.Now()
	if err := g.process.Signal(s); err != nil {
		return err
	}
	select {
	case <-g.process.Done():
	case <-time.After(graceTime + time.Second):
		g.run.violate("%s did not end within %v of %v", g.name, time.Since(begun), s)
		g.process.KillNow()
	}
	return g.start()
}

// pause freezes the process for d.
func (g *gateway) pause(d time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return g.process.Signal(syscall.SIGCONT)
}

// backend is a server with the proxy on the way to it.
type backend struct {
	index int
	mu    sync.Mutex // taken for the whole of a fault
	sim   *fleetsim.Server
	proxy *fleet.Proxy
	life  int
}

func (r *run) newBackend(i int) (*backend, error) {
	b := &backend{index: i}
	return b, r.startBackend(b)
}

// startBackend starts a new incarnation with a new id behind a new proxy.
func (r *run) startBackend(b *backend) error {
	b.life++
	service := streams
	if b.index >= streamServers {
		service = orders
	}
	b.sim = &fleetsim.Server{ID: fmt.Sprintf("server-%d-%d", b.index, b.life), Service: service, Events: streamEvents, Pause: eventPause,
		Fault: r.fault, OnRun: r.seen}
	if err := b.sim.Start(); err != nil {
		return err
	}
	var err error
	b.proxy, err = r.fleet.Proxy(b.sim.ID, b.sim.Address())
	return err
}

func (r *run) register(b *backend, state fleetsim.State) error {
	return r.store.Register(b.sim, b.proxy.Address(), dataCentre, state)
}

func (r *run) stopServers() {
	for _, b := range r.servers {
		b.sim.Crash()
	}
}

// configure writes the next version of the configuration; the first one has a
// route that the others drop.
func (r *run) configure() error {
	r.mu.Lock()
	r.version += versionStep
	version := r.version
	r.mu.Unlock()
	route := func(name, service string, kind fleetsim.RouteKind) fleetsim.Route {
		return fleetsim.Route{Name: name, Host: host, Prefix: "/" + name + "/", Service: service, Kind: kind, Timeout: routeTimeout,
			LatencyTarget: latencyTarget, EventGap: eventGap, MaxServers: 2}
	}
	routes := []fleetsim.Route{route("order", orders, fleetsim.NonIdempotent), route("lookup", orders, fleetsim.Idempotent),
		route("stream", streams, fleetsim.Streaming), route(fmt.Sprintf("added-%d", version), orders, fleetsim.Idempotent)}
	if version == firstVersion {
		routes = append(routes, route("dropped", orders, fleetsim.Idempotent))
	}
	return r.store.Configure(fleetsim.Configuration{Version: version, Routes: routes, Engines: []string{streams}, Plain: []string{orders},
		Accounts: []fleetsim.Account{{Name: account, Keys: []string{apiKey, fmt.Sprint("other-", version)}}}})
}

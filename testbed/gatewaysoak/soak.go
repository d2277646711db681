// Package gatewaysoak runs gateways as separate processes in front of
// stand-ins for the users' platform, injects faults from outside while callers
// load them, and checks what callers and backend servers see. The choice of
// faults follows from a seed; the timing of the processes does not.
package gatewaysoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/testbed/fleet"
)

const (
	streamServers = 4
	orderServers  = 3
	callers       = 12
	streamEvents  = 12
	eventPause    = 15 * time.Millisecond
	// serverFaultShare is the share of requests that servers spoil while
	// faults are injected.
	serverFaultShare = 0.06
	// settleTime lets requests end and gateways recover after the last fault.
	settleTime = 6 * time.Second
	// drainBound is how long a leaving server may get requests, by the users'
	// pages; it is checked only while the store and the gateways are sound.
	drainBound = 2 * time.Second
	// calmTime is how long the store and the gateways must have been sound.
	calmTime = 3 * time.Second
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
)

// Options of a run.
type Options struct {
	// Bin holds the binaries, Dir gets settings and logs.
	Bin, Dir string
	Seed     uint64
	// Duration is the time under load and faults; the checks come on top.
	Duration time.Duration
	Gateways int
	// Out gets a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Requests map[string]int // by kind and outcome
	Faults   map[string]int
	Runs     int
	// Violations of the promises; none in a good run.
	Violations []error
}

// run is the state of one run.
type run struct {
	options  Options
	fleet    *fleet.Fleet
	store    *fleetsim.Store
	begun    time.Time
	over     atomic.Bool // the processes are being ended
	gateways []*gateway
	servers  []*backend

	mu       sync.Mutex // protects what follows
	report   Report
	runs     map[string][]fleetsim.Run
	promises map[string]int // ids that were answered as not run, with the status
	faultsOn bool
	version  int64
	// unsoundFaults counts the faults of the store and of gateways in progress,
	// unsound is when the last of them began or ended.
	unsoundFaults int
	unsound       time.Time
	random        *rand.Rand
	drainAcked    map[string]time.Time // by server
}

// Run runs the fleet and returns what was found. An error says that the run
// could not be made.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Empty(fleet.Options{Bin: o.Bin, Dir: o.Dir})
	if err != nil {
		return nil, err
	}
	defer f.Kill()
	r := &run{options: o, fleet: f, store: fleetsim.NewStore(), begun: time.Now(), runs: map[string][]fleetsim.Run{}, promises: map[string]int{},
		random: rand.New(rand.NewPCG(o.Seed, 0)), drainAcked: map[string]time.Time{},
		report: Report{Requests: map[string]int{}, Faults: map[string]int{}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	defer r.over.Store(true)
	if err := r.start(ctx, l.Addr().String()); err != nil {
		return nil, err
	}
	defer r.stopServers()
	r.load(ctx)
	r.check(ctx)
	return &r.report, nil
}

// start starts the servers, writes the configuration and starts the gateways.
func (r *run) start(ctx context.Context, storeAddress string) error {
	for i := range streamServers + orderServers {
		b, err := r.newBackend(i)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, b)
		if err := r.register(b, fleetsim.Live); err != nil {
			return err
		}
	}
	if err := r.configure(); err != nil {
		return err
	}
	for i := range r.options.Gateways {
		g, err := r.newGateway(i, storeAddress)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
	}
	for _, g := range r.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// load runs callers and faults for the duration, then heals everything.
func (r *run) load(ctx context.Context) {
	loadCtx, stopLoad := context.WithTimeout(ctx, r.options.Duration+settleTime)
	defer stopLoad()
	faultCtx, stopFaults := context.WithTimeout(ctx, r.options.Duration)
	defer stopFaults()
	r.setFaults(true)
	group := &errgroup.Group{}
	for i := range callers {
		group.Go(func() error {
			r.newCaller(i).loop(loadCtx)
			return nil
		})
	}
	group.Go(func() error {
		r.injectAll(faultCtx)
		r.heal(ctx)
		return nil
	})
	_ = group.Wait() // the functions return no error
}

func (r *run) setFaults(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultsOn = on
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Errorf(format, args...))
}

func (r *run) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests[what]++
}

// seen records a run and checks it at once.
func (r *run) seen(one fleetsim.Run) {
	r.mu.Lock()
	r.runs[one.RequestID] = append(r.runs[one.RequestID], one)
	r.report.Runs++
	acked, draining := r.drainAcked[one.Server]
	late := draining && r.unsoundFaults == 0 && one.At.Sub(acked) > drainBound && one.At.Sub(r.unsound) > calmTime && r.unsound.Before(acked)
	r.mu.Unlock()
	if late {
		r.violate("request %s ran at the leaving server %s %v after the store had its word", one.RequestID, one.Server, one.At.Sub(acked))
	}
	if one.Key != "" {
		r.violate("request %s reached server %s with its key", one.RequestID, one.Server)
	}
	if one.Account != account {
		r.violate("request %s ran for account %q", one.RequestID, one.Account)
	}
	if want := lineOf(one.RequestID); one.Line != want {
		r.violate("request %s ran as %q, sent as %q", one.RequestID, one.Line, want)
	}
}

// fault is called by servers for each request.
func (r *run) fault() fleetsim.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.faultsOn || r.random.Float64() >= serverFaultShare {
		return fleetsim.NoFault
	}
	return fleetsim.Fault(1 + r.random.IntN(fleetsim.Faults-1))
}

// check compares all runs with what the callers were told, and tries each
// gateway once more.
func (r *run) check(ctx context.Context) {
	r.mu.Lock()
	for id, runs := range r.runs {
		if kindOf(id) == orderKind && len(runs) > 1 {
			r.report.Violations = append(r.report.Violations, fmt.Errorf("order %s ran %d times", id, len(runs)))
		}
		if status, promised := r.promises[id]; promised && kindOf(id) == orderKind {
			r.report.Violations = append(r.report.Violations, fmt.Errorf("order %s was answered %d and ran", id, status))
		}
	}
	r.mu.Unlock()
	for _, g := range r.gateways {
		c := r.newCaller(1000 + g.index)
		served := 0
		for range 10 {
			if c.once(ctx, g, lookupKind) {
				served++
			}
		}
		if served < 9 {
			r.violate("%s served %d of 10 lookups after all faults had ended", g.name, served)
		}
		if status := c.status(g, droppedPath); status != http.StatusNotFound {
			r.violate("%s answered %d on a route that was dropped", g.name, status)
		}
	}
}

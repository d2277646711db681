// Package gatewaysoak runs gateways as separate processes in front of
// stand-ins for the users' platform, injects faults while callers send
// requests, and checks the answers that callers get and the requests that
// backend servers receive. The choice of faults is determined by a seed; the timing
// of the processes is not.
package gatewaysoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/testbed/fleet"
)

// Each streamed answer has streamEvents events, with eventPause between them.
const (
	streamServers = 4
	orderServers  = 3
	// secondOrderServers is the number of servers of secondOrderService, which only
	// planned work has.
	secondOrderServers = 2
	defaultCallers     = 12
	plannedCallers     = 40
	streamEvents       = 12
	eventPause         = 15 * time.Millisecond
	// serverFaultShare is the share of requests to which servers apply a fault
	// while faults are injected.
	serverFaultShare = 0.06
	// settleTime is how long callers go on after the last fault, so that requests
	// end and gateways recover.
	settleTime = 6 * time.Second
	// startTime bounds the time until all gateways are ready for the first time.
	startTime = 30 * time.Second
	// drainBound is how long a draining server may still get requests after
	// the store acknowledged the drain, as the platform requires. It is checked
	// only while the store and the gateways are healthy.
	drainBound = 2 * time.Second
	// recoveryTime is how long the store and the gateways must have been healthy
	// before drainBound is checked.
	recoveryTime = 3 * time.Second
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
)

// Options of a run.
type Options struct {
	// Bin holds the binaries, Dir gets settings and logs.
	Bin, Dir string
	Seed     uint64
	// Duration is the time under load and faults, without the final checks.
	Duration time.Duration
	Gateways int
	// Callers is the number of callers; the default is 12, and 40 for planned work,
	// which keeps the processes busy.
	Callers int
	// Planned restricts the faults to planned work, under which each request must
	// get an answer or a refusal.
	Planned bool
	// Out gets a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Requests map[string]int // by kind and status or failure; also counts ends of processes
	Faults   map[string]int // injected faults by name
	Runs     int            // requests that backend servers ran
	// Violations of the guarantees; a passing run has none.
	Violations []error
}

// run is the state of one run.
type run struct {
	options  Options
	fleet    *fleet.Fleet
	store    *fleetsim.Store
	started  time.Time
	stopping atomic.Bool // set when the processes are being stopped
	gateways []*gateway
	servers  []*server

	mu             sync.Mutex // guards the fields below
	report         Report
	runs           map[string][]fleetsim.Run
	reportedNotRun map[string]int // ids that were answered as not run, with the status
	faultsOn       bool
	version        int64
	// drainDelayFaults is the number of current faults of the store and of
	// gateways, lastDrainDelay the time when the last of them began or ended.
	drainDelayFaults int
	lastDrainDelay   time.Time
	random           *rand.Rand
	drainAcked       map[string]time.Time // acknowledgement of the store by server
	unanswered       []unanswered         // under planned work
	idleTimeouts     []idleTimeoutChange  // under planned work, in the order of time
	series           []writtenVersion     // of checkSeries, in the order of time; nil before

	seriesMu sync.Mutex // held during a series of configurations, before mu
	crashing crashingPart
	reports  *reportChecks
	places   *placeChecks
	restarts sync.WaitGroup // of servers that have crashed on a prompt
}

// Run runs the fleet under load and faults and returns the report. It returns
// an error only if the fleet cannot be started.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Empty(fleet.Options{Bin: o.Bin, Dir: o.Dir})
	if err != nil {
		return nil, err
	}
	defer f.Kill()
	r := &run{options: o, fleet: f, store: fleetsim.NewStore(), started: time.Now(), runs: map[string][]fleetsim.Run{}, reportedNotRun: map[string]int{},
		random: rand.New(rand.NewPCG(o.Seed, 0)), drainAcked: map[string]time.Time{}, reports: newReportChecks(), places: newPlaceChecks(),
		report: Report{Requests: map[string]int{}, Faults: map[string]int{}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	defer r.stopping.Store(true)
	if err := r.start(ctx, l.Addr().String()); err != nil {
		return nil, err
	}
	defer r.crashServers()
	defer r.restarts.Wait()
	r.load(ctx)
	r.check(ctx)
	if !o.Planned {
		r.checkEvacuation(ctx)
		r.checkCrashingPart(ctx)
		r.checkSeries(ctx)
	}
	for _, err := range f.Races() {
		r.addViolation("%w", err)
	}
	return &r.report, nil
}

// start starts the servers, writes the configuration and starts the gateways.
func (r *run) start(ctx context.Context, storeAddress string) error {
	for i := range r.serverCount() {
		b, err := r.newServer(i)
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
	readyCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, g := range r.gateways {
		if err := g.awaitReady(readyCtx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) serverCount() int {
	if r.options.Planned {
		return streamServers + orderServers + secondOrderServers
	}
	return streamServers + orderServers
}

func (r *run) callerCount() int {
	switch {
	case r.options.Callers > 0:
		return r.options.Callers
	case r.options.Planned:
		return plannedCallers
	default:
		return defaultCallers
	}
}

// load runs callers and faults for the duration, then ends all faults.
func (r *run) load(ctx context.Context) {
	loadCtx, stopLoad := context.WithTimeout(ctx, r.options.Duration+settleTime)
	defer stopLoad()
	faultCtx, stopFaults := context.WithTimeout(ctx, r.options.Duration)
	defer stopFaults()
	r.setFaults(!r.options.Planned)
	group := &errgroup.Group{}
	for i := range r.callerCount() {
		group.Go(func() error {
			r.newCaller(i).loop(loadCtx)
			return nil
		})
	}
	group.Go(func() error {
		var reports sync.WaitGroup
		if !r.options.Planned {
			reports.Go(func() { r.injectReports(faultCtx) })
			reports.Go(func() { r.injectHeldConnections(faultCtx) })
		}
		reports.Go(func() { r.injectEvacuations(faultCtx) })
		r.injectFaults(faultCtx)
		reports.Wait()
		r.endFaults(ctx)
		return nil
	})
	_ = group.Wait() // the functions return no error
}

func (r *run) setFaults(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultsOn = on
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Errorf(format, args...))
}

func (r *run) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests[what]++
}

// recordRun records a request that a server received and checks it.
func (r *run) recordRun(execution fleetsim.Run) {
	r.mu.Lock()
	r.runs[execution.RequestID] = append(r.runs[execution.RequestID], execution)
	r.report.Runs++
	acked, draining := r.drainAcked[execution.Server]
	disturbedSince := r.lastDrainDelay.Add(recoveryTime)
	if r.drainDelayFaults > 0 {
		disturbedSince = time.Now()
	}
	late := draining && r.drainDelayFaults == 0 && execution.At.Sub(acked) > drainBound && execution.At.Sub(r.lastDrainDelay) > recoveryTime && r.lastDrainDelay.Before(acked)
	r.mu.Unlock()
	if err := r.places.checkRun(execution, disturbedSince); err != nil {
		r.addViolation("%w", err)
	}
	if late {
		r.addViolation("request %s ran at draining server %s %v after the store acknowledged the drain", execution.RequestID, execution.Server, execution.At.Sub(acked))
	}
	if execution.Key != "" {
		r.addViolation("request %s reached server %s with its key", execution.RequestID, execution.Server)
	}
	if execution.Account != account {
		r.addViolation("request %s ran for account %q", execution.RequestID, execution.Account)
	}
	if want := requestLine(execution.RequestID); execution.RequestID != probeID && execution.RequestLine != want {
		r.addViolation("request %s ran as %q, sent as %q", execution.RequestID, execution.RequestLine, want)
	}
}

// ranAt reports whether a server has run the request with an id.
func (r *run) ranAt(id, server string) bool {
	return r.hasRun(id, func(execution fleetsim.Run) bool { return execution.Server == server })
}

// ranUnframed reports whether a run of the request with an id had an answer without
// a length or chunks.
func (r *run) ranUnframed(id string) bool {
	return r.hasRun(id, func(execution fleetsim.Run) bool { return execution.Unframed })
}

func (r *run) hasRun(id string, matches func(fleetsim.Run) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.runs[id], matches)
}

// chooseFault returns the fault that a server applies to its next request. Under
// planned work answers without a length are the only ones, because they are proper.
func (r *run) chooseFault() fleetsim.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.random.Float64() >= serverFaultShare:
		return fleetsim.NoFault
	case r.options.Planned:
		return fleetsim.Unframed
	case !r.faultsOn:
		return fleetsim.NoFault
	}
	return fleetsim.Fault(1 + r.random.IntN(fleetsim.FaultCount-1))
}

// check compares all runs with the answers that callers got, and sends further
// requests to each gateway.
func (r *run) check(ctx context.Context) {
	r.checkUnanswered()
	r.mu.Lock()
	for id, runs := range r.runs {
		if kindOf(id).runsOnce() && len(runs) > 1 {
			r.report.Violations = append(r.report.Violations, fmt.Errorf("order %s ran %d times", id, len(runs)))
		}
		if status, reported := r.reportedNotRun[id]; reported && kindOf(id).runsOnce() {
			r.report.Violations = append(r.report.Violations, fmt.Errorf("order %s was answered %d and ran", id, status))
		}
	}
	r.mu.Unlock()
	for _, g := range r.gateways {
		c := r.newCaller(1000 + g.index)
		served := 0
		for range 10 {
			if c.sendRequest(ctx, g, lookupKind) {
				served++
			}
		}
		if served < 9 {
			r.addViolation("%s served %d of 10 lookups after all faults had ended", g.name, served)
		}
		if status := c.status(g, droppedPath); status != http.StatusNotFound {
			r.addViolation("%s answered %d on a route that was dropped", g.name, status)
		}
	}
}

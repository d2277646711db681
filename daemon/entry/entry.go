// Package entry is the daemon's role in front of callers: it authenticates and
// admits requests, chooses a backend server for each, retries where that is
// safe, and reports the outcome to the caller. An entry keeps no state that
// cannot be lost or rebuilt.
//
// Lock order: Entry.mu is taken last and never held during I/O.
package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/daemon/listen"
	"camphorwick.dev/daemon/machine"
	"camphorwick.dev/daemon/member"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
	"camphorwick.dev/policy/admit"
	"camphorwick.dev/policy/choose"
	"camphorwick.dev/policy/footprint"
	"camphorwick.dev/policy/retry"
	"camphorwick.dev/settings"
)

// Deps holds the external dependencies of an Entry.
type Deps struct {
	KV        cloud.KV
	VMs       cloud.VMList
	Weights   cloud.WeightStore
	Telemetry *observe.Telemetry
}

// Listeners holds the open listeners of an Entry. They are opened before the
// Entry is created, so that an address in use is reported before anything
// starts. Callers and Admin must be of type *net.TCPListener.
type Listeners struct {
	Control, Callers, Admin net.Listener
}

// Entry serves callers and operators.
type Entry struct {
	settings       *settings.Settings
	log            *slog.Logger
	telemetry      *observe.Telemetry
	metrics        *metrics
	member         *member.Member
	editor         *fleetconf.Editor
	budget         *retry.Budget
	placementState *placementState
	// footprint bounds what is held for callers.
	footprint *footprint.Tracker

	startup  startup
	leaving  atomic.Bool   // this VM is marked as leaving
	stop     chan struct{} // closed by Stop
	stopOnce sync.Once
	// liveEntries is the number of live entries, including this one; the
	// limits of a client account are divided between them.
	liveEntries atomic.Int64

	mu      sync.Mutex // guards the fields below
	table   *choose.Table
	limiter *admit.Limiter
	shedder *admit.Shedder
	// agents holds the known agents, by VM.
	agents map[string]*agentState
}

// agentState is the last known state of an agent; guarded by Entry.mu.
type agentState struct {
	hello  *wire.Hello
	load   *wire.Load
	usable bool
	// unusableSince is when usable became false.
	unusableSince time.Time
}

// models returns the models that the agent serves: those of its latest load
// report, which may change during a session, or else those of its handshake.
func (s *agentState) models() []string {
	if s.load != nil {
		return s.load.Models
	}
	return s.hello.GetBackend().GetModels()
}

// mayGetWork reports whether the agent may get new work.
func (s *agentState) mayGetWork(config *fleetconf.Config) bool {
	_, marked := config.Mark(s.hello.Vm)
	return s.usable && !marked && !s.load.GetDraining() && !s.load.GetBackendDown()
}

// New returns an entry that does nothing until Run.
func New(s *settings.Settings, d Deps) (*Entry, error) {
	e := &Entry{settings: s, log: d.Telemetry.Log, telemetry: d.Telemetry, stop: make(chan struct{}),
		budget: retry.New(retry.Config{}), table: choose.New(choose.Config{Seed: uint64(time.Now().UnixNano())}),
		limiter: admit.NewLimiter(), shedder: admit.NewShedder(admit.ShedConfig{}), agents: map[string]*agentState{}}
	m := machine.Of(s.Entry.MemoryMB, s.Entry.MaxFiles)
	m.LimitHeap()
	e.footprint = footprint.NewTracker(m.CallerLimits(bodyMemoryShare, smallBodyShare))
	e.liveEntries.Store(1)
	e.startup.log = e.log
	var err error
	if e.member, err = member.New(s, d.Telemetry.Log, d.KV, d.VMs, (*hooks)(e)); err != nil {
		return nil, err
	}
	if s.Entry.Placement != nil {
		e.placementState = e.newPlacementState(s.Entry.Placement, d)
	}
	e.editor = fleetconf.NewEditor(d.KV, e.member.Replica)
	e.editor.Log = e.log
	if e.metrics, err = newMetrics(d.Telemetry.Meter); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return e, nil
}

// Stop starts a graceful stop: readiness fails and answers announce that their
// connection will be closed, then the callers' listener closes, in-flight
// requests finish, and Run returns.
func (e *Entry) Stop() { e.stopOnce.Do(func() { close(e.stop) }) }

// stopping reports whether Stop was called.
func (e *Entry) stopping() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}

// draining reports whether new callers should go to other entries.
func (e *Entry) draining() bool { return e.leaving.Load() || e.stopping() }

// Ready returns nil if the platform's load balancer may send callers here.
func (e *Entry) Ready() error {
	switch {
	case e.draining():
		return outcome.New(outcome.Draining, "VM %s is being drained", e.settings.VM)
	case e.member.Replica.Revision() == 0:
		return outcome.New(outcome.NoServer, "no configuration has been received")
	case e.member.Isolated():
		return outcome.New(outcome.NoServer, "neither the store nor any peer can be reached")
	case !e.hasAgents():
		return outcome.New(outcome.NoServer, "not all sessions with agents are open yet")
	}
	return nil
}

// Run serves until Stop is called or ctx ends. When ctx ends or the drain limit
// is over, the requests in flight are cancelled, and their callers get outcomes.
func (e *Entry) Run(ctx context.Context, l Listeners) error {
	// The requests and what they need do not end with ctx, so that each request
	// can be answered.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	requests, abort := context.WithCancelCause(background)
	defer abort(nil)
	callers, callersErr := newDrainListener(l.Callers, e.footprint)
	admin, adminErr := newDrainListener(l.Admin, footprint.NewTracker(footprint.Limits{Holders: maxAdminConnections}))
	if err := errors.Join(callersErr, adminErr); err != nil {
		return fmt.Errorf("run entry: %w", err)
	}
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return e.member.Run(groupCtx, listen.Retry(l.Control, e.log)) })
	if e.placementState != nil {
		group.Go(func() error { return e.placementState.planner.Run(groupCtx) })
	}
	group.Go(func() error { return serve(e.callersServer(requests), listen.Retry(callers, e.log), "callers' API") })
	group.Go(func() error { return serve(e.adminServer(requests), listen.Retry(admin, e.log), "administration API") })
	group.Go(func() error {
		defer cancel()
		ctx, stop := mergeCancel(ctx, groupCtx)
		defer stop()
		e.awaitStop(ctx)
		return e.drain(ctx, abort, callers, admin)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run entry: %w", err)
	}
	return nil
}

// mergeCancel returns a copy of ctx that also ends when other ends.
func mergeCancel(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// awaitStop waits for Stop and then gives the load balancer time to notice
// that the entry is not ready.
func (e *Entry) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.stop:
	}
	e.log.Info("drain started")
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(e.settings.Entry.UnreadyMillis) * time.Millisecond):
	}
}

// answerTimeout bounds the time to write the answers of cancelled requests at
// the end of a stop.
const answerTimeout = 2 * time.Second

var errUnanswered = errors.New("connections were closed before their requests were answered")

// drain waits until the requests in flight have been answered. When the drain
// limit is over or ctx ends, it cancels them.
func (e *Entry) drain(ctx context.Context, abort context.CancelCauseFunc, servers ...*drainListener) error {
	limit, cancel := context.WithTimeout(ctx, e.settings.DrainLimit())
	defer cancel()
	for _, s := range servers {
		s.drain()
	}
	if open := awaitAllClosed(limit, servers); open > 0 {
		cause := outcome.New(outcome.Draining, "the drain limit of VM %s is over", e.settings.VM)
		if ctx.Err() != nil {
			cause = outcome.New(outcome.Draining, "VM %s stops at once", e.settings.VM)
		}
		e.log.Warn("requests cancelled", "connections", open, "reason", cause.Message)
		abort(cause)
		answerCtx, cancelAnswers := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancelAnswers()
		if open := awaitAllClosed(answerCtx, servers); open > 0 {
			return fmt.Errorf("stop %d connections: %w", open, errUnanswered)
		}
	}
	e.log.Info("drain finished")
	return nil
}

// awaitAllClosed waits until all connections of the servers are closed, or
// returns the number of open ones when ctx ends.
func awaitAllClosed(ctx context.Context, servers []*drainListener) (open int) {
	for _, s := range servers {
		open += s.awaitClosed(ctx)
	}
	return open
}

// hooks implements member.Hooks for an Entry.
type hooks Entry

func (h *hooks) Load(*wire.Hello) *wire.Load { return nil }

func (h *hooks) Backend() *wire.BackendInfo { return nil }

func (h *hooks) Stream(ctx context.Context, s *link.Stream) { s.Close() }

// ConfigChanged starts or ends a drain of this VM according to its mark, and
// excludes marked agents from new work.
func (h *hooks) ConfigChanged(config *fleetconf.Config) {
	e := (*Entry)(h)
	state, _ := config.Mark(e.settings.VM)
	e.leaving.Store(state == fleetconf.Leaving)
	if state == fleetconf.Stopping {
		e.Stop()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for vm := range e.agents {
		e.updateUsable(vm, config)
	}
}

// PeerChanged updates the state of an agent, or the number of live entries.
func (h *hooks) PeerChanged(peer *wire.Hello, usable bool) {
	e := (*Entry)(h)
	if peer.Role != wire.Role_ROLE_AGENT {
		e.liveEntries.Store(int64(len(e.member.LiveEntries())))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.agents[peer.Vm]
	if state == nil || state.hello.Epoch != peer.Epoch {
		state = &agentState{}
		e.agents[peer.Vm] = state
	}
	if state.usable && !usable || state.unusableSince.IsZero() {
		state.unusableSince = time.Now()
	}
	state.hello, state.usable = peer, usable
	e.upsertAgent(state)
	e.updateUsable(peer.Vm, e.member.Replica.Config())
}

// VMsChanged removes agents that are neither listed nor usable. VMs are
// replaced often, so the map would otherwise grow without limit.
func (h *hooks) VMsChanged(vms []cloud.VM) {
	e := (*Entry)(h)
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for vm, state := range e.agents {
		if !listed[vm] && !state.usable {
			delete(e.agents, vm)
			e.table.Remove(vm)
		}
	}
}

// PeerLoad stores the load that an agent reported.
func (h *hooks) PeerLoad(peer *wire.Hello, load *wire.Load) {
	e := (*Entry)(h)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.agents[peer.Vm]
	if state == nil {
		return
	}
	changed := !slices.Equal(state.models(), load.Models)
	state.load = load
	if changed {
		e.upsertAgent(state)
	}
	e.reportLoad(peer.Vm, load)
	e.updateUsable(peer.Vm, e.member.Replica.Config())
}

// upsertAgent adds or updates an agent in the table; e.mu is held.
func (e *Entry) upsertAgent(state *agentState) {
	info := state.hello.Backend
	if info == nil {
		return
	}
	e.table.Upsert(choose.Agent{VM: state.hello.Vm, DataCentre: state.hello.DataCentre, Models: state.models(),
		KVTokens: int(info.KvTokens), PrefillTokensPerSecond: int(info.PrefillTokensPerSecond), Service: info.Service})
}

// reportLoad passes the load of an agent to the table; e.mu is held.
func (e *Entry) reportLoad(vm string, load *wire.Load) {
	l := choose.Load{KVReserved: int(load.KvReservedTokens), Running: int(load.Running), Queued: int(load.Queued)}
	for band, tokens := range load.PrefillTokens {
		if band < outcome.BandCount {
			l.PrefillTokens[band] = int(tokens)
		}
	}
	now := time.Now()
	e.table.Report(now, vm, l)
	if load.PrefillTokensPerSecond > 0 {
		e.table.SetPrefillSpeed(now, vm, int(load.PrefillTokensPerSecond))
	}
	if load.PrefixesValid {
		e.table.CachedPrefixes(vm, load.CachedPrefixes)
	}
}

// updateUsable sets in the table whether an agent may get work; e.mu is held.
func (e *Entry) updateUsable(vm string, config *fleetconf.Config) {
	e.table.SetUsable(vm, e.agents[vm].mayGetWork(config))
}

// Package agent is the daemon's role beside one backend server. Only the agent
// decides what runs on that server and when, so that an outdated view in an
// entry can never overload it. Only the agent claims orders before they are
// sent.
//
// Lock order: Agent.mu before request.mu and placements.mu. No lock is held
// during calls to the engine, the service or the store.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/cloud"
	"camphorwick.dev/daemon/member"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/ledger"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
	"camphorwick.dev/policy/queue"
	"camphorwick.dev/settings"
)

// drainPollInterval is the interval at which a drain checks whether all work has
// ended.
const drainPollInterval = 50 * time.Millisecond

// flushTimeout bounds the time to write order outcomes at the end of a drain.
const flushTimeout = 30 * time.Second

// drainGrace bounds the wait for cancelled work after the drain limit, because an
// engine that hangs must not block a stop.
const drainGrace = 30 * time.Second

// Deps holds the external dependencies of an Agent. Exactly one of Engine and
// Service is set.
type Deps struct {
	KV        cloud.KV
	VMs       cloud.VMList
	Engine    backend.Engine
	Service   backend.Service
	Telemetry *observe.Telemetry
}

// Agent serves one backend server.
type Agent struct {
	settings  *settings.Settings
	log       *slog.Logger
	telemetry *observe.Telemetry
	metrics   *metrics
	member    *member.Member
	engine    backend.Engine
	service   backend.Service
	ledger    *ledger.Ledger
	// callSlots holds one element per in-flight call of the service; its
	// capacity limits them.
	callSlots chan struct{}

	// draining is set while the VM is marked and from the start of a stop on;
	// refusesWork tells whether work is refused.
	draining atomic.Bool
	// stop is closed when the agent should drain and exit.
	stop     chan struct{}
	stopOnce sync.Once
	// wake makes the dispatcher check the queue; capacity 1.
	wake chan struct{}
	// active counts completions and calls that have not ended.
	active atomic.Int64
	// info is the engine's description; nil until the engine has answered.
	info atomic.Pointer[backend.EngineInfo]
	// report is the engine's last load report.
	report atomic.Pointer[backend.LoadReport]
	// failedPolls counts consecutive failures to read the engine's load report.
	failedPolls    atomic.Int64
	placementState *placementState

	mu       sync.Mutex // guards the fields below
	queue    *queue.Queue
	requests map[requestKey]*request // the current attempt of each request
	jobs     map[string]*request     // by job id, while queued or running
	cache    *prefixSet
	// prefixesSent is what was last sent to each connected entry, by VM.
	prefixesSent map[string]sentPrefixes
}

// sentPrefixes identifies a version of the cached prefixes and the process, by
// its epoch, that it was sent to.
type sentPrefixes struct{ epoch, version uint64 }

// New returns an agent that does nothing until Run.
func New(s *settings.Settings, d Deps) (*Agent, error) {
	a := &Agent{settings: s, log: d.Telemetry.Log, telemetry: d.Telemetry, engine: d.Engine, service: d.Service,
		stop: make(chan struct{}), wake: make(chan struct{}, 1),
		requests: map[requestKey]*request{}, jobs: map[string]*request{}, cache: newPrefixSet(), prefixesSent: map[string]sentPrefixes{},
		placementState: newPlacementState()}
	m, err := member.New(s, d.Telemetry.Log, d.KV, d.VMs, (*hooks)(a))
	if err != nil {
		return nil, err
	}
	a.member = m
	if a.service != nil {
		a.ledger = ledger.New(d.KV, m.Claimant(), ledger.Config{Logger: a.log})
		a.callSlots = make(chan struct{}, s.Agent.Service.MaxConcurrent)
	}
	a.metrics, err = newMetrics(a)
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return a, nil
}

// Stop starts a graceful stop: new work is refused, in-flight work finishes,
// then Run returns.
func (a *Agent) Stop() {
	a.stopOnce.Do(func() { close(a.stop) })
}

// Ready returns nil if the agent accepts work.
func (a *Agent) Ready() error {
	if a.refusesWork() {
		return outcome.New(outcome.Draining, "VM %s is being drained", a.settings.VM)
	}
	if a.engine != nil && a.info.Load() == nil {
		return outcome.New(outcome.NoServer, "the engine has not answered yet")
	}
	return nil
}

// Run serves until Stop is called or ctx ends. Cancelling ctx aborts in-flight
// work.
func (a *Agent) Run(ctx context.Context, listener net.Listener) error {
	if a.engine != nil {
		if err := a.prepareEngine(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.member.Run(groupCtx, listener) })
	if a.engine != nil {
		group.Go(func() error { return a.dispatch(groupCtx) })
		group.Go(func() error { return a.freeLostStreams(groupCtx) })
		group.Go(func() error { return a.followCache(groupCtx) })
		group.Go(func() error { return a.followModels(groupCtx) })
	} else {
		group.Go(func() error { return a.runLedger(groupCtx) })
	}
	group.Go(func() error {
		defer cancel()
		return a.awaitStop(groupCtx)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run agent: %w", err)
	}
	return nil
}

func (a *Agent) runLedger(ctx context.Context) error {
	if err := a.ledger.RunSweeper(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run the order journal: %w", err)
	}
	return nil
}

// awaitStop drains after Stop and returns when the work has ended.
func (a *Agent) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-a.stop:
		a.startDrain("stop requested")
		a.awaitIdle(ctx)
		a.closeDataSessions(ctx)
		a.awaitLastHeartbeat(ctx)
	}
	if a.ledger == nil {
		return nil
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := a.ledger.Close(flushCtx); err != nil {
		return fmt.Errorf("write order outcomes: %w", err)
	}
	return nil
}

// startDrain refuses new work from now on and reports this to the entries.
func (a *Agent) startDrain(reason string) {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("drain started", "reason", reason, "active", a.active.Load())
	a.member.Node.SendHeartbeats()
}

// closeTimeout bounds the wait for entries to close their data sessions. An entry
// closes its session when its last query, which may take 5 s, has ended.
const closeTimeout = 6 * time.Second

// closeDataSessions waits until the entries have got the answers and refusals of
// all streams that they have opened.
func (a *Agent) closeDataSessions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	a.member.Node.CloseDataSessions(ctx)
	if ctx.Err() != nil {
		a.log.Warn("sessions are closed although an entry may have open streams", "cause", context.Cause(ctx).Error())
	}
}

// lastHeartbeatTime is how long an agent without work stays connected at the
// end of a drain, so that its last heartbeat confirms the mark that stopped it.
const lastHeartbeatTime = 200 * time.Millisecond

func (a *Agent) awaitLastHeartbeat(ctx context.Context) {
	a.member.Node.SendHeartbeats()
	select {
	case <-ctx.Done():
	case <-time.After(lastHeartbeatTime):
	}
}

// awaitIdle waits until all work has ended. At the drain limit, completions are
// cancelled with Draining, so that their entries continue them elsewhere. Engine
// streams whose cancel the engine has not confirmed within drainGrace after that
// are left to the next process of the VM.
func (a *Agent) awaitIdle(ctx context.Context) {
	timeout, cancelled := time.After(a.settings.DrainLimit()), false
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !a.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			a.log.Warn("drain limit reached", "active", a.active.Load())
			if cancelled {
				return
			}
			cancelled, timeout = true, nil
			a.cancelAll(outcome.New(outcome.Draining, "the drain limit of VM %s is over", a.settings.VM))
			if a.engine != nil { // calls of a service end at their own deadlines
				timeout = time.After(drainGrace)
			}
		case <-ticker.C:
		}
	}
	a.log.Info("drain finished")
}

// hooks implements member.Hooks for an Agent.
type hooks Agent

func (h *hooks) Load(peer *wire.Hello) *wire.Load {
	a := (*Agent)(h)
	load := a.load()
	a.mu.Lock()
	defer a.mu.Unlock()
	if sent := a.prefixesSent[peer.Vm]; sent != (sentPrefixes{peer.Epoch, a.cache.version}) {
		a.prefixesSent[peer.Vm] = sentPrefixes{peer.Epoch, a.cache.version}
		load.CachedPrefixes, load.PrefixesValid = a.cache.list(), true
	}
	return load
}

func (h *hooks) Backend() *wire.BackendInfo {
	if h.service != nil {
		return &wire.BackendInfo{Service: h.settings.Agent.Service.Name}
	}
	info := h.info.Load()
	if info == nil {
		return &wire.BackendInfo{}
	}
	return &wire.BackendInfo{Models: info.Models, KvTokens: uint64(info.KVTokens),
		PrefillTokensPerSecond: uint64(info.PrefillTokensPerSecond)}
}

func (h *hooks) PeerLoad(*wire.Hello, *wire.Load) {}

func (h *hooks) VMsChanged([]cloud.VM) {}

func (h *hooks) Demand(*wire.Hello) []*wire.ModelDemand { return nil }

func (h *hooks) PeerDemand(*wire.Hello, []*wire.ModelDemand) {}

// PeerChanged removes the record of what was sent to a lost entry: its next
// session gets the cached prefixes again, and replaced entries take no memory.
func (h *hooks) PeerChanged(peer *wire.Hello, usable bool) {
	if usable {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.prefixesSent, peer.Vm)
}

func (h *hooks) Stream(ctx context.Context, s *link.Stream) { (*Agent)(h).serveStream(ctx, s) }

// ConfigChanged starts a drain when the VM is marked. Removing the mark ends a
// drain that only the mark had started.
func (h *hooks) ConfigChanged(config *fleetconf.Config) {
	a := (*Agent)(h)
	state, _ := config.Mark(a.settings.VM)
	switch state {
	case fleetconf.Leaving:
		a.startDrain("VM is marked as leaving")
	case fleetconf.Stopping:
		a.startDrain("VM is marked as stopping")
		a.Stop()
	default:
		a.resume()
	}
}

// refusesWork reports whether new work is refused: the VM is marked or the process
// is stopping. Stop is read by itself, because resume may clear draining while
// Stop is called.
func (a *Agent) refusesWork() bool { return a.draining.Load() || a.stopping() }

// resume makes the agent accept work again after a drain, unless the process is
// stopping.
func (a *Agent) resume() {
	if a.stopping() {
		return
	}
	if a.draining.Swap(false) {
		a.log.Info("drain ended, the VM is no longer marked")
		a.member.Node.SendHeartbeats()
	}
}

// serveStream serves one stream that an entry opened.
func (a *Agent) serveStream(ctx context.Context, s *link.Stream) {
	header := &wire.StreamHeader{}
	if err := s.Read(header); err != nil {
		a.log.Warn("stream refused", "peer", s.Peer.Vm, "error", err.Error())
		return
	}
	switch body := header.Body.(type) {
	case *wire.StreamHeader_Submit:
		a.serveSubmit(ctx, s, body.Submit)
	case *wire.StreamHeader_Resume:
		a.serveResume(ctx, s, body.Resume)
	case *wire.StreamHeader_Segment:
		a.serveSegment(ctx, s, body.Segment)
	case *wire.StreamHeader_Service:
		a.serveCall(ctx, s, body.Service)
	case *wire.StreamHeader_OrderQuery:
		a.serveOrderQuery(ctx, s, body.OrderQuery)
	case *wire.StreamHeader_Place:
		a.servePlace(ctx, s, body.Place)
	default:
		a.log.Warn("stream with an unknown header refused", "peer", s.Peer.Vm)
	}
}

// load returns the load to report.
func (a *Agent) load() *wire.Load {
	load := &wire.Load{Draining: a.refusesWork()}
	if a.engine == nil {
		load.Running = uint32(a.active.Load())
		return load
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue == nil {
		return load
	}
	l := a.queue.Load(time.Now())
	for _, tokens := range l.PrefillTokens {
		load.PrefillTokens = append(load.PrefillTokens, uint64(tokens))
	}
	load.KvReservedTokens = uint64(l.KVReserved)
	load.Running, load.Queued = uint32(l.Running), uint32(l.Queued)
	if info := a.info.Load(); info != nil {
		load.Models = info.Models
		load.Placed = a.placedModels()
	}
	load.BackendDown = a.engineDown()
	load.PrefillTokensPerSecond = uint64(a.queue.PrefillSpeed())
	return load
}

// toWire returns the wire form of an error.
func toWire(err error) *wire.Error {
	e := outcome.From(err)
	if e == nil {
		return nil
	}
	message := e.Message
	if e.Cause != nil {
		message = fmt.Sprintf("%s: %v", message, e.Cause)
	}
	return &wire.Error{Code: string(e.Code), Message: message, RetryAfterMs: uint32(e.RetryAfter / time.Millisecond)}
}

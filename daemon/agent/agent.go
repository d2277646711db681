// Package agent is the daemon's role beside one backend server. The agent is
// the only authority over that server: it alone decides what runs there and
// when, so that a stale view in an entry can never overload it, and it alone
// claims orders before they are sent.
//
// Lock order: Agent.mu before request.mu and placements.mu. None is held during calls of the
// engine, the service or the store.
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

// drainPoll is how often a drain looks whether the work is done.
const drainPoll = 50 * time.Millisecond

// flushLimit bounds the writing of order outcomes at the end of a drain.
const flushLimit = 30 * time.Second

// drainGrace bounds the wait, after the drain limit, for work that was ended:
// an engine that hangs must not hold up a stop for ever.
const drainGrace = 30 * time.Second

// Deps are the outside parts that an Agent uses. Exactly one of Engine and
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
	// calls holds one token per call of the service in progress.
	calls chan struct{}

	draining atomic.Bool
	// stop is closed when the agent should drain and end.
	stop     chan struct{}
	stopOnce sync.Once
	// wake asks the dispatcher to look at the queue; capacity 1.
	wake chan struct{}
	// active counts completions and calls that have not ended.
	active atomic.Int64
	// info is the engine's description.
	info atomic.Pointer[backend.EngineInfo]
	// report is the engine's last load report.
	report atomic.Pointer[backend.LoadReport]
	// failedPolls counts the load reports in a row that the engine did not give.
	failedPolls atomic.Int64
	placements  *placements

	mu       sync.Mutex
	queue    *queue.Queue
	requests map[requestKey]*request // the current attempt of each request
	jobs     map[string]*request     // by job id, while queued or running
	cache    *prefixSet
	// prefixesSent is what each connected entry was sent last.
	prefixesSent map[string]sentPrefixes
}

// sentPrefixes names a version of the cached prefixes sent to one process.
type sentPrefixes struct{ epoch, version uint64 }

// New returns an agent that does nothing until Run.
func New(s *settings.Settings, d Deps) (*Agent, error) {
	a := &Agent{settings: s, log: d.Telemetry.Log, telemetry: d.Telemetry, engine: d.Engine, service: d.Service,
		stop: make(chan struct{}), wake: make(chan struct{}, 1),
		requests: map[requestKey]*request{}, jobs: map[string]*request{}, cache: newPrefixSet(), prefixesSent: map[string]sentPrefixes{},
		placements: newPlacements()}
	m, err := member.New(s, d.Telemetry.Log, d.KV, d.VMs, (*hooks)(a))
	if err != nil {
		return nil, err
	}
	a.member = m
	if a.service != nil {
		a.ledger = ledger.New(d.KV, m.Claimant(), ledger.Config{Logger: a.log})
		a.calls = make(chan struct{}, s.Agent.Service.MaxConcurrent)
	}
	a.metrics, err = newMetrics(a)
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return a, nil
}

// Stop starts a graceful stop: new work is refused, running work ends, then
// Run returns.
func (a *Agent) Stop() {
	a.stopOnce.Do(func() { close(a.stop) })
}

// Ready returns nil if the agent accepts work.
func (a *Agent) Ready() error {
	if a.draining.Load() {
		return outcome.New(outcome.Draining, "VM %s is being drained", a.settings.VM)
	}
	if a.engine != nil && a.info.Load() == nil {
		return outcome.New(outcome.NoServer, "the engine has not answered yet")
	}
	return nil
}

// Run serves until Stop or the end of ctx. A cancelled ctx cuts work off.
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
	if err := a.ledger.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
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
		a.awaitLastHeartbeat(ctx)
	}
	if a.ledger == nil {
		return nil
	}
	flush, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	if err := a.ledger.Close(flush); err != nil {
		return fmt.Errorf("write order outcomes: %w", err)
	}
	return nil
}

// startDrain refuses new work from now on and tells the entries.
func (a *Agent) startDrain(reason string) {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("drain started", "reason", reason, "active", a.active.Load())
	a.member.Node.Kick()
}

// lastHeartbeatTime is how long an agent without work stays connected at the end of
// a drain, so that its last heartbeat confirms the mark that ended it.
const lastHeartbeatTime = 200 * time.Millisecond

func (a *Agent) awaitLastHeartbeat(ctx context.Context) {
	a.member.Node.Kick()
	select {
	case <-ctx.Done():
	case <-time.After(lastHeartbeatTime):
	}
}

// awaitIdle waits until all work has ended. At the drain limit, completions
// are ended with Draining, so that their entries continue them elsewhere;
// what an engine has not given up drainGrace later is left to the next process.
func (a *Agent) awaitIdle(ctx context.Context) {
	limit, ended := time.After(a.settings.DrainLimit()), false
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for a.active.Load() > 0 || a.heldAnswers() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			a.log.Warn("drain limit reached", "active", a.active.Load())
			if ended {
				return
			}
			ended, limit = true, nil
			a.cancelAll(outcome.New(outcome.Draining, "the drain limit of VM %s is over", a.settings.VM))
			if a.engine != nil { // calls of a service end at their own deadlines
				limit = time.After(drainGrace)
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
	if known := a.prefixesSent[peer.Vm]; known != (sentPrefixes{peer.Epoch, a.cache.version}) {
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

// PeerChanged forgets what a lost entry was sent: its next session gets the
// cached prefixes again, and entries that were replaced take no memory.
func (h *hooks) PeerChanged(peer *wire.Hello, usable bool) {
	if usable {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.prefixesSent, peer.Vm)
}

func (h *hooks) Stream(ctx context.Context, s *link.Stream) { (*Agent)(h).serveStream(ctx, s) }

// ConfigChanged starts a drain when the VM is marked. A mark that was removed
// ends a drain that only the mark had started.
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

// resume accepts work again unless the process is stopping.
func (a *Agent) resume() {
	if a.stopping() {
		return
	}
	if a.draining.Swap(false) {
		a.log.Info("drain ended, the VM is no longer marked")
		a.member.Node.Kick()
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
	load := &wire.Load{Draining: a.draining.Load()}
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
		load.Placed = a.placed()
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

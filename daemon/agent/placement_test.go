package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
	"camphorwick.dev/daemon/member"
	"camphorwick.dev/daemon/placement"
	"camphorwick.dev/link"
	"camphorwick.dev/policy/place"
	"camphorwick.dev/settings"
)

const (
	testLease    = 10 * time.Second
	testLoadTime = 5 * time.Second
)

// pipe is an in-memory placeStream.
type pipe struct {
	toAgent, toPlanner chan proto.Message
	closed             chan struct{}
	deadline           time.Time
}

func newPipe() *pipe {
	return &pipe{toAgent: make(chan proto.Message, 4), toPlanner: make(chan proto.Message, 4), closed: make(chan struct{})}
}

func (p *pipe) Write(m proto.Message) error { p.toPlanner <- m; return nil }

func (p *pipe) SetReadDeadline(t time.Time) { p.deadline = t }

func (p *pipe) Read(m proto.Message) error {
	select {
	case got := <-p.toAgent:
		proto.Merge(m, got)
		return nil
	case <-p.closed:
	case <-time.After(time.Until(p.deadline)):
	}
	return errors.New("no message")
}

// checkedEngine is an engine that ignores fencing tokens. It passes every command
// to check.
type checkedEngine struct {
	backend.Engine
	vm    string
	check func(vm string, o backend.Command)

	mu     sync.Mutex
	models map[string]string
}

func (f *checkedEngine) Info(context.Context) (backend.EngineInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info := backend.EngineInfo{PrefillTokensPerSecond: 1000}
	for m := range f.models {
		info.Models = append(info.Models, m)
	}
	slices.Sort(info.Models)
	return info, nil
}

func (f *checkedEngine) Command(_ context.Context, o backend.Command) error {
	f.check(f.vm, o)
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Kind == "unload" {
		delete(f.models, o.Model)
		return nil
	}
	time.AfterFunc(testLoadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.models[o.Model] = o.Version
	})
	return nil
}

func testAgent(vm string, kv cloud.KV, engine backend.Engine) *Agent {
	log := slog.New(slog.DiscardHandler)
	a := &Agent{settings: &settings.Settings{VM: vm}, log: log, engine: engine, placementState: newPlacementState(),
		member: &member.Member{KV: kv, Node: link.NewNode(link.Config{Log: log})}}
	info, _ := engine.Info(context.Background())
	a.info.Store(&info)
	return a
}

// sendCommand proposes a load with a fencing token, confirms it after a delay
// with the remaining time of the lease and returns the status of the result.
func sendCommand(a *Agent, fencingToken uint64, remaining, delay time.Duration) wire.PlaceStatus {
	p := newPipe()
	go a.servePlace(context.Background(), p, &wire.PlaceCommand{Kind: wire.PlaceKind_PLACE_KIND_LOAD, Model: "b", Version: "1", FencingToken: fencingToken})
	m := (<-p.toPlanner).(*wire.AgentMessage)
	if m.GetPlaceOffer() == nil {
		return m.GetPlaceResult().Status
	}
	time.Sleep(delay)
	p.toAgent <- &wire.EntryMessage{Body: &wire.EntryMessage_Place{Place: &wire.PlaceConfirm{RemainingMs: uint32(remaining.Milliseconds())}}}
	return (<-p.toPlanner).(*wire.AgentMessage).GetPlaceResult().Status
}

// Guards against execution of commands that an agent must refuse. Each case
// exercises one check: the fencing token in the store, the highest seen fencing
// token, the time since the offer, a drain, an outage of the store.
func TestPlaceRefusals(t *testing.T) {
	cases := []struct {
		name string
		act  func(*Agent, *memkv.Store, uint64) wire.PlaceStatus
		want wire.PlaceStatus
	}{
		{"the holder's command", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			return sendCommand(a, fencingToken, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_DONE},
		{"an old token after a restart", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			return sendCommand(a, fencingToken-1, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_FENCED},
		{"no lease", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			_ = s.Delete(context.Background(), placement.KeyPrefix+"b", fencingToken)
			return sendCommand(a, fencingToken, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_FENCED},
		{"a late confirmation", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			return sendCommand(a, fencingToken, time.Second, 2*time.Second)
		}, wire.PlaceStatus_PLACE_STATUS_EXPIRED},
		{"a newer token between offer and confirmation", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			go func() {
				time.Sleep(time.Second)
				next, _ := s.Put(context.Background(), placement.KeyPrefix+"b", nil, fencingToken, 0)
				sendCommand(a, next, time.Minute, 0)
			}()
			return sendCommand(a, fencingToken, time.Minute, 2*time.Second)
		}, wire.PlaceStatus_PLACE_STATUS_FENCED},
		{"a drain", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			a.draining.Store(true)
			return sendCommand(a, fencingToken, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_DRAINING},
		{"a drain after the offer", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			time.AfterFunc(time.Second, func() { a.draining.Store(true) })
			return sendCommand(a, fencingToken, time.Minute, 2*time.Second)
		}, wire.PlaceStatus_PLACE_STATUS_DRAINING},
		{"the store is down", func(a *Agent, s *memkv.Store, fencingToken uint64) wire.PlaceStatus {
			s.SetDown(true)
			return sendCommand(a, fencingToken, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_STORE_UNAVAILABLE},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				// Makes the revision of the lease key higher than 1, so that an older one exists.
				_, err := store.Put(t.Context(), "other", nil, 0, 0)
				is.NoErr(err)
				fencingToken, err := store.Put(t.Context(), placement.KeyPrefix+"b", nil, 0, 0)
				is.NoErr(err)
				commands := 0
				engine := &checkedEngine{vm: "vm-1", models: map[string]string{"a": ""}, check: func(string, backend.Command) { commands++ }}
				status := tc.act(testAgent("vm-1", store, engine), store, fencingToken)
				is.Equal(status, tc.want)
				// In the exempt case, the command with the newer token reaches the engine.
				if status != wire.PlaceStatus_PLACE_STATUS_DONE && tc.name != "a newer token between offer and confirmation" {
					is.Equal(commands, 0)
				}
				time.Sleep(testLoadTime) // until the engine's timers have fired
			})
		})
	}
}

// simulation is a fleet of planners and agents with one store in virtual time.
type simulation struct {
	store  *memkv.Store
	ctx    context.Context
	group  sync.WaitGroup
	random *rand.Rand

	mu          sync.Mutex
	faultsEnded bool // pauses are short and the weight store accepts every load
	agents      []*Agent
	stops       []context.CancelFunc
	engines     []*checkedEngine
	reports     []place.Engine
	versions    map[string]string
	highest     map[string]uint64 // highest fencing token of a command, by VM and model
	grants      int               // loads that the weight store accepted
	loads       int               // load commands that reached an engine
	lastLoad    time.Time
	violation   error
}

// randomPause pauses a process: usually briefly, sometimes beyond the end of its
// lease.
func (sim *simulation) randomPause() {
	sim.mu.Lock()
	d := time.Duration(sim.random.IntN(50)) * time.Millisecond
	switch sim.random.IntN(8) {
	case 0:
		d = time.Duration(sim.random.Int64N(int64(3 * testLease)))
	case 1, 2:
		d = time.Duration(sim.random.Int64N(int64(testLease)))
	}
	if sim.faultsEnded {
		d = time.Millisecond
	}
	sim.mu.Unlock()
	time.Sleep(d)
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

// check verifies the fencing token of a command that reached an engine.
func (sim *simulation) check(vm string, o backend.Command) {
	current, err := sim.store.Get(context.Background(), placement.KeyPrefix+o.Model)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err == nil && current.Revision != o.Fencing {
		sim.recordViolation("%s got a command for %s with fencing token %d, the lease key has %d", vm, o.Model, o.Fencing, current.Revision)
	}
	key := vm + " " + o.Model
	if o.Fencing < sim.highest[key] {
		sim.recordViolation("%s got a command for %s with fencing token %d after %d", vm, o.Model, o.Fencing, sim.highest[key])
	}
	sim.highest[key] = o.Fencing
	if o.Kind == "load" {
		sim.loads++
		sim.lastLoad = time.Now()
	}
}

// Reserve implements cloud.WeightStore. On average, it accepts every other call.
func (sim *simulation) Reserve(context.Context, string, string) error {
	sim.randomPause()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.random.IntN(2) == 0 && !sim.faultsEnded {
		return &cloud.RateLimitedError{RetryAfter: time.Second}
	}
	sim.grants++
	return nil
}

// pausingKV pauses its caller after each call that planners and agents make.
type pausingKV struct {
	cloud.KV
	simulation *simulation
}

func (k pausingKV) Get(ctx context.Context, key string) (cloud.Record, error) {
	defer k.simulation.randomPause()
	return k.KV.Get(ctx, key)
}

func (k pausingKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	defer k.simulation.randomPause()
	return k.KV.Put(ctx, key, value, expected, lease)
}

func (k pausingKV) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	defer k.simulation.randomPause()
	return k.KV.Grant(ctx, ttl)
}

func (k pausingKV) Renew(ctx context.Context, id cloud.LeaseID) error {
	defer k.simulation.randomPause()
	return k.KV.Renew(ctx, id)
}

// View implements placement.Fleet with the latest reports.
func (sim *simulation) View(time.Time) (place.View, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	v := place.View{Demand: map[string]place.Demand{"b": {Requests: 1}}, Engines: slices.Clone(sim.reports)}
	for _, m := range []string{"a", "b"} {
		v.Models = append(v.Models, place.Model{Name: m, Version: sim.versions[m], Allowed: true})
	}
	return v, true
}

// Send implements placement.Fleet over a pipe, with pauses of the planner
// before the command and between its lease check and the confirmation.
func (sim *simulation) Send(ctx context.Context, c place.Command, fencingToken uint64, confirm func(context.Context) (time.Duration, error)) error {
	sim.randomPause()
	sim.mu.Lock()
	a := sim.agents[slices.IndexFunc(sim.reports, func(e place.Engine) bool { return e.VM == c.VM })]
	sim.mu.Unlock()
	kind := wire.PlaceKind_PLACE_KIND_LOAD
	if c.Kind == place.Unload {
		kind = wire.PlaceKind_PLACE_KIND_UNLOAD
	}
	p := newPipe()
	defer close(p.closed)
	sim.group.Go(func() {
		a.servePlace(sim.ctx, p, &wire.PlaceCommand{Kind: kind, Model: c.Model, Version: c.Version, FencingToken: fencingToken})
	})
	answer := func() (*wire.AgentMessage, error) {
		select {
		case m := <-p.toPlanner:
			return m.(*wire.AgentMessage), nil
		case <-time.After(time.Minute):
			return nil, errors.New("no answer")
		}
	}
	m, err := answer()
	if err != nil || m.GetPlaceOffer() == nil {
		return errors.Join(err, &placement.StatusError{VM: c.VM, Status: m.GetPlaceResult().GetStatus()})
	}
	remaining, err := confirm(ctx)
	if err != nil {
		return err
	}
	sim.randomPause()
	p.toAgent <- &wire.EntryMessage{Body: &wire.EntryMessage_Place{Place: &wire.PlaceConfirm{RemainingMs: uint32(max(remaining.Milliseconds(), 0))}}}
	m, err = answer()
	if err != nil || m.GetPlaceResult().GetStatus() != wire.PlaceStatus_PLACE_STATUS_DONE {
		return errors.Join(err, &placement.StatusError{VM: c.VM, Status: m.GetPlaceResult().GetStatus()})
	}
	return nil
}

// startAgent starts the agent of an engine, or restarts it.
func (sim *simulation) startAgent(i int) {
	a := testAgent(sim.engines[i].vm, pausingKV{sim.store, sim}, sim.engines[i])
	ctx, stop := context.WithCancel(sim.ctx)
	sim.mu.Lock()
	if sim.stops[i] != nil {
		sim.stops[i]()
		sim.agents[i].draining.Store(true) // a killed process sends nothing more
	}
	sim.agents[i], sim.stops[i] = a, stop
	sim.mu.Unlock()
	sim.group.Go(func() { _ = a.followModels(ctx) })
}

// report updates the agents' reports once per second.
func (sim *simulation) report() {
	for sim.ctx.Err() == nil {
		sim.mu.Lock()
		for i, a := range sim.agents {
			sim.reports[i].Placed = nil
			for _, p := range a.placedModels() {
				sim.reports[i].Placed = append(sim.reports[i].Placed, place.Placed{Name: p.Name, Version: p.Version, Loading: p.Loading})
			}
			for _, m := range a.info.Load().Models {
				if !slices.ContainsFunc(sim.reports[i].Placed, func(p place.Placed) bool { return p.Name == m }) {
					sim.reports[i].Placed = append(sim.reports[i].Placed, place.Placed{Name: m})
				}
			}
		}
		sim.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func newSimulation(ctx context.Context, seed uint64) *simulation {
	sim := &simulation{store: memkv.New(), ctx: ctx, random: rand.New(rand.NewPCG(seed, seed)), versions: map[string]string{"b": "1"}, highest: map[string]uint64{}}
	const engines, planners = 4, 3
	sim.agents, sim.stops = make([]*Agent, engines), make([]context.CancelFunc, engines)
	for i := range engines {
		vm := fmt.Sprintf("vm-%d", i)
		sim.engines = append(sim.engines, &checkedEngine{vm: vm, models: map[string]string{"a": ""}, check: sim.check})
		sim.reports = append(sim.reports, place.Engine{VM: vm, DataCentre: fmt.Sprintf("dc-%d", i%2), PrefillTokensPerSecond: 1000})
		sim.startAgent(i)
	}
	sim.group.Go(sim.report)
	for i := range planners {
		p := placement.New(placement.Config{Name: fmt.Sprintf("planner-%d", i), KV: pausingKV{sim.store, sim}, Weights: sim, Fleet: sim,
			Log: slog.New(slog.DiscardHandler), Lease: testLease, Interval: time.Second})
		sim.group.Go(func() { _ = p.Run(sim.ctx) })
	}
	return sim
}

// Guards against engine commands from planners that have lost their lease, on
// engines that ignore fencing tokens. Three planners compete and pause at any
// step, answers of the store are lost, writes are delayed, the store fails and
// agents are restarted. After the faults, the latest version of model b must be
// on engines in two data centres, and no load may be repeated.
func TestPlacementProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := rapid.SliceOfN(rapid.IntRange(0, 6), 5, 25).Draw(rt, "actions")
		var fault error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			sim := newSimulation(ctx, seed)
			for i, action := range actions {
				sim.applyAction(i, action)
				time.Sleep(4 * time.Second)
			}
			sim.endFaults()
			time.Sleep(4 * time.Minute) // until the planners have reached the desired state
			fault = sim.verify()
			cancel()
			sim.group.Wait()
			time.Sleep(2 * testLoadTime) // until the engines' timers have fired
		})
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

// applyAction injects a fault or changes the desired version.
func (sim *simulation) applyAction(i, action int) {
	switch action {
	case 0:
		sim.startAgent(i % len(sim.agents))
	case 1:
		sim.mu.Lock()
		sim.versions["b"] = fmt.Sprint(i + 2)
		sim.mu.Unlock()
	case 2:
		sim.store.SetDown(true)
	case 3:
		sim.store.SetDown(false)
	case 4:
		sim.store.SetFault(func(memkv.Operation, string) memkv.Fault { return memkv.LoseAnswer })
	case 5:
		sim.store.SetFault(func(memkv.Operation, string) memkv.Fault { return memkv.Hold })
	case 6:
		sim.store.ReleaseHeld()
		sim.store.SetFault(nil)
	}
}

func (sim *simulation) endFaults() {
	sim.store.SetDown(false)
	sim.store.SetFault(nil)
	sim.store.ReleaseHeld()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faultsEnded = true
}

func (sim *simulation) verify() error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	dataCentres := map[string]bool{}
	for i, e := range sim.engines {
		e.mu.Lock()
		if v, ok := e.models["b"]; ok && v == sim.versions["b"] {
			dataCentres[sim.reports[i].DataCentre] = true
		} else if ok {
			sim.recordViolation("%s still has version %q, not %q", e.vm, v, sim.versions["b"])
		}
		e.mu.Unlock()
	}
	if len(dataCentres) < 2 {
		sim.recordViolation("model b is in %d data centres, not in 2 or more", len(dataCentres))
	}
	if sim.loads > sim.grants {
		sim.recordViolation("engines got %d loads, but the weight store accepted only %d", sim.loads, sim.grants)
	}
	if time.Since(sim.lastLoad) < time.Minute {
		sim.recordViolation("engines get loads although neither the demand nor the versions change")
	}
	return sim.violation
}

// Guards against a refusal that does not say why no confirmation came, or that says
// that a lease has ended although the planner sent something else.
func TestMissingConfirmationIsExplained(t *testing.T) {
	for name, c := range map[string]struct {
		answer *wire.EntryMessage // nil: the planner closes the stream
		want   wire.PlaceStatus
		reason string
	}{
		"closed":          {nil, wire.PlaceStatus_PLACE_STATUS_EXPIRED, "no message"},
		"another message": {&wire.EntryMessage{Body: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{}}}, wire.PlaceStatus_PLACE_STATUS_REFUSED, "EntryMessage_Cancel"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := memkv.New()
			fencingToken, err := store.Put(t.Context(), placement.KeyPrefix+"b", nil, 0, 0)
			is.NoErr(err)
			a := testAgent("vm", store, &checkedEngine{})
			p := newPipe()
			go a.servePlace(context.Background(), p, &wire.PlaceCommand{Kind: wire.PlaceKind_PLACE_KIND_LOAD, Model: "b", Version: "1", FencingToken: fencingToken})
			is.True((<-p.toPlanner).(*wire.AgentMessage).GetPlaceOffer() != nil)
			if c.answer == nil {
				close(p.closed)
			} else {
				p.toAgent <- c.answer
			}
			result := (<-p.toPlanner).(*wire.AgentMessage).GetPlaceResult()
			is.Equal(result.GetStatus(), c.want)
			is.True(strings.Contains(result.GetMessage(), c.reason))
		})
	}
}

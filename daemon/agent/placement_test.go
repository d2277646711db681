package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
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

// pipe is a placeStream in memory.
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

// orderEngine ignores fencing tokens. check sees every order.
type orderEngine struct {
	backend.Engine
	vm    string
	check func(vm string, o backend.Order)

	mu     sync.Mutex
	models map[string]string
}

func (f *orderEngine) Info(context.Context) (backend.EngineInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info := backend.EngineInfo{PrefillTokensPerSecond: 1000}
	for m := range f.models {
		info.Models = append(info.Models, m)
	}
	slices.Sort(info.Models)
	return info, nil
}

func (f *orderEngine) Order(_ context.Context, o backend.Order) error {
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
	a := &Agent{settings: &settings.Settings{VM: vm}, log: log, engine: engine, placements: newPlacements(),
		member: &member.Member{KV: kv, Node: link.NewNode(link.Config{Log: log})}}
	info, _ := engine.Info(context.Background())
	a.info.Store(&info)
	return a
}

// command proposes a load with a token and confirms it after a delay. It
// returns the status of the result.
func command(a *Agent, token uint64, remaining, delay time.Duration) wire.PlaceStatus {
	p := newPipe()
	go a.servePlace(context.Background(), p, &wire.PlaceCommand{Kind: wire.PlaceKind_PLACE_KIND_LOAD, Model: "b", Version: "1", FencingToken: token})
	m := (<-p.toPlanner).(*wire.AgentMessage)
	if m.GetPlaceOffer() == nil {
		return m.GetPlaceResult().Status
	}
	time.Sleep(delay)
	p.toAgent <- &wire.EntryMessage{Body: &wire.EntryMessage_Place{Place: &wire.PlaceConfirm{RemainingMs: uint32(remaining.Milliseconds())}}}
	return (<-p.toPlanner).(*wire.AgentMessage).GetPlaceResult().Status
}

// Guards against commands that an agent must refuse, each by one check: the
// token in the store, the highest token seen, the time since the offer, the
// drain, the outage of the store.
func TestPlaceRefusals(t *testing.T) {
	cases := []struct {
		name string
		act  func(*Agent, *memkv.Store, uint64) wire.PlaceStatus
		want wire.PlaceStatus
	}{
		{"the holder's command", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			return command(a, token, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_DONE},
		{"an old token after a restart", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			return command(a, token-1, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_FENCED},
		{"no lease", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			_ = s.Delete(context.Background(), leaseKeyPrefix+"b", token)
			return command(a, token, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_FENCED},
		{"a late confirmation", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			return command(a, token, time.Second, 2*time.Second)
		}, wire.PlaceStatus_PLACE_STATUS_EXPIRED},
		{"a newer token between offer and confirmation", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			go func() {
				time.Sleep(time.Second)
				next, _ := s.Put(context.Background(), leaseKeyPrefix+"b", nil, token, 0)
				command(a, next, time.Minute, 0)
			}()
			return command(a, token, time.Minute, 2*time.Second)
		}, wire.PlaceStatus_PLACE_STATUS_FENCED},
		{"a drain", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			a.draining.Store(true)
			return command(a, token, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_DRAINING},
		{"a drain after the offer", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			time.AfterFunc(time.Second, func() { a.draining.Store(true) })
			return command(a, token, time.Minute, 2*time.Second)
		}, wire.PlaceStatus_PLACE_STATUS_DRAINING},
		{"the store is down", func(a *Agent, s *memkv.Store, token uint64) wire.PlaceStatus {
			s.SetDown(true)
			return command(a, token, time.Second, 0)
		}, wire.PlaceStatus_PLACE_STATUS_STORE_UNAVAILABLE},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				_, err := store.Put(t.Context(), "other", nil, 0, 0)
				is.NoErr(err)
				token, err := store.Put(t.Context(), leaseKeyPrefix+"b", nil, 0, 0)
				is.NoErr(err)
				orders := 0
				engine := &orderEngine{vm: "vm-1", models: map[string]string{"a": ""}, check: func(string, backend.Order) { orders++ }}
				status := tc.act(testAgent("vm-1", store, engine), store, token)
				is.Equal(status, tc.want)
				if status != wire.PlaceStatus_PLACE_STATUS_DONE && tc.name != "a newer token between offer and confirmation" {
					is.Equal(orders, 0)
				}
				time.Sleep(testLoadTime)
			})
		})
	}
}

// world is a fleet of planners and agents over one store on virtual time.
type world struct {
	store  *memkv.Store
	ctx    context.Context
	group  sync.WaitGroup
	random *rand.Rand

	mu       sync.Mutex
	calm     bool // no more pauses
	agents   []*Agent
	stops    []context.CancelFunc
	engines  []*orderEngine
	reports  []place.Engine
	versions map[string]string
	highest  map[string]uint64 // token by VM and model
	grants   int
	loads    int
	lastLoad time.Time
	fault    error
}

// pause stops a process: usually for a moment, sometimes past its lease.
func (w *world) pause() {
	w.mu.Lock()
	d := time.Duration(w.random.IntN(50)) * time.Millisecond
	switch w.random.IntN(8) {
	case 0:
		d = time.Duration(w.random.Int64N(int64(3 * testLease)))
	case 1, 2:
		d = time.Duration(w.random.Int64N(int64(testLease)))
	}
	if w.calm {
		d = time.Millisecond
	}
	w.mu.Unlock()
	time.Sleep(d)
}

func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

// check judges an order that reached an engine.
func (w *world) check(vm string, o backend.Order) {
	present, err := w.store.Get(context.Background(), leaseKeyPrefix+o.Model)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && present.Revision != o.Fencing {
		w.fail("%s got an order for %s with token %d, the lease key has %d", vm, o.Model, o.Fencing, present.Revision)
	}
	key := vm + " " + o.Model
	if o.Fencing < w.highest[key] {
		w.fail("%s got an order for %s with token %d after %d", vm, o.Model, o.Fencing, w.highest[key])
	}
	w.highest[key] = o.Fencing
	if o.Kind == "load" {
		w.loads++
		w.lastLoad = time.Now()
	}
}

// Reserve implements cloud.WeightStore with a free slot every other call.
func (w *world) Reserve(context.Context, string, string) error {
	w.pause()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.IntN(2) == 0 && !w.calm {
		return &cloud.RateLimitedError{RetryAfter: time.Second}
	}
	w.grants++
	return nil
}

// pausingKV pauses its caller after each call that planners and agents make.
type pausingKV struct {
	cloud.KV
	world *world
}

func (k pausingKV) Get(ctx context.Context, key string) (cloud.Entry, error) {
	defer k.world.pause()
	return k.KV.Get(ctx, key)
}

func (k pausingKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	defer k.world.pause()
	return k.KV.Put(ctx, key, value, expected, lease)
}

func (k pausingKV) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	defer k.world.pause()
	return k.KV.Grant(ctx, ttl)
}

func (k pausingKV) Renew(ctx context.Context, id cloud.LeaseID) error {
	defer k.world.pause()
	return k.KV.Renew(ctx, id)
}

// View implements placement.Fleet with the latest reports.
func (w *world) View(time.Time) (place.View, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := place.View{Demand: map[string]place.Demand{"b": {Requests: 1}}, Engines: slices.Clone(w.reports)}
	for _, m := range []string{"a", "b"} {
		v.Models = append(v.Models, place.Model{Name: m, Version: w.versions[m], Allowed: true})
	}
	return v, true
}

// Send implements placement.Fleet over a pipe, with pauses of the planner
// before the command and between its lease check and the confirmation.
func (w *world) Send(ctx context.Context, c place.Command, token uint64, confirm func(context.Context) (time.Duration, error)) error {
	w.pause()
	w.mu.Lock()
	a := w.agents[slices.IndexFunc(w.reports, func(e place.Engine) bool { return e.VM == c.VM })]
	w.mu.Unlock()
	kind := wire.PlaceKind_PLACE_KIND_LOAD
	if c.Kind == place.Unload {
		kind = wire.PlaceKind_PLACE_KIND_UNLOAD
	}
	p := newPipe()
	defer close(p.closed)
	w.group.Go(func() {
		a.servePlace(w.ctx, p, &wire.PlaceCommand{Kind: kind, Model: c.Model, Version: c.Version, FencingToken: token})
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
	w.pause()
	p.toAgent <- &wire.EntryMessage{Body: &wire.EntryMessage_Place{Place: &wire.PlaceConfirm{RemainingMs: uint32(max(remaining.Milliseconds(), 0))}}}
	m, err = answer()
	if err != nil || m.GetPlaceResult().GetStatus() != wire.PlaceStatus_PLACE_STATUS_DONE {
		return errors.Join(err, &placement.StatusError{VM: c.VM, Status: m.GetPlaceResult().GetStatus()})
	}
	return nil
}

// startAgent starts the agent of an engine, again after an earlier one.
func (w *world) startAgent(i int) {
	a := testAgent(w.engines[i].vm, pausingKV{w.store, w}, w.engines[i])
	ctx, stop := context.WithCancel(w.ctx)
	w.mu.Lock()
	if w.stops[i] != nil {
		w.stops[i]()
		w.agents[i].draining.Store(true) // a killed process sends nothing more
	}
	w.agents[i], w.stops[i] = a, stop
	w.mu.Unlock()
	w.group.Go(func() { _ = a.followModels(ctx) })
}

// report refreshes the reports of the agents once a second.
func (w *world) report() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		for i, a := range w.agents {
			w.reports[i].Placed = nil
			for _, p := range a.placed() {
				w.reports[i].Placed = append(w.reports[i].Placed, place.Placed{Name: p.Name, Version: p.Version, Loading: p.Loading})
			}
			for _, m := range a.info.Load().Models {
				if !slices.ContainsFunc(w.reports[i].Placed, func(p place.Placed) bool { return p.Name == m }) {
					w.reports[i].Placed = append(w.reports[i].Placed, place.Placed{Name: m})
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func newWorld(ctx context.Context, seed uint64) *world {
	w := &world{store: memkv.New(), ctx: ctx, random: rand.New(rand.NewPCG(seed, seed)), versions: map[string]string{"b": "1"}, highest: map[string]uint64{}}
	const engines, planners = 4, 3
	w.agents, w.stops = make([]*Agent, engines), make([]context.CancelFunc, engines)
	for i := range engines {
		vm := fmt.Sprintf("vm-%d", i)
		w.engines = append(w.engines, &orderEngine{vm: vm, models: map[string]string{"a": ""}, check: w.check})
		w.reports = append(w.reports, place.Engine{VM: vm, DataCentre: fmt.Sprintf("dc-%d", i%2), PrefillTokensPerSecond: 1000})
		w.startAgent(i)
	}
	w.group.Go(w.report)
	for i := range planners {
		p := placement.New(placement.Config{Name: fmt.Sprintf("planner-%d", i), KV: pausingKV{w.store, w}, Weights: w, Fleet: w,
			Log: slog.New(slog.DiscardHandler), Lease: testLease, Interval: time.Second})
		w.group.Go(func() { _ = p.Run(w.ctx) })
	}
	return w
}

// Guards against orders of planners that have lost their lease, on engines
// that ignore fencing tokens: three planners race, pause at any step, answers
// of the store are lost, writes are held back, the store fails and agents are
// restarted. After the faults, model b must be on two engines in different
// data centres in its latest version, and no load may be repeated.
func TestPlacementProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := rapid.SliceOfN(rapid.IntRange(0, 6), 5, 25).Draw(rt, "actions")
		var fault error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newWorld(ctx, seed)
			for i, action := range actions {
				w.act(i, action)
				time.Sleep(4 * time.Second)
			}
			w.heal()
			time.Sleep(4 * time.Minute)
			fault = w.result()
			cancel()
			w.group.Wait()
			time.Sleep(2 * testLoadTime)
		})
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

// act injects a fault or changes the desired version.
func (w *world) act(i, action int) {
	switch action {
	case 0:
		w.startAgent(i % len(w.agents))
	case 1:
		w.mu.Lock()
		w.versions["b"] = fmt.Sprint(i + 2)
		w.mu.Unlock()
	case 2:
		w.store.SetDown(true)
	case 3:
		w.store.SetDown(false)
	case 4:
		w.store.SetFault(func(string) memkv.Fault { return memkv.LoseAnswer })
	case 5:
		w.store.SetFault(func(string) memkv.Fault { return memkv.Hold })
	case 6:
		w.store.ReleaseHeld()
		w.store.SetFault(nil)
	}
}

func (w *world) heal() {
	w.store.SetDown(false)
	w.store.SetFault(nil)
	w.store.ReleaseHeld()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calm = true
}

func (w *world) result() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	sites := map[string]bool{}
	for i, e := range w.engines {
		e.mu.Lock()
		if v, ok := e.models["b"]; ok && v == w.versions["b"] {
			sites[w.reports[i].DataCentre] = true
		} else if ok {
			w.fail("%s still has version %q, not %q", e.vm, v, w.versions["b"])
		}
		e.mu.Unlock()
	}
	if len(sites) < 2 {
		w.fail("model b is in %d data centres, not in 2", len(sites))
	}
	if w.loads > w.grants {
		w.fail("%d loads with %d slots of the weight store", w.loads, w.grants)
	}
	if time.Since(w.lastLoad) < time.Minute {
		w.fail("loads go on although nothing changes")
	}
	return w.fault
}

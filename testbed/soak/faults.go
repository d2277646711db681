package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// Times of the faults.
const (
	shortestFault  = 200 * time.Millisecond
	longestFault   = 4 * time.Second
	longestRest    = 1500 * time.Millisecond
	replaceTimeout = 20 * time.Second
)

type object = map[string]any

// fault is one kind of fault. begin injects it and returns how to end it.
type fault struct {
	name  string
	begin func(r *run, random *rand.Rand) (end func() error, err error)
}

// inject injects faults one after the other until ctx ends.
func (r *run) inject(ctx context.Context, faults []fault, random *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		duration := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		rest := time.Duration(random.Int64N(int64(longestRest)))
		fmt.Fprintf(r.options.Out, "%8v %s for %v\n", time.Since(r.started).Round(time.Millisecond), f.name, duration.Round(time.Millisecond))
		end, err := f.begin(r, random)
		if err == nil {
			wait(ctx, duration)
			err = end()
		}
		if err != nil {
			r.violate(&history.Violation{Text: fmt.Sprintf("fault %q could not be injected: %v", f.name, err)})
		}
		r.mu.Lock()
		r.report.Faults[f.name]++
		r.mu.Unlock()
		wait(ctx, rest)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// endAll ends all faults of the stand-ins and proxies.
func endAll(f *fleet.Fleet) error {
	if err := healStore(f); err != nil {
		return err
	}
	for _, service := range f.Orders {
		if err := f.Faults(service, http.MethodDelete, "/faults", nil); err != nil {
			return err
		}
	}
	for _, engine := range f.Engines {
		if err := f.Faults(engine, http.MethodPost, "/faults", object{"hang": false, "fail_starts": false, "slow_factor": 1}); err != nil {
			return err
		}
	}
	return f.HealAll()
}

func healStore(f *fleet.Fleet) error {
	if err := f.Faults(f.Platform, http.MethodDelete, "/faults", nil); err != nil {
		return err
	}
	return f.Faults(f.Platform, http.MethodPost, "/faults/release", nil)
}

// connectionFaults are those of the network and of the stand-ins.
var connectionFaults = []fault{
	{"store answers lost", store(object{"rules": []object{{"fault": "lose_answer", "operation": "put", "probability": 0.5}}})},
	{"store requests lost", store(object{"rules": []object{{"fault": "lose_request", "probability": 0.5}}})},
	{"store writes held", store(object{"rules": []object{{"fault": "hold", "operation": "put", "probability": 0.4}}})},
	{"store refuses", store(object{"outage": "refuse"})},
	{"store gone", store(object{"outage": "lose_request"})},
	{"store slow", store(object{"latency_ms": 500})},
	{"service broken before and after the run", service(object{"latency_ms": 20, "rules": []object{
		{"fault": "lose_request", "probability": 0.3}, {"fault": "lose_answer", "probability": 0.3}}})},
	{"service slow", service(object{"latency_ms": 700})},
	{"engine hangs", engine(object{"hang": true}, object{"hang": false})},
	{"engine refuses", engine(object{"fail_starts": true}, object{"fail_starts": false})},
	{"engine slow", engine(object{"slow_factor": 10}, object{"slow_factor": 1})},
	{"engine streams break", engine(object{"break_streams": true}, object{})},
	{"agent cut", proxy(control, (*fleet.Proxy).Cut)},
	{"all agents cut", allAgents((*fleet.Proxy).Cut)},
	{"to an agent dropped", proxy(control, func(p *fleet.Proxy) error { return p.Drop(fleet.Up) })},
	{"from an agent dropped", proxy(control, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
	{"to an agent slow", proxy(control, func(p *fleet.Proxy) error { return p.Slow(fleet.Up, 20) })},
	{"from an agent slow", proxy(control, func(p *fleet.Proxy) error { return p.Slow(fleet.Down, 2) })},
	{"agent far away", proxy(control, func(p *fleet.Proxy) error { return p.Delay(150 * time.Millisecond) })},
	{"agent connections reset", proxy(control, (*fleet.Proxy).Reset)},
	{"backend server cut", proxy(backend, (*fleet.Proxy).Cut)},
	{"backend server connections break", proxy(backend, (*fleet.Proxy).Break)},
	{"from a backend server dropped", proxy(backend, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
	{"to a backend server slow", proxy(backend, func(p *fleet.Proxy) error { return p.Slow(fleet.Up, 50) })},
	{"agent cut from the store", proxy(platform, (*fleet.Proxy).Cut)},
	{"from the store to an agent dropped", proxy(platform, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
	{"entry cut from the store", entryProxy(platform, (*fleet.Proxy).Cut)},
	{"entry cut from its peers", entryProxy(control, (*fleet.Proxy).Cut)},
}

// processFaults are those of the product's processes.
var processFaults = []fault{
	{"agent killed", func(r *run, random *rand.Rand) (func() error, error) {
		d := anyAgent(r, random)
		d.KillNow()
		return func() error { return r.fleet.StartDaemon(d) }, nil
	}},
	{"agent paused", func(r *run, random *rand.Rand) (func() error, error) {
		d := anyAgent(r, random)
		return func() error { return d.Signal(syscall.SIGCONT) }, d.Signal(syscall.SIGSTOP)
	}},
	{"agent stopped gracefully", func(r *run, random *rand.Rand) (func() error, error) {
		d := anyAgent(r, random)
		return func() error { return r.fleet.StartDaemon(d) }, d.Terminate()
	}},
	{"entry killed", func(r *run, random *rand.Rand) (func() error, error) {
		return r.replaceEntry(random, func(d *fleet.Daemon) error {
			d.KillNow()
			return nil
		})
	}},
	{"agent marked as leaving", func(r *run, random *rand.Rand) (func() error, error) {
		d := anyAgent(r, random)
		mark := func(value any) error { return r.mark("mark/"+d.Settings.VM, value) }
		return func() error { return mark(nil) }, mark(object{"state": "leaving"})
	}},
}

func anyAgent(r *run, random *rand.Rand) *fleet.Daemon {
	return r.fleet.Agents[random.IntN(len(r.fleet.Agents))]
}

// replaceEntry ends an entry; ending the fault starts it again.
func (r *run) replaceEntry(random *rand.Rand, stop func(*fleet.Daemon) error) (func() error, error) {
	i := random.IntN(len(r.fleet.Entries))
	d := r.fleet.Entries[i]
	r.down[i].Add(1)
	return func() error {
		if err := r.fleet.StartDaemon(d); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
		defer cancel()
		// Readiness also needs a store or a peer; the other faults end by
		// themselves.
		err := r.fleet.AwaitReady(ctx, d)
		r.down[i].Add(1)
		return err
	}, stop(d)
}

// mark sets or removes a mark. The store may refuse edits at the time; a mark
// that could not be set is no fault, one that could not be removed is tried
// again.
func (r *run) mark(key string, value any) error {
	var last error
	for deadline := time.Now().Add(replaceTimeout); time.Now().Before(deadline); time.Sleep(shortestFault) {
		d := r.fleet.Entries[0]
		revision, err := r.fleet.Item(d, key)
		if err == nil && revision == 0 && value == nil {
			return nil
		}
		if err == nil {
			_, err = r.fleet.Edit(d, fleet.Change{Key: key, Value: value, ExpectedRevision: revision})
		}
		if err == nil || value != nil {
			return nil
		}
		last = err
	}
	return last
}

func store(plan object) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		plan["seed"] = random.Uint64() >> 1
		return func() error { return healStore(r.fleet) }, r.fleet.Faults(r.fleet.Platform, http.MethodPut, "/faults", plan)
	}
}

func service(plan object) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := r.fleet.Orders[random.IntN(len(r.fleet.Orders))]
		plan["seed"] = random.Uint64() >> 1
		return func() error { return r.fleet.Faults(p, http.MethodDelete, "/faults", nil) },
			r.fleet.Faults(p, http.MethodPut, "/faults", plan)
	}
}

func engine(on, off object) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := r.fleet.Engines[random.IntN(len(r.fleet.Engines))]
		return func() error { return r.fleet.Faults(p, http.MethodPost, "/faults", off) },
			r.fleet.Faults(p, http.MethodPost, "/faults", on)
	}
}

func control(d *fleet.Daemon) *fleet.Proxy  { return d.Control }
func backend(d *fleet.Daemon) *fleet.Proxy  { return d.Backend }
func platform(d *fleet.Daemon) *fleet.Proxy { return d.Store }

func proxy(link func(*fleet.Daemon) *fleet.Proxy, act func(*fleet.Proxy) error) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := link(anyAgent(r, random))
		return p.Heal, act(p)
	}
}

func entryProxy(link func(*fleet.Daemon) *fleet.Proxy, act func(*fleet.Proxy) error) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := link(r.fleet.Entries[random.IntN(len(r.fleet.Entries))])
		return p.Heal, act(p)
	}
}

func allAgents(act func(*fleet.Proxy) error) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		for _, d := range r.fleet.Agents {
			if err := act(d.Control); err != nil {
				return nil, err
			}
		}
		return r.fleet.HealAll, nil
	}
}

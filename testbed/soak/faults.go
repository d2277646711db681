package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// Durations of the faults, and the longest interval from the end of a fault to the
// next one. endTimeout bounds the end of a fault: the wait for a restarted entry, or
// the retries to remove a mark, which have an interval of minFaultDuration.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultInterval = 1500 * time.Millisecond
	endTimeout       = 20 * time.Second
)

// jsonObject is a JSON body for the administration API or a stand-in's faults.
type jsonObject = map[string]any

// fault is a fault with its name in the report. begin injects it and returns the
// function that ends it.
type fault struct {
	name  string
	begin func(r *run, random *rand.Rand) (end func() error, err error)
}

// inject injects random faults one after the other until ctx ends.
func (r *run) inject(ctx context.Context, faults []fault, random *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		interval := time.Duration(random.Int64N(int64(maxFaultInterval)))
		fmt.Fprintf(r.options.Out, "%8v %s, to be ended after %v\n", time.Since(r.started).Round(time.Millisecond), f.name, duration.Round(time.Millisecond))
		end, err := f.begin(r, random)
		if err == nil {
			wait(ctx, duration)
			err = end()
		}
		if err != nil {
			r.addViolations(&history.Violation{Text: fmt.Sprintf("begin or end fault %q: %v", f.name, err)})
		}
		r.mu.Lock()
		r.report.Faults[f.name]++
		r.mu.Unlock()
		wait(ctx, interval)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// endAllFaults ends the faults of all stand-ins and proxies.
func endAllFaults(f *fleet.Fleet) error {
	if err := endStoreFaults(f); err != nil {
		return err
	}
	for _, service := range f.Orders {
		if err := f.Faults(service, http.MethodDelete, "/faults", nil); err != nil {
			return err
		}
	}
	for _, engine := range f.Engines {
		if err := f.Faults(engine, http.MethodPost, "/faults", jsonObject{"hang": false, "fail_starts": false, "slow_factor": 1}); err != nil {
			return err
		}
	}
	return f.EndProxyFaults()
}

func endStoreFaults(f *fleet.Fleet) error {
	if err := f.Faults(f.Platform, http.MethodDelete, "/faults", nil); err != nil {
		return err
	}
	return f.Faults(f.Platform, http.MethodPost, "/faults/release", nil) // lets the held writes take effect
}

// environmentFaults are faults of the connections and of the stand-ins.
var environmentFaults = []fault{
	{"store answers lost", storeFault(jsonObject{"rules": []jsonObject{{"fault": "lose_answer", "operation": "put", "probability": 0.5}}})},
	{"store requests lost", storeFault(jsonObject{"rules": []jsonObject{{"fault": "lose_request", "probability": 0.5}}})},
	{"store writes held", storeFault(jsonObject{"rules": []jsonObject{{"fault": "hold", "operation": "put", "probability": 0.4}}})},
	{"store refuses", storeFault(jsonObject{"outage": "refuse"})},
	{"store unresponsive", storeFault(jsonObject{"outage": "lose_request"})},
	{"store slow", storeFault(jsonObject{"latency_ms": 500})},
	{"service connection broken before and after the run", serviceFault(jsonObject{"latency_ms": 20, "rules": []jsonObject{
		{"fault": "lose_request", "probability": 0.3}, {"fault": "lose_answer", "probability": 0.3}}})},
	{"service answers cut, without a length or sent twice", serviceFault(jsonObject{"rules": []jsonObject{
		{"fault": "cut_answer", "probability": 0.3}, {"fault": "unframed", "probability": 0.5}, {"fault": "second_answer", "probability": 0.5}}})},
	{"service slow", serviceFault(jsonObject{"latency_ms": 700})},
	{"engine hangs", engineFault(jsonObject{"hang": true}, jsonObject{"hang": false})},
	{"engine refuses", engineFault(jsonObject{"fail_starts": true}, jsonObject{"fail_starts": false})},
	{"engine slow", engineFault(jsonObject{"slow_factor": 10}, jsonObject{"slow_factor": 1})},
	{"engine streams break", engineFault(jsonObject{"break_streams": true}, jsonObject{})}, // breaks the streams once, so there is nothing to end
	{"agent cut", agentProxyFault(controlProxy, (*fleet.Proxy).Cut)},
	{"all agents cut", allAgentsFault((*fleet.Proxy).Cut)},
	{"data to an agent dropped", agentProxyFault(controlProxy, func(p *fleet.Proxy) error { return p.Drop(fleet.Up) })},
	{"data from an agent dropped", agentProxyFault(controlProxy, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
	{"data to an agent slow", agentProxyFault(controlProxy, func(p *fleet.Proxy) error { return p.Slow(fleet.Up, 20) })},
	{"data from an agent slow", agentProxyFault(controlProxy, func(p *fleet.Proxy) error { return p.Slow(fleet.Down, 2) })},
	{"agent with high latency", agentProxyFault(controlProxy, func(p *fleet.Proxy) error { return p.Delay(150 * time.Millisecond) })},
	{"agent connections reset", agentProxyFault(controlProxy, (*fleet.Proxy).Reset)},
	{"backend server cut", agentProxyFault(backendProxy, (*fleet.Proxy).Cut)},
	{"backend server connections break", agentProxyFault(backendProxy, (*fleet.Proxy).Break)},
	{"data from a backend server dropped", agentProxyFault(backendProxy, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
	{"data to a backend server slow", agentProxyFault(backendProxy, func(p *fleet.Proxy) error { return p.Slow(fleet.Up, 50) })},
	{"agent cut from the store", agentProxyFault(storeProxy, (*fleet.Proxy).Cut)},
	{"data from the store to an agent dropped", agentProxyFault(storeProxy, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
	{"entry cut from the store", entryProxyFault(storeProxy, (*fleet.Proxy).Cut)},
	{"entry cut from its peers", entryProxyFault(controlProxy, (*fleet.Proxy).Cut)},
}

// daemonFaults are faults of agents and entries: kills, pauses, graceful stops, and
// marks as leaving.
var daemonFaults = []fault{
	{"agent killed", func(r *run, random *rand.Rand) (func() error, error) {
		d := randomAgent(r, random)
		d.KillNow()
		return func() error { return r.fleet.StartDaemon(d) }, nil
	}},
	{"agent paused", func(r *run, random *rand.Rand) (func() error, error) {
		d := randomAgent(r, random)
		return func() error { return d.Signal(syscall.SIGCONT) }, d.Signal(syscall.SIGSTOP)
	}},
	{"agent stopped gracefully", func(r *run, random *rand.Rand) (func() error, error) {
		d := randomAgent(r, random)
		return func() error { return r.fleet.StartDaemon(d) }, d.Terminate()
	}},
	{"entry killed", func(r *run, random *rand.Rand) (func() error, error) {
		return r.replaceEntry(random, func(d *fleet.Daemon) error {
			d.KillNow()
			return nil
		})
	}},
	{"agent marked as leaving", func(r *run, random *rand.Rand) (func() error, error) {
		d := randomAgent(r, random)
		setMark := func(value any) error { return r.setMark("mark/"+d.Settings.VM, value) }
		return func() error { return setMark(nil) }, setMark(jsonObject{"state": "leaving"})
	}},
}

func randomAgent(r *run, random *rand.Rand) *fleet.Daemon {
	return r.fleet.Agents[random.IntN(len(r.fleet.Agents))]
}

// replaceEntry stops a random entry with stop. It returns a function that starts
// the entry again and waits until it is ready.
func (r *run) replaceEntry(random *rand.Rand, stop func(*fleet.Daemon) error) (func() error, error) {
	i := random.IntN(len(r.fleet.Entries))
	d := r.fleet.Entries[i]
	r.replaceSequence[i].Add(1)
	return func() error {
		if err := r.fleet.StartDaemon(d); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		// The entry becomes ready only when it reaches the store or a peer.
		// Other faults may prevent that for a time, but they end on their own.
		err := r.fleet.AwaitReady(ctx, d)
		r.replaceSequence[i].Add(1)
		return err
	}, stop(d)
}

// setMark sets a mark, or removes it if value is nil. The store may refuse edits
// because of another fault: setting a mark is tried once and its error ignored, the
// removal of a mark is retried.
func (r *run) setMark(key string, value any) error {
	var last error
	for deadline := time.Now().Add(endTimeout); time.Now().Before(deadline); time.Sleep(minFaultDuration) {
		d := r.fleet.Entries[0]
		revision, err := r.fleet.ItemRevision(d, key)
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

// The following functions return the begin function of a fault of the store, or of
// a random service, engine, agent or entry.

// withSeed returns a copy of a fault plan with a random seed. The plan itself belongs
// to all runs of the process.
func withSeed(faultsBody jsonObject, random *rand.Rand) jsonObject {
	out := maps.Clone(faultsBody)
	out["seed"] = random.Uint64()
	return out
}

func storeFault(faultsBody jsonObject) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		return func() error { return endStoreFaults(r.fleet) }, r.fleet.Faults(r.fleet.Platform, http.MethodPut, "/faults", withSeed(faultsBody, random))
	}
}

func serviceFault(faultsBody jsonObject) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := r.fleet.Orders[random.IntN(len(r.fleet.Orders))]
		return func() error { return r.fleet.Faults(p, http.MethodDelete, "/faults", nil) },
			r.fleet.Faults(p, http.MethodPut, "/faults", withSeed(faultsBody, random))
	}
}

func engineFault(on, off jsonObject) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := r.fleet.Engines[random.IntN(len(r.fleet.Engines))]
		return func() error { return r.fleet.Faults(p, http.MethodPost, "/faults", off) },
			r.fleet.Faults(p, http.MethodPost, "/faults", on)
	}
}

func controlProxy(d *fleet.Daemon) *fleet.Proxy { return d.Control }
func backendProxy(d *fleet.Daemon) *fleet.Proxy { return d.Backend }
func storeProxy(d *fleet.Daemon) *fleet.Proxy   { return d.Store }

func agentProxyFault(proxyOf func(*fleet.Daemon) *fleet.Proxy, act func(*fleet.Proxy) error) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := proxyOf(randomAgent(r, random))
		return p.EndFaults, act(p)
	}
}

func entryProxyFault(proxyOf func(*fleet.Daemon) *fleet.Proxy, act func(*fleet.Proxy) error) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		p := proxyOf(r.fleet.Entries[random.IntN(len(r.fleet.Entries))])
		return p.EndFaults, act(p)
	}
}

func allAgentsFault(act func(*fleet.Proxy) error) func(*run, *rand.Rand) (func() error, error) {
	return func(r *run, random *rand.Rand) (func() error, error) {
		for _, d := range r.fleet.Agents {
			if err := act(d.Control); err != nil {
				return nil, err
			}
		}
		return r.fleet.EndProxyFaults, nil
	}
}

package gatewaysoak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/testbed/fleet"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults; it is
	// shorter than most faults, so that they overlap.
	meanFaultInterval = 350 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 2 * time.Second
)

// fault is a fault with its name in the report. inject is called with a
// random number that selects the gateway or server, and with the duration of the
// fault. It returns when the fault has ended.
type fault struct {
	name string
	// delaysDrain is set for faults of the store or of a gateway: they may delay
	// when a gateway learns that a server drains.
	delaysDrain bool
	inject      func(r *run, pick int, d time.Duration) error
}

var faults = []fault{
	{"gateway killed", true, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).restart(syscall.SIGKILL) }},
	{"gateway stopped", true, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).restart(syscall.SIGTERM) }},
	{"gateway paused", true, func(r *run, pick int, d time.Duration) error { return r.gatewayAt(pick).pause(d) }},
	{"gateway reloads", false, func(r *run, pick int, _ time.Duration) error {
		g := r.gatewayAt(pick)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.process.Load().Signal(syscall.SIGHUP)
	}},
	{"store busy", true, storeFault(fleetsim.Busy)},
	{"store resets", true, storeFault(fleetsim.Reset)},
	{"store unresponsive", true, storeFault(fleetsim.Unresponsive)},
	{"store forgets calls", true, storeFault(fleetsim.Forgetful)},
	{"store compacts its history", true, func(r *run, _ int, _ time.Duration) error {
		r.store.Compact()
		return nil
	}},
	{"store connection cut", true, proxyFault(func(p *fleet.Proxy) error { return p.Cut() }, true)},
	{"store responses dropped", true, proxyFault(func(p *fleet.Proxy) error { return p.Drop(fleet.Down) }, true)},
	{"server connection cut", false, proxyFault(func(p *fleet.Proxy) error { return p.Cut() }, false)},
	{"server requests dropped", false, proxyFault(func(p *fleet.Proxy) error { return p.Drop(fleet.Up) }, false)},
	{"server responses dropped", false, proxyFault(func(p *fleet.Proxy) error { return p.Drop(fleet.Down) }, false)},
	{"server connection reset", false, proxyFault(func(p *fleet.Proxy) error { return p.Reset() }, false)},
	{"server connection slow", false, proxyFault(func(p *fleet.Proxy) error { return p.Delay(200 * time.Millisecond) }, false)},
	{"server crashes", false, func(r *run, pick int, d time.Duration) error { return r.replaceServer(pick, d, false) }},
	{"server drains", false, func(r *run, pick int, d time.Duration) error { return r.replaceServer(pick, d, true) }},
	{"configuration changes", false, func(r *run, _ int, _ time.Duration) error { return r.configure() }},
	{"servers crash on a prompt part", false, func(r *run, pick int, d time.Duration) error { return r.crashOnPart(pick, d) }},
}

func (r *run) gatewayAt(pick int) *gateway { return r.gateways[pick%len(r.gateways)] }

func storeFault(m fleetsim.Mode) func(*run, int, time.Duration) error {
	return func(r *run, _ int, d time.Duration) error {
		r.store.SetMode(m)
		time.Sleep(d)
		r.store.SetMode(fleetsim.Serving)
		return nil
	}
}

// proxyFault applies a fault to the proxy between a gateway and the store if store
// is set, otherwise to the proxy between the gateways and a server, and ends it.
func proxyFault(apply func(*fleet.Proxy) error, store bool) func(*run, int, time.Duration) error {
	return func(r *run, pick int, d time.Duration) error {
		g := r.gatewayAt(pick)
		proxy := g.store
		if store {
			g.storeMu.Lock()
			defer g.storeMu.Unlock()
		} else {
			b := r.servers[pick%len(r.servers)]
			b.mu.Lock()
			defer b.mu.Unlock()
			proxy = b.proxy
		}
		if err := apply(proxy); err != nil {
			return err
		}
		time.Sleep(d)
		return proxy.EndFaults()
	}
}

// replaceServer ends a server and starts it again under a new id. With drain the
// server is registered as draining before it ends, otherwise it crashes without
// notice.
func (r *run) replaceServer(pick int, d time.Duration, drain bool) error {
	b := r.servers[pick%len(r.servers)]
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.sim
	if drain {
		if err := r.register(b, fleetsim.Draining); err != nil {
			return err
		}
		r.mu.Lock()
		r.drainAcked[old.ID] = time.Now()
		r.mu.Unlock()
		time.Sleep(drainBound + d)
	}
	old.Crash()
	r.store.Unregister(old)
	time.Sleep(d / 4)
	if err := r.startServer(b); err != nil {
		return err
	}
	return r.register(b, fleetsim.Live)
}

// faultList returns the faults of the run.
func (r *run) faultList() []fault {
	if r.options.Planned {
		return plannedFaults
	}
	return faults
}

// injectFaults starts random faults until ctx ends and waits for all of them.
func (r *run) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	list := r.faultList()
	for ctx.Err() == nil {
		r.mu.Lock()
		f := list[r.random.IntN(len(list))]
		pick := r.random.IntN(1 << 16)
		d := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
		gap := time.Duration(r.random.Int64N(int64(2 * meanFaultInterval)))
		r.report.Faults[f.name]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.options.Out, "%8.3f %s (%d, %v)\n", time.Since(r.started).Seconds(), f.name, pick, d.Round(time.Millisecond))
		group.Go(func() { r.inject(f, pick, d) })
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
}

func (r *run) inject(f fault, pick int, d time.Duration) {
	if f.delaysDrain {
		r.countDrainDelays(1)
	}
	err := f.inject(r, pick, d)
	switch {
	case errors.Is(err, os.ErrProcessDone):
		r.count("process had ended before a fault") // supervise checks how it ended
	case err != nil:
		r.addViolation("inject fault %q: %w", f.name, err)
	}
	if f.delaysDrain {
		r.countDrainDelays(-1)
	}
}

// countDrainDelays adds change to the number of current faults of the store and
// of gateways, and records the time of the change.
func (r *run) countDrainDelays(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainDelayFaults += change
	r.lastDrainDelay = time.Now()
}

// endFaults ends all faults and waits until the gateways are ready.
func (r *run) endFaults(ctx context.Context) {
	r.setFaults(false)
	r.crashing.set("")
	r.store.SetMode(fleetsim.Serving)
	if err := r.fleet.EndProxyFaults(); err != nil {
		r.addViolation("end the faults of the proxies: %w", err)
	}
	if err := r.configure(); err != nil {
		r.addViolation("write the last configuration: %w", err)
	}
	readyCtx, cancel := context.WithTimeout(ctx, 2*settleTime)
	defer cancel()
	for _, g := range r.gateways {
		if err := g.awaitReady(readyCtx); err != nil {
			r.addViolation("after all faults had ended: %w", err)
		}
	}
}

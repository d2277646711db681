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
	// faultGap is the mean time between the starts of two faults, which
	// overlap.
	faultGap = 350 * time.Millisecond
	// longestFault bounds a fault that lasts.
	longestFault = 2 * time.Second
)

// fault is a kind of fault. It is called with its own duration and returns
// when the fault has ended.
type fault struct {
	name string
	// unsound faults concern the store or a gateway.
	unsound bool
	inject  func(r *run, pick int, d time.Duration) error
}

var faults = []fault{
	{"gateway killed", true, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).replace(syscall.SIGKILL) }},
	{"gateway stopped", true, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).replace(syscall.SIGTERM) }},
	{"gateway paused", true, func(r *run, pick int, d time.Duration) error { return r.gatewayAt(pick).pause(d) }},
	{"gateway reloads", false, func(r *run, pick int, _ time.Duration) error {
		g := r.gatewayAt(pick)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.process.Signal(syscall.SIGHUP)
	}},
	{"store busy", true, storeMode(fleetsim.Busy)},
	{"store resets", true, storeMode(fleetsim.Reset)},
	{"store silent", true, storeMode(fleetsim.Silent)},
	{"store forgets its history", true, func(r *run, _ int, _ time.Duration) error {
		r.store.Compact()
		return nil
	}},
	{"way to the store cut", true, proxyFault(func(p *fleet.Proxy) error { return p.Cut() }, true)},
	{"way to the store silent in one direction", true, proxyFault(func(p *fleet.Proxy) error { return p.Drop(fleet.Down) }, true)},
	{"way to a server cut", false, proxyFault(func(p *fleet.Proxy) error { return p.Cut() }, false)},
	{"way to a server silent", false, proxyFault(func(p *fleet.Proxy) error { return p.Drop(fleet.Up) }, false)},
	{"way to a server silent backwards", false, proxyFault(func(p *fleet.Proxy) error { return p.Drop(fleet.Down) }, false)},
	{"way to a server reset", false, proxyFault(func(p *fleet.Proxy) error { return p.Reset() }, false)},
	{"way to a server slow", false, proxyFault(func(p *fleet.Proxy) error { return p.Delay(200 * time.Millisecond) }, false)},
	{"server crashes", false, func(r *run, pick int, d time.Duration) error { return r.replaceServer(pick, d, false) }},
	{"server drains", false, func(r *run, pick int, d time.Duration) error { return r.replaceServer(pick, d, true) }},
	{"configuration changes", false, func(r *run, _ int, _ time.Duration) error { return r.configure() }},
}

func (r *run) gatewayAt(pick int) *gateway { return r.gateways[pick%len(r.gateways)] }

func storeMode(m fleetsim.Mode) func(*run, int, time.Duration) error {
	return func(r *run, _ int, d time.Duration) error {
		r.store.SetMode(m)
		time.Sleep(d)
		r.store.SetMode(fleetsim.Serving)
		return nil
	}
}

// proxyFault applies a fault to the way from a gateway to the store, or to a
// server, and heals it.
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
		return proxy.Heal()
	}
}

// replaceServer ends a server, by a drain that the store hears of or by a
// crash, and starts its successor.
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
	if err := r.startBackend(b); err != nil {
		return err
	}
	return r.register(b, fleetsim.Live)
}

// injectAll starts faults at random until ctx ends and waits for their ends.
func (r *run) injectAll(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		r.mu.Lock()
		f := faults[r.random.IntN(len(faults))]
		pick := r.random.IntN(1 << 16)
		d := time.Duration(r.random.Int64N(int64(longestFault)))
		gap := time.Duration(r.random.Int64N(int64(2 * faultGap)))
		r.report.Faults[f.name]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.options.Out, "%8.3f %s (%d, %v)\n", time.Since(r.begun).Seconds(), f.name, pick, d.Round(time.Millisecond))
		group.Go(func() { r.inject(f, pick, d) })
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
}

func (r *run) inject(f fault, pick int, d time.Duration) {
	if f.unsound {
		r.markUnsound(1)
	}
	err := f.inject(r, pick, d)
	switch {
	case errors.Is(err, os.ErrProcessDone):
		r.count("process had ended before a fault") // supervise judges its end
	case err != nil:
		r.violate("fault %q could not be injected: %w", f.name, err)
	}
	if f.unsound {
		r.markUnsound(-1)
	}
}

// markUnsound counts the faults of the store and of gateways in progress.
func (r *run) markUnsound(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsoundFaults += change
	r.unsound = time.Now()
}

// heal ends all faults and waits until the gateways serve again.
func (r *run) heal(ctx context.Context) {
	r.setFaults(false)
	r.store.SetMode(fleetsim.Serving)
	if err := r.fleet.HealAll(); err != nil {
		r.violate("faults could not be ended: %w", err)
	}
	if err := r.configure(); err != nil {
		r.violate("last configuration: %w", err)
	}
	limit, cancel := context.WithTimeout(ctx, 2*settleTime)
	defer cancel()
	for _, g := range r.gateways {
		if err := g.awaitReady(limit); err != nil {
			r.violate("after all faults had ended: %w", err)
		}
	}
}

package gatewaysoak

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

// plannedFaults are the faults of a run of planned work: what operators and the
// platform do on purpose, in series that overlap. No request may be lost by them.
// Faults that are listed twice are drawn twice as often.
var plannedFaults = []fault{
	{"gateway stopped", true, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).plannedRestart() }},
	{"gateways stopped together", true, func(r *run, pick int, _ time.Duration) error { return r.stopTogether(pick, 0) }},
	{"gateways stopped in a row", true, func(r *run, pick int, d time.Duration) error { return r.stopTogether(pick, d) }},
	{"gateway stopped twice", true, func(r *run, pick int, d time.Duration) error { return r.gatewayAt(pick).stopTwice(d) }},
	{"settings change", false, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).changeSettings(pick) }},
	{"settings change", false, func(r *run, pick int, _ time.Duration) error { return r.gatewayAt(pick).changeSettings(pick) }},
	{"configuration changes", false, func(r *run, pick int, d time.Duration) error { return r.configureSeries(pick, d) }},
	{"configuration changes", false, func(r *run, pick int, d time.Duration) error { return r.configureSeries(pick, d) }},
	{"server drains", false, func(r *run, pick int, d time.Duration) error { return r.replaceServer(pick, d, true) }},
}

// plannedRestart stops the process with SIGTERM and starts it again, unless another
// fault does so already.
func (g *gateway) plannedRestart() error {
	if !g.mu.TryLock() {
		return nil
	}
	defer g.mu.Unlock()
	return g.restartLocked(syscall.SIGTERM)
}

// stopTwice sends a second SIGTERM d after the first one, which another fault may
// have sent. The process may have exited by then.
func (g *gateway) stopTwice(d time.Duration) error {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		time.Sleep(d)
		p := g.process.Load()
		if len(p.terms()) == 0 {
			return
		}
		if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			g.run.addViolation("send SIGTERM again to %s: %w", g.name, err)
		}
	})
	return g.plannedRestart()
}

// stopTogether restarts two gateways or more, up to all of them, with the given time
// between the first and the last SIGTERM.
func (r *run) stopTogether(pick int, span time.Duration) error {
	count := min(2+pick%len(r.gateways), len(r.gateways))
	errs := make([]error, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			time.Sleep(span * time.Duration(i) / time.Duration(count))
			errs[i] = r.gatewayAt(pick + i).plannedRestart()
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// changeSettings replaces the settings file by one with another retry budget and
// sends SIGHUP, also to a process that is stopping.
func (g *gateway) changeSettings(pick int) error {
	if err := g.writeSettings(baseRetryExtra + float64(pick%100)); err != nil {
		return err
	}
	return g.process.Load().Signal(syscall.SIGHUP)
}

// configureSeries writes one to five configurations within a quarter of d.
func (r *run) configureSeries(pick int, d time.Duration) error {
	r.seriesMu.Lock()
	defer r.seriesMu.Unlock()
	count := 1 + pick%5
	for range count {
		if err := r.configure(); err != nil {
			return err
		}
		time.Sleep(d / 4 / time.Duration(count))
	}
	return nil
}

// variation is what planned work changes in a configuration.
type variation struct {
	idleTimeout, headerTimeout, routeTimeout time.Duration
	targets                                  []fleetsim.Target // of the routes without streams; nil for orderService only
	extraRoute                               bool
}

const (
	// minIdleTimeout is long enough that callers can use four fifths of it on a
	// busy machine.
	minIdleTimeout = time.Second
	maxIdleTimeout = 5 * time.Second
	// configurationDelay is the longest time until a gateway uses a configuration.
	configurationDelay = 3 * time.Second
)

// nextVariation returns the variation of the next configuration: none without
// planned work, otherwise a random one.
func (r *run) nextVariation() variation {
	if !r.options.Planned {
		return variation{idleTimeout: fleetsim.DefaultIdleTimeout, headerTimeout: fleetsim.DefaultHeaderTimeout, routeTimeout: routeTimeout}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := variation{idleTimeout: minIdleTimeout + time.Duration(r.random.Int64N(int64(maxIdleTimeout-minIdleTimeout))),
		headerTimeout: 2*time.Second + time.Duration(r.random.Int64N(int64(2*time.Second))),
		routeTimeout:  routeTimeout - time.Duration(r.random.Int64N(int64(2*time.Second))),
		extraRoute:    r.random.IntN(2) == 0,
		targets:       []fleetsim.Target{{Service: orderService, Weight: 1 + r.random.IntN(3)}}}
	if weight := r.random.IntN(3); weight > 0 {
		v.targets = append(v.targets, fleetsim.Target{Service: secondOrderService, Weight: weight})
	}
	r.idleTimeouts = append(r.idleTimeouts, idleTimeoutChange{time.Now(), v.idleTimeout})
	return v
}

// idleTimeoutChange is an idle timeout with the time when it was configured.
type idleTimeoutChange struct {
	at      time.Time
	timeout time.Duration
}

// callerIdleTime returns for how long callers keep an idle connection: four fifths
// of the shortest idle timeout that may be in force at a gateway.
func (r *run) callerIdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	shortest := maxIdleTimeout
	for i := len(r.idleTimeouts) - 1; i >= 0; i-- {
		shortest = min(shortest, r.idleTimeouts[i].timeout)
		if time.Since(r.idleTimeouts[i].at) > configurationDelay {
			break
		}
	}
	return shortest * 4 / 5
}

// Longest times for which servers run requests under planned work. A stopping gateway
// accepts a stream if two latency targets and the time of its events are left, and an
// order if three latency targets are left. Requests end within these times, with a
// margin for a busy machine.
const (
	maxStreamRunTime = latencyTarget * 3 / 2
	maxOrderRunTime  = latencyTarget * 5 / 2
)

// runTimes returns a function that returns how long a server of a service runs a
// request: mostly milliseconds, sometimes up to the longest time of the service.
func (r *run) runTimes(service string) func() time.Duration {
	longest := maxOrderRunTime
	if service == streamService {
		longest = maxStreamRunTime
	}
	return func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		bound := longest
		switch n := r.random.Float64(); {
		case n < 0.7:
			bound = 20 * time.Millisecond
		case n < 0.95:
			bound = 150 * time.Millisecond
		}
		return time.Duration(r.random.Int64N(int64(bound)))
	}
}

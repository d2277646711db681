package gatewaysoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

const (
	// crashRestartTime is how long a server that has crashed on a prompt takes to come back
	// under a new ID.
	crashRestartTime = 600 * time.Millisecond
	// badShare is the share of streams that have the part on which servers crash.
	badShare = 0.2
	// crashCheckTime is how long checkCrashingPart sends requests, from crashCallers
	// callers.
	crashCheckTime = 10 * time.Second
	crashCallers   = 4
	// From contactTime after crash number crashesAllowed on, sendsAllowed requests with the
	// part may reach servers.
	crashesAllowed = 5
	sendsAllowed   = 3
	// minSoundShare is the share of sound requests that must be served from
	// soundSettleTime after that crash on.
	minSoundShare   = 0.5
	soundSettleTime = 2 * contactTime
)

// crashingPart is the part of prompts on which servers crash now, and what became of it.
type crashingPart struct {
	mu       sync.Mutex
	part     string // empty for none
	crashes  []time.Time
	arrivals []time.Time
}

// set makes servers crash on another part, or on none.
func (p *crashingPart) set(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.part, p.crashes, p.arrivals = part, nil, nil
}

func (p *crashingPart) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.part
}

// crashesOn records the arrival of a request and reports whether its server crashes.
func (p *crashingPart) crashesOn(execution fleetsim.Run) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.part == "" || !slices.Contains(execution.SharedParts, p.part) {
		return false
	}
	p.arrivals = append(p.arrivals, execution.At)
	return true
}

func (p *crashingPart) recordCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// settled reports whether sound requests must be served again.
func (p *crashingPart) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes) > 0 && time.Since(p.crashes[min(len(p.crashes), crashesAllowed)-1]) > soundSettleTime
}

// lateArrivals returns how many requests with the part arrived later than is allowed.
func (p *crashingPart) lateArrivals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < crashesAllowed {
		return 0
	}
	limit := p.crashes[crashesAllowed-1].Add(contactTime)
	late := 0
	for _, at := range p.arrivals {
		if at.After(limit) {
			late++
		}
	}
	return late
}

// crashOnPart makes servers crash on a part of prompts for d.
func (r *run) crashOnPart(pick int, d time.Duration) error {
	r.crashing.set(fmt.Sprintf("bad%x", pick))
	time.Sleep(d)
	r.crashing.set("")
	return nil
}

// handleCrash starts a server again that has crashed on a prompt. Until then its address
// refuses connections, and the store lists it.
func (r *run) handleCrash(b *server, crashed *fleetsim.Server) {
	r.crashing.recordCrash()
	r.restarts.Go(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.sim != crashed { // another fault has replaced it
			return
		}
		if err := r.restartCrashed(b); err != nil {
			r.addViolation("restart server %s: %w", crashed.ID, err)
		}
	})
}

func (r *run) restartCrashed(b *server) error {
	if err := b.proxy.Cut(); err != nil {
		return err
	}
	time.Sleep(crashRestartTime)
	r.store.Unregister(b.sim)
	if r.stopping.Load() {
		return nil
	}
	if err := r.startServer(b); err != nil {
		return err
	}
	return r.register(b, fleetsim.Live)
}

// parts returns the parts of the prompt of a stream: one that all share, one of the
// caller, and one of the request itself. In a share of the prompts the part on which
// servers crash takes the place of one of the first two.
func (c *caller) parts(id string) []string {
	parts := []string{"50", fmt.Sprintf("5%x", c.index), fmt.Sprintf("%x", id)}
	if bad := c.run.crashing.current(); bad != "" && c.random.Float64() < badShare {
		parts[c.random.IntN(2)] = bad
	}
	return parts
}

// checkCrashingPart makes servers crash on a part while there is no other fault, and
// checks that few requests with the part reach servers after some crashes, also by a
// gateway that starts then, and that others are served.
func (r *run) checkCrashingPart(ctx context.Context) {
	part := fmt.Sprintf("bad%x", r.options.Seed)
	r.crashing.set(part)
	defer r.crashing.set("")
	begun := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	sent, served := 0, 0
	for i := range crashCallers {
		group.Go(func() {
			c := r.newCaller(2000 + i)
			defer c.close()
			for time.Since(begun) < crashCheckTime && ctx.Err() == nil {
				settled := r.crashing.settled()
				ok := c.sendRequest(ctx, c.nextGateway(), streamKind)
				mu.Lock()
				if settled && !slices.Contains(c.lastParts, part) {
					sent++
					if ok {
						served++
					}
				}
				mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	group.Go(func() { r.restartDuringCheck(ctx) })
	group.Wait()
	if late := r.crashing.lateArrivals(); late > sendsAllowed {
		r.addViolation("%d requests with a part that crashes servers reached servers later than %v after crash %d", late, contactTime, crashesAllowed)
	}
	if float64(served) < minSoundShare*float64(sent) {
		r.addViolation("%d of %d sound requests were served while servers crash on a part of others", served, sent)
	}
}

// restartDuringCheck kills a gateway and starts it again, after the verdict.
func (r *run) restartDuringCheck(ctx context.Context) {
	time.Sleep(crashCheckTime / 2)
	g := r.gatewayAt(int(r.options.Seed))
	if err := g.restart(syscall.SIGKILL); err != nil {
		r.addViolation("restart %s: %w", g.name, err)
		return
	}
	if err := g.awaitReady(ctx); err != nil {
		r.addViolation("after its restart: %w", err)
	}
}

// Package placement carries out the decisions of policy/place. Every entry has a
// Planner. For each model, only the planner that holds the model's lease in the
// platform's store sends commands. The store revision of the lease key is the
// fencing token of the commands: an agent refuses a command whose token is not
// the current revision.
//
// Lock order: no other lock is taken while Planner.mu is held, and it is never
// held during I/O.
package placement

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/policy/place"
)

const (
	// reportTimeout is how long a command that was carried out is assumed to have
	// taken effect although no report of the agent shows it. After that, the
	// command may be sent again.
	reportTimeout = 10 * time.Second
	// failureBackoff is how long an engine gets no commands after one failed.
	failureBackoff = 5 * time.Second
	// minLeaseRemaining is the least remaining time of a lease at which a command
	// is sent.
	minLeaseRemaining = 100 * time.Millisecond
)

// Fleet connects a Planner to its entry.
type Fleet interface {
	// View returns the current view of the fleet; ok is false if this entry
	// should not plan now.
	View(now time.Time) (view place.View, ok bool)
	// Send proposes a command to an agent and waits for the result. The agent
	// first checks the fencing token and answers with an offer. Send then calls
	// confirm and immediately writes the confirmation, with the remaining time of
	// the lease that confirm returned; the agent carries out the command only
	// within this time. If confirm returns an error, the command ends without
	// effect. Errors of agents are *StatusError.
	Send(ctx context.Context, c place.Command, fencingToken uint64, confirm func(context.Context) (time.Duration, error)) error
}

// StatusError is the refusal of a command by an agent.
type StatusError struct {
	VM      string
	Status  wire.PlaceStatus
	Message string
}

func (e *StatusError) Error() string { return fmt.Sprintf("VM %s: %v: %s", e.VM, e.Status, e.Message) }

// LeaseEndedError reports that the lease ended before the command was sent.
type LeaseEndedError struct {
	Model string
}

func (e *LeaseEndedError) Error() string {
	return fmt.Sprintf("command not sent: the lease of model %q has ended or is about to end", e.Model)
}

// Config configures a Planner.
type Config struct {
	// Name is the name of the process, shown to other planners and in the logs
	// of agents.
	Name    string
	KV      cloud.KV
	Weights cloud.WeightStore
	Fleet   Fleet
	Log     *slog.Logger
	// Lease is the duration of a lease: the time after which an unresponsive
	// planner is replaced.
	Lease time.Duration
	// Interval is the time between two decisions.
	Interval time.Duration
	Policy   place.Config
}

// Planner decides on placement and sends commands for the models whose leases it
// holds.
type Planner struct {
	config Config
	leases leases

	mu sync.Mutex // guards the fields below
	// busy contains the models whose commands are being sent.
	busy map[string]bool
	// heldLeases holds the leases by model. A lease is used only by the goroutine
	// that has set busy for its model; mu guards the map.
	heldLeases map[string]*lease
	// sent holds commands whose effect the reports do not show yet.
	sent map[commandTarget]sentCommand
	// blockedUntil is the time, by VM, until which an engine gets no commands
	// after one failed.
	blockedUntil map[string]time.Time
	// weightsLimitedUntil is the time until which the weight store accepts no
	// load.
	weightsLimitedUntil time.Time
}

// commandTarget identifies the model or adapter on an engine that a command
// changes.
type commandTarget struct {
	vm, name string
}

type sentCommand struct {
	command place.Command
	sentAt  time.Time
}

// New returns a planner that does nothing until Run.
func New(c Config) *Planner {
	return &Planner{config: c, leases: leases{kv: c.KV, planner: c.Name, ttl: c.Lease}, busy: map[string]bool{},
		heldLeases: map[string]*lease{}, sent: map[commandTarget]sentCommand{}, blockedUntil: map[string]time.Time{}}
}

// Run makes decisions and sends their commands until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	policy := place.New(p.config.Policy)
	ticker := time.NewTicker(p.config.Interval)
	defer ticker.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			view, ok := p.config.Fleet.View(now)
			if !ok {
				continue
			}
			commands := policy.Decide(now, p.addSentCommands(now, view))
			for model, list := range byModel(commands) {
				if p.setBusy(model) {
					sending.Go(func() {
						defer p.clearBusy(model)
						p.sendCommands(ctx, model, list)
					})
				}
			}
		}
	}
}

func byModel(commands []place.Command) map[string][]place.Command {
	models := map[string][]place.Command{}
	for _, c := range commands {
		models[c.Model] = append(models[c.Model], c)
	}
	return models
}

// setBusy records that the commands of a model are being sent and returns false
// if that was already the case.
func (p *Planner) setBusy(model string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[model] {
		return false
	}
	p.busy[model] = true
	return true
}

func (p *Planner) clearBusy(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, model)
}

// sendCommands acquires or renews the lease of a model and sends its commands in
// order.
func (p *Planner) sendCommands(ctx context.Context, model string, commands []place.Command) {
	l, err := p.ensureLease(ctx, model)
	var held *HeldError
	if errors.As(err, &held) {
		p.config.Log.Debug("another planner holds the lease", "model", model, "holder", held.Holder)
		return
	}
	if err != nil {
		p.config.Log.Warn("cannot acquire placement lease", "model", model, "error", err.Error())
		return
	}
	for _, c := range commands {
		if !p.sendCommand(ctx, l, c) {
			return
		}
	}
}

// ensureLease returns a lease with more than half of its time left, or the held
// one if it cannot be renewed but has not ended. Leases are renewed only while
// there are commands, so that an idle planner makes no store calls and its
// leases expire.
func (p *Planner) ensureLease(ctx context.Context, model string) (*lease, error) {
	p.mu.Lock()
	l := p.heldLeases[model]
	p.mu.Unlock()
	now := time.Now()
	if l != nil && l.remaining(now) > p.config.Lease/2 {
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.Lease/2)
	defer cancel()
	var err error
	if l != nil && l.remaining(now) > 0 {
		if err = p.leases.renew(ctx, l); err == nil {
			return l, nil
		}
		var ended *cloud.LeaseError
		if !errors.As(err, &ended) && l.remaining(time.Now()) > minLeaseRemaining {
			return l, nil // the renewal failed, but the lease has not ended yet
		}
	}
	l, err = p.leases.acquire(ctx, model)
	p.setLease(model, l)
	return l, err
}

func (p *Planner) setLease(model string, l *lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.heldLeases, model)
	if l != nil {
		p.heldLeases[model] = l
	}
}

// sendCommand sends a command and records its result. It returns false if no
// further commands of the model may be sent with this lease. A load that is
// skipped because of the weight store's rate limit does not prevent them.
func (p *Planner) sendCommand(ctx context.Context, l *lease, c place.Command) bool {
	if c.Kind == place.Load && !p.loadsAllowed() {
		return true
	}
	sendCtx, cancel := context.WithTimeout(ctx, l.remaining(time.Now()))
	defer cancel()
	err := p.config.Fleet.Send(sendCtx, c, l.fencingToken, func(ctx context.Context) (time.Duration, error) { return p.confirmCommand(ctx, l, c) })
	log := p.config.Log.With("kind", string(c.Kind), "model", c.Model, "version", c.Version, "adapter", c.Adapter,
		"agent", c.VM, "token", l.fencingToken)
	p.recordResult(c, err)
	if err == nil {
		log.Info("placement command carried out")
		return true
	}
	log.Warn("placement command failed", "error", err.Error())
	var refused *StatusError
	if errors.As(err, &refused) && (refused.Status == wire.PlaceStatus_PLACE_STATUS_FENCED || refused.Status == wire.PlaceStatus_PLACE_STATUS_EXPIRED) {
		p.setLease(c.Model, nil)
		return false
	}
	var ended *LeaseEndedError
	return !errors.As(err, &ended)
}

// confirmCommand reserves a load with the weight store, which limits the rate of
// loads; other commands need no reservation. As the last step before the command
// is sent, it checks the lease on the monotonic clock and returns its remaining
// time.
func (p *Planner) confirmCommand(ctx context.Context, l *lease, c place.Command) (time.Duration, error) {
	if l.remaining(time.Now()) < minLeaseRemaining {
		return 0, &LeaseEndedError{Model: c.Model} // without use of the rate limit
	}
	if c.Kind == place.Load {
		if err := p.config.Weights.Reserve(ctx, c.Model, c.Version); err != nil {
			p.noteRateLimit(err)
			return 0, fmt.Errorf("reserve a load of model %q: %w", c.Model, err)
		}
	}
	remaining := l.remaining(time.Now())
	if remaining < minLeaseRemaining {
		return 0, &LeaseEndedError{Model: c.Model}
	}
	return remaining, nil
}

// noteRateLimit delays further loads until the weight store accepts one again, if
// err is a refusal because of its rate limit.
func (p *Planner) noteRateLimit(err error) {
	var limited *cloud.RateLimitedError
	if errors.As(err, &limited) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.weightsLimitedUntil = time.Now().Add(limited.RetryAfter)
	}
}

func (p *Planner) loadsAllowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.weightsLimitedUntil)
}

// recordResult records a command that was carried out, or blocks further
// commands to an engine whose command failed.
func (p *Planner) recordResult(c place.Command, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var refused *StatusError
	var limited *cloud.RateLimitedError
	var ended *LeaseEndedError
	switch {
	case err == nil:
		p.sent[commandTarget{c.VM, placedName(c)}] = sentCommand{c, time.Now()}
	// In the next two cases, the engine has not failed.
	case errors.As(err, &limited) || errors.As(err, &ended):
	case errors.As(err, &refused) && (refused.Status == wire.PlaceStatus_PLACE_STATUS_FENCED || refused.Status == wire.PlaceStatus_PLACE_STATUS_EXPIRED):
	default:
		p.blockedUntil[c.VM] = time.Now().Add(failureBackoff)
	}
}

func placedName(c place.Command) string {
	if c.Adapter == "" {
		return c.Model
	}
	return place.AdapterName(c.Model, c.Adapter)
}

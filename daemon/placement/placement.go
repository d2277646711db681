// Package placement carries the decisions of policy/place out. Every entry has
// a Planner; for each model only the one that holds the lease of the model in
// the platform's store sends commands. The store revision of the lease key is
// the fencing token of the commands, which the agents check.
//
// Lock order: Planner.mu is a leaf and never held during input or output.
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
	// reportLimit is how long a command that was carried out is assumed to be
	// under way before the report of its agent must show it.
	reportLimit = 10 * time.Second
	// failureHold is how long an engine gets no command after one failed.
	failureHold = 5 * time.Second
	// minRemaining is the least remaining lease with which a command is sent.
	minRemaining = 100 * time.Millisecond
)

// Fleet is what a Planner needs from its entry.
type Fleet interface {
	// View returns the present view; ok is false if this entry should leave
	// the planning to others.
	View(now time.Time) (view place.View, ok bool)
	// Send proposes a command to an agent. It calls confirm after the agent's
	// offer, immediately before the confirmation is written, with the time
	// that the confirmation may take; an error of confirm ends the command
	// without effect. Errors of agents are *StatusError.
	Send(ctx context.Context, c place.Command, token uint64, confirm func(context.Context) (time.Duration, error)) error
}

// StatusError is the refusal of a command by an agent.
type StatusError struct {
	VM      string
	Status  wire.PlaceStatus
	Message string
}

func (e *StatusError) Error() string { return fmt.Sprintf("VM %s: %v: %s", e.VM, e.Status, e.Message) }

// LeaseEndedError says that the lease ended before the command was sent.
type LeaseEndedError struct {
	Model string
}

func (e *LeaseEndedError) Error() string {
	return fmt.Sprintf("the lease of model %q has ended or is about to end", e.Model)
}

// Config sets a Planner up.
type Config struct {
	// Name of the process, shown to other planners and in logs of agents.
	Name    string
	KV      cloud.KV
	Weights cloud.WeightStore
	Fleet   Fleet
	Log     *slog.Logger
	// Lease is the time after which a silent planner is replaced.
	Lease time.Duration
	// Interval is the time between two decisions.
	Interval time.Duration
	Policy   place.Config
}

// Planner plans for the models whose leases it gets.
type Planner struct {
	config Config
	leases leases

	mu sync.Mutex
	// busy holds the models whose commands are being sent.
	busy map[string]bool
	held map[string]*lease // by model; used by the goroutine that set busy
	// sent are commands whose effect the reports do not show yet.
	sent map[subject]sentCommand
	// failed is until when an engine gets no command.
	failed map[string]time.Time
	// noWeights is until when the weight store takes no load.
	noWeights time.Time
}

// subject is what a command changes.
type subject struct {
	vm, name string
}

type sentCommand struct {
	command place.Command
	at      time.Time
}

// New returns a planner that does nothing until Run.
func New(c Config) *Planner {
	return &Planner{config: c, leases: leases{kv: c.KV, planner: c.Name, ttl: c.Lease}, busy: map[string]bool{},
		held: map[string]*lease{}, sent: map[subject]sentCommand{}, failed: map[string]time.Time{}}
}

// Run decides and sends commands until ctx ends.
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
			commands := policy.Decide(now, p.overlay(now, view))
			for model, list := range byModel(commands) {
				if p.begin(model) {
					sending.Go(func() {
						defer p.end(model)
						p.send(ctx, model, list)
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

// begin marks a model as busy unless it is.
func (p *Planner) begin(model string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[model] {
		return false
	}
	p.busy[model] = true
	return true
}

func (p *Planner) end(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, model)
}

// send takes or renews the lease of a model and sends its commands in order.
func (p *Planner) send(ctx context.Context, model string, commands []place.Command) {
	l, err := p.ensure(ctx, model)
	var held *HeldError
	if errors.As(err, &held) {
		p.config.Log.Debug("another planner holds the lease", "model", model, "holder", held.Holder)
		return
	}
	if err != nil {
		p.config.Log.Warn("no lease for placement", "model", model, "error", err.Error())
		return
	}
	for _, c := range commands {
		if !p.sendOne(ctx, l, c) {
			return
		}
	}
}

// ensure returns a lease with more than half of its time left. Leases are
// renewed only while there are commands, so that an idle planner makes no
// store calls and its leases end.
func (p *Planner) ensure(ctx context.Context, model string) (*lease, error) {
	p.mu.Lock()
	l := p.held[model]
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
		if !errors.As(err, &ended) && l.remaining(time.Now()) > minRemaining {
			return l, nil // the lease lasts until its known end
		}
	}
	l, err = p.leases.acquire(ctx, model)
	p.setHeld(model, l)
	return l, err
}

func (p *Planner) setHeld(model string, l *lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, model)
	if l != nil {
		p.held[model] = l
	}
}

// sendOne sends a command and records its result. It returns false if the
// other commands of the model must wait.
func (p *Planner) sendOne(ctx context.Context, l *lease, c place.Command) bool {
	if c.Kind == place.Load && !p.weightsOpen() {
		return true
	}
	limit, cancel := context.WithTimeout(ctx, l.remaining(time.Now()))
	defer cancel()
	err := p.config.Fleet.Send(limit, c, l.token, func(ctx context.Context) (time.Duration, error) { return p.confirm(ctx, l, c) })
	log := p.config.Log.With("kind", string(c.Kind), "model", c.Model, "version", c.Version, "adapter", c.Adapter,
		"agent", c.VM, "token", l.token)
	p.record(c, err)
	if err == nil {
		log.Info("placement command carried out")
		return true
	}
	log.Warn("placement command failed", "error", err.Error())
	var refused *StatusError
	if errors.As(err, &refused) && (refused.Status == wire.PlaceStatus_PLACE_STATUS_FENCED || refused.Status == wire.PlaceStatus_PLACE_STATUS_EXPIRED) {
		p.setHeld(c.Model, nil)
		return false
	}
	var ended *LeaseEndedError
	return !errors.As(err, &ended)
}

// confirm takes a slot of the weight store for a load, then checks the lease
// on the monotonic clock as the last step before the command is sent.
func (p *Planner) confirm(ctx context.Context, l *lease, c place.Command) (time.Duration, error) {
	if l.remaining(time.Now()) < minRemaining {
		return 0, &LeaseEndedError{Model: c.Model} // no slot is wasted
	}
	if c.Kind == place.Load {
		if err := p.config.Weights.Reserve(ctx, c.Model, c.Version); err != nil {
			p.noteLimit(err)
			return 0, fmt.Errorf("reserve a load of model %q: %w", c.Model, err)
		}
	}
	remaining := l.remaining(time.Now())
	if remaining < minRemaining {
		return 0, &LeaseEndedError{Model: c.Model}
	}
	return remaining, nil
}

// noteLimit keeps further loads back until the weight store takes one.
func (p *Planner) noteLimit(err error) {
	var limited *cloud.RateLimitedError
	if errors.As(err, &limited) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.noWeights = time.Now().Add(limited.RetryAfter)
	}
}

func (p *Planner) weightsOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.noWeights)
}

// record remembers a command that was carried out or may have been, and holds
// an engine back whose command failed.
func (p *Planner) record(c place.Command, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var refused *StatusError
	var limited *cloud.RateLimitedError
	var ended *LeaseEndedError
	switch {
	case err == nil:
		p.sent[subject{c.VM, nameOf(c)}] = sentCommand{c, time.Now()}
	case errors.As(err, &limited) || errors.As(err, &ended):
		// Nothing is wrong with the engine.
	case errors.As(err, &refused) && (refused.Status == wire.PlaceStatus_PLACE_STATUS_FENCED || refused.Status == wire.PlaceStatus_PLACE_STATUS_EXPIRED):
	default:
		p.failed[c.VM] = time.Now().Add(failureHold)
	}
}

func nameOf(c place.Command) string {
	if c.Adapter == "" {
		return c.Model
	}
	return place.AdapterName(c.Model, c.Adapter)
}

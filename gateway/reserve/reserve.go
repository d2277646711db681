// Package reserve reserves memory on model engines for prompts that no engine
// can store alone. A reservation is a short lease that is renewed while its
// request is in work, so that the memory is free again soon after a gateway
// has died or an order was carried out late.
package reserve

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/gateway/schedule"
)

const (
	// leaseTime is how long memory stays reserved after the last renewal. The
	// platform allows 4 s from the end of a request to the release.
	leaseTime = 3900 * time.Millisecond
	// renewInterval leaves room for two lost renewals.
	renewInterval = 1200 * time.Millisecond
	// callTimeout bounds an order, which an engine answers at once.
	callTimeout = 800 * time.Millisecond
)

// Memory gives orders about the memory of engines.
type Memory interface {
	// Reserve reserves tokens under a name or renews the reservation. Any error
	// leaves open whether the memory was reserved.
	Reserve(ctx context.Context, address, serverID, name string, tokens int, lease time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, address, serverID, name string) error
}

// Reserver makes reservations. Safe for concurrent use.
type Reserver struct {
	memory Memory
	log    *slog.Logger
}

// New returns a reserver.
func New(m Memory, log *slog.Logger) *Reserver { return &Reserver{memory: m, log: log} }

// Error says that an engine did not reserve memory.
type Error struct {
	Server string
	Tokens int
	Cause  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%d tokens on server %s: %v", e.Tokens, e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Reservation is the reserved memory of one request. Release must be called. The
// methods of a nil Reservation do nothing.
type Reservation struct {
	reserver   *Reserver
	assignment *schedule.Assignment
	names      []string // by helper; empty without a reservation
	cancel     context.CancelFunc
	renewals   sync.WaitGroup
}

// Reserve reserves the memory that an assignment stores at its helpers, on all
// of them or on none. It returns nil if there is nothing to reserve.
func (r *Reserver) Reserve(ctx context.Context, a *schedule.Assignment) (*Reservation, error) {
	if a.HelperTokens == nil {
		return nil, nil
	}
	h := &Reservation{reserver: r, assignment: a, names: make([]string, len(a.Helpers))}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, tokens := range a.HelperTokens {
		if tokens == 0 {
			continue
		}
		h.names[i] = uuid.NewString()
		group.Go(func() error { return h.order(groupCtx, i) })
	}
	if err := group.Wait(); err != nil {
		h.Release()
		return nil, err
	}
	renewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	h.renewals.Go(func() { h.renew(renewCtx) })
	return h, nil
}

// order reserves or renews the memory of one helper.
func (h *Reservation) order(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	helper, tokens := h.assignment.Helpers[i], h.assignment.HelperTokens[i]
	if err := h.reserver.memory.Reserve(ctx, helper.Address, helper.ID, h.names[i], tokens, leaseTime); err != nil {
		return &Error{Server: helper.ID, Tokens: tokens, Cause: err}
	}
	return nil
}

// renew keeps the reservations alive until ctx ends.
func (h *Reservation) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var round sync.WaitGroup
		for i, name := range h.names {
			if name == "" {
				continue
			}
			round.Go(func() {
				if err := h.order(ctx, i); err != nil && ctx.Err() == nil {
					h.reserver.log.Warn("reservation not renewed", "error", err.Error())
				}
			})
		}
		round.Wait()
	}
}

// ReservationID returns the name of the memory at a helper, empty for none.
func (h *Reservation) ReservationID(helper int) string {
	if h == nil {
		return ""
	}
	return h.names[helper]
}

// Release ends the reservations in the background.
func (h *Reservation) Release() {
	if h == nil {
		return
	}
	if h.cancel != nil {
		h.cancel()
	}
	go func() {
		h.renewals.Wait() // a renewal after the release would reserve anew
		for i, name := range h.names {
			if name != "" {
				go h.release(i)
			}
		}
	}()
}

func (h *Reservation) release(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	helper := h.assignment.Helpers[i]
	if err := h.reserver.memory.Release(ctx, helper.Address, helper.ID, h.names[i]); err != nil {
		h.reserver.log.Warn("reservation not released, it ends by itself", "server", helper.ID, "error", err.Error())
	}
}

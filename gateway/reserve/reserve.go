// Package reserve reserves memory on model engines for prompts that no single
// engine can store. A reservation is a short lease that is renewed while its
// request is in flight, so that memory does not stay reserved after a gateway has
// died, or after an engine has executed a reserve call whose request had already
// ended.
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
	"camphorwick.dev/policy/selfreport"
)

const (
	// leaseTime is how long memory stays reserved after the last renewal. The
	// platform allows 4 s between the end of a request and the release.
	leaseTime = 3900 * time.Millisecond
	// renewInterval is the time between renewals. It allows for two lost
	// renewals within leaseTime.
	renewInterval = 1200 * time.Millisecond
	// callTimeout bounds a call, which an engine answers at once.
	callTimeout = 800 * time.Millisecond
)

// EngineMemory is the client by which engines are told to reserve and release
// their memory.
type EngineMemory interface {
	// Reserve reserves memory for a number of tokens, or renews the reservation
	// if one with this ID exists. After an error the memory may or may not be
	// reserved.
	Reserve(ctx context.Context, address, serverID, id string, tokens int, lease time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, address, serverID, id string) error
}

// ReportSource is an EngineMemory that passes on what engines say of themselves in their
// answers to its calls.
type ReportSource interface {
	// OnReport sets the function that is called with each report that is not empty. It
	// must be called before the first call to an engine.
	OnReport(f func(serverID, address string, r selfreport.Report))
}

// Reserver makes reservations. It is safe for concurrent use.
type Reserver struct {
	memory EngineMemory
	log    *slog.Logger
}

// New returns a reserver.
func New(m EngineMemory, log *slog.Logger) *Reserver { return &Reserver{memory: m, log: log} }

// Error means that an engine did not reserve memory.
type Error struct {
	Server string
	Tokens int
	Cause  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("reserve %d tokens on server %s: %v", e.Tokens, e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Reservation is the memory reserved for one request at its helpers. Release
// must be called. The methods of a nil Reservation do nothing.
type Reservation struct {
	reserver   *Reserver
	assignment *schedule.Assignment
	ids        []string           // by helper; empty for a helper without a reservation
	cancel     context.CancelFunc // ends the renewals
	renewals   sync.WaitGroup
}

// Reserve reserves the memory that an assignment needs at its helpers, on all
// of them or on none. It returns nil if there is nothing to reserve.
func (r *Reserver) Reserve(ctx context.Context, a *schedule.Assignment) (*Reservation, error) {
	if a.HelperTokens == nil {
		return nil, nil
	}
	res := &Reservation{reserver: r, assignment: a, ids: make([]string, len(a.Helpers))}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, tokens := range a.HelperTokens {
		if tokens == 0 {
			continue
		}
		res.ids[i] = uuid.NewString()
		group.Go(func() error { return res.reserveHelper(groupCtx, i) })
	}
	if err := group.Wait(); err != nil {
		res.Release()
		return nil, err
	}
	renewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	res.cancel = cancel
	res.renewals.Go(func() { res.renew(renewCtx) })
	return res, nil
}

// reserveHelper reserves or renews the memory of one helper.
func (res *Reservation) reserveHelper(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	helper, tokens := res.assignment.Helpers[i], res.assignment.HelperTokens[i]
	if err := res.reserver.memory.Reserve(ctx, helper.Address, helper.ID, res.ids[i], tokens, leaseTime); err != nil {
		return &Error{Server: helper.ID, Tokens: tokens, Cause: err}
	}
	return nil
}

// renew renews the reservations periodically until ctx ends.
func (res *Reservation) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var round sync.WaitGroup
		for i, id := range res.ids {
			if id == "" {
				continue
			}
			round.Go(func() {
				if err := res.reserveHelper(ctx, i); err != nil && ctx.Err() == nil {
					res.reserver.log.Warn("reservation not renewed", "error", err.Error())
				}
			})
		}
		round.Wait()
	}
}

// ReservationID returns the ID of the reservation at a helper of the assignment;
// empty for none.
func (res *Reservation) ReservationID(helper int) string {
	if res == nil {
		return ""
	}
	return res.ids[helper]
}

// Release ends the renewals and releases the memory, in the background.
func (res *Reservation) Release() {
	if res == nil {
		return
	}
	if res.cancel != nil {
		res.cancel()
	}
	go func() {
		res.renewals.Wait() // a renewal after the release would reserve again
		for i, id := range res.ids {
			if id != "" {
				go res.releaseHelper(i)
			}
		}
	}()
}

func (res *Reservation) releaseHelper(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	helper := res.assignment.Helpers[i]
	if err := res.reserver.memory.Release(ctx, helper.Address, helper.ID, res.ids[i]); err != nil {
		res.reserver.log.Warn("reservation not released, it ends with its lease", "server", helper.ID, "error", err.Error())
	}
}

package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/follow"
)

// leaseLosingStore is a store whose leases have ended before they are used.
type leaseLosingStore struct {
	follow.Store
	calls atomic.Int64
}

// maxCalls is the number of calls after which the store fails, so that a loop
// that calls it without a delay ends.
const maxCalls = 1000

func (s *leaseLosingStore) Grant(context.Context, time.Duration) (int64, error) {
	if s.calls.Add(1) > maxCalls {
		return 0, errors.New("too many calls")
	}
	return 1, nil
}

func (s *leaseLosingStore) Put(context.Context, string, []byte, int64) error {
	return &follow.LeaseError{ID: 1}
}

// Guards against a loop of calls without a delay, which the platform charges,
// and against a gateway that does not stop, while each lease of the store has
// ended before it is used.
func TestRegistrationPausesAfterALostLease(t *testing.T) {
	is := is.New(t)
	store := &leaseLosingStore{}
	n := &Node{options: Options{Log: slog.New(slog.DiscardHandler)}, protocol: Protocol{Store: store}}
	ctx, cancel := context.WithTimeout(t.Context(), 3*registrationRetryInterval/2) // one retry
	defer cancel()
	is.NoErr(n.maintainRegistration(ctx))
	is.True(store.calls.Load() <= 3) // one call more than the first and its retry
}

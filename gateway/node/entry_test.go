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

// leaseLosingStore loses each lease before it is used.
type leaseLosingStore struct {
	follow.Store
	calls atomic.Int64
}

// maxCalls ends a loop that calls the store without a delay.
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

// Guards against a loop of charged calls without a delay, and against a gateway
// that does not stop, while the store loses every lease at once.
func TestEntryPausesAfterALostLease(t *testing.T) {
	is := is.New(t)
	store := &leaseLosingStore{}
	n := &Node{options: Options{Log: slog.New(slog.DiscardHandler)}, protocol: Protocol{Store: store}}
	ctx, cancel := context.WithTimeout(t.Context(), 3*entryRetryInterval/2)
	defer cancel()
	is.NoErr(n.maintainEntry(ctx))
	is.True(store.calls.Load() <= 3)
}

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

// forgetfulStore loses each lease before it is used.
type forgetfulStore struct {
	follow.Store
	calls atomic.Int64
}

// enough ends a loop that makes calls without a pause.
const enough = 1000

func (s *forgetfulStore) Grant(context.Context, time.Duration) (int64, error) {
	if s.calls.Add(1) > enough {
		return 0, errors.New("too many calls")
	}
	return 1, nil
}

func (s *forgetfulStore) Put(context.Context, string, []byte, int64) error {
	return &follow.LeaseError{ID: 1}
}

// Guards against priced calls without a pause, and against a gateway that does
// not stop, while the store loses leases at once.
func TestEntryPausesAfterALostLease(t *testing.T) {
	is := is.New(t)
	store := &forgetfulStore{}
	n := &Node{options: Options{Log: slog.New(slog.DiscardHandler)}, protocol: Protocol{Store: store}}
	ctx, cancel := context.WithTimeout(t.Context(), 3*retryEntry/2)
	defer cancel()
	is.NoErr(n.enter(ctx))
	is.True(store.calls.Load() <= 3)
}

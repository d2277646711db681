package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

func (s *leaseLosingStore) Grant(context.Context, time.Duration) (follow.Lease, error) {
	if s.calls.Add(1) > maxCalls {
		return follow.Lease{}, errors.New("too many calls")
	}
	return follow.Lease{ID: 1}, nil
}

func (s *leaseLosingStore) Put(context.Context, string, []byte, follow.Lease) error {
	return &follow.LeaseError{Lease: follow.Lease{ID: 1}}
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

// expiringStore is a store whose registration of a gateway ends with the lease of an
// earlier write, although the last lease is renewed.
type expiringStore struct {
	follow.Store
	lease  atomic.Int64
	writes atomic.Int64
}

func (s *expiringStore) Grant(context.Context, time.Duration) (follow.Lease, error) {
	return follow.Lease{ID: s.lease.Add(1)}, nil
}

func (s *expiringStore) Renew(context.Context, follow.Lease) error { return nil }

func (s *expiringStore) Put(context.Context, string, []byte, follow.Lease) error {
	s.writes.Add(1)
	return nil
}

// Guards against a gateway that its peers do not know until it restarts: a write that the
// store carried out late has replaced its registration and ended with an earlier lease.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &expiringStore{}
		n := newTestNode(t, time.Second)
		n.protocol.Store = store
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = n.maintainRegistration(ctx) })
		time.Sleep(time.Second)
		h := &peerHandler{node: n, known: map[string]peer{}}
		own := follow.Item{Key: peersPrefix + n.options.VM, Value: []byte(`{"address":"127.0.0.1:1"}`), Revision: 2}
		h.Replace(nil) // read before the registration
		h.Change(own)
		time.Sleep(3 * renewInterval)
		is.Equal(store.writes.Load(), int64(1))
		h.Change(follow.Item{Key: own.Key, Deleted: true, Revision: 3})
		time.Sleep(renewInterval)
		synctest.Wait()
		is.Equal(store.writes.Load(), int64(2))
		h.Change(own)
		h.Replace(nil) // lost while the store could not be read
		time.Sleep(renewInterval)
		synctest.Wait()
		is.Equal(store.writes.Load(), int64(3))
		cancel()
		group.Wait()
	})
}

package placement

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"camphorwick.dev/cloud"
)

// KeyPrefix is the prefix of the lease keys: placement/<model>.
const KeyPrefix = "placement/"

// leaseMargin is the share of a lease's duration that the holder does not use.
// Even if its clock is slower than that of the store by up to this share, it
// stops using the lease before the lease ends in the store.
const leaseMargin = 0.1

// lease is the right to plan for one model.
type lease struct {
	id cloud.LeaseID
	// fencingToken is the store revision of the lease key. A later holder has a
	// higher one, because store revisions only increase.
	fencingToken uint64
	// ends is the end of the lease on the monotonic clock. It is earlier than
	// the end in the store, because it counts from before the call that granted
	// or renewed the lease.
	ends time.Time
}

func (l *lease) remaining(now time.Time) time.Duration { return l.ends.Sub(now) }

// HeldError reports that another planner holds the lease of a model.
type HeldError struct {
	Model, Holder string
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("the lease of model %q is held by %s", e.Model, e.Holder)
}

// leases acquires and renews leases for one planner.
type leases struct {
	kv      cloud.KV
	planner string
	ttl     time.Duration
}

func (s *leases) usableTime() time.Duration { return time.Duration(float64(s.ttl) * (1 - leaseMargin)) }

// acquire acquires the lease of a model. Errors are *HeldError or those of the
// store; after any error the planner does not hold the lease.
func (s *leases) acquire(ctx context.Context, model string) (*lease, error) {
	key := KeyPrefix + model
	current, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read lease of model %q: %w", model, err)
	}
	if current.Revision != 0 {
		return nil, &HeldError{Model: model, Holder: string(current.Value)}
	}
	started := time.Now()
	id, err := s.kv.Grant(ctx, s.ttl)
	if err != nil {
		return nil, fmt.Errorf("grant lease for model %q: %w", model, err)
	}
	fencingToken, err := s.writeKey(ctx, key, id)
	if err != nil {
		// Revoking the lease makes a write that is still in flight fail. If the
		// revocation fails too, the lease expires.
		_ = s.kv.Revoke(context.WithoutCancel(ctx), id)
		return nil, fmt.Errorf("acquire lease of model %q: %w", model, err)
	}
	return &lease{id: id, fencingToken: fencingToken, ends: started.Add(s.usableTime())}, nil
}

// writeKey writes the lease key. The value is unique to this call, so that after
// a lost answer, reading the key shows whether the write took effect.
func (s *leases) writeKey(ctx context.Context, key string, id cloud.LeaseID) (uint64, error) {
	value := s.planner + " " + uuid.NewString()
	fencingToken, err := s.kv.Put(ctx, key, []byte(value), 0, id)
	var uncertain *cloud.UncertainError
	if !errors.As(err, &uncertain) {
		return fencingToken, err
	}
	current, readErr := s.kv.Get(ctx, key)
	switch {
	case readErr != nil:
		return 0, errors.Join(err, readErr)
	case string(current.Value) != value:
		return 0, err
	}
	return current.Revision, nil
}

// renew extends a lease. If the answer is lost, the recorded end stays, which is
// never later than the end in the store.
func (s *leases) renew(ctx context.Context, l *lease) error {
	started := time.Now()
	if err := s.kv.Renew(ctx, l.id); err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	l.ends = started.Add(s.usableTime())
	return nil
}

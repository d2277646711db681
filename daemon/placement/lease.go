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

// leaseMargin is the part of a lease that is not used, so that clocks whose
// rates differ by up to a tenth agree that a lease has ended.
const leaseMargin = 0.1

// lease is the right to plan for one model.
type lease struct {
	id cloud.LeaseID
	// token is the store revision of the lease key. A later holder has a
	// higher one, because revisions of the store only rise.
	token uint64
	// ends is on the monotonic clock and earlier than the end in the store,
	// because it counts from before the call that started the lease.
	ends time.Time
}

func (l *lease) remaining(now time.Time) time.Duration { return l.ends.Sub(now) }

// HeldError says that another planner holds the lease of a model.
type HeldError struct {
	Model, Holder string
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("the lease of model %q is held by %s", e.Model, e.Holder)
}

// leases takes and renews leases.
type leases struct {
	kv      cloud.KV
	planner string
	ttl     time.Duration
}

func (s *leases) usable() time.Duration { return time.Duration(float64(s.ttl) * (1 - leaseMargin)) }

// acquire takes the lease of a model. Errors are *HeldError or those of the
// store; after any error the planner holds nothing.
func (s *leases) acquire(ctx context.Context, model string) (*lease, error) {
	key := KeyPrefix + model
	present, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read lease of model %q: %w", model, err)
	}
	if present.Revision != 0 {
		return nil, &HeldError{Model: model, Holder: string(present.Value)}
	}
	started := time.Now()
	id, err := s.kv.Grant(ctx, s.ttl)
	if err != nil {
		return nil, fmt.Errorf("grant lease for model %q: %w", model, err)
	}
	token, err := s.write(ctx, key, id)
	if err != nil {
		// Ending the lease makes a write that is still under way fail. If
		// this fails too, the lease ends by itself.
		_ = s.kv.Revoke(context.WithoutCancel(ctx), id)
		return nil, fmt.Errorf("take lease of model %q: %w", model, err)
	}
	return &lease{id: id, token: token, ends: started.Add(s.usable())}, nil
}

// write writes the lease key. The value is unique to this call, so that a lost
// answer is resolved by reading it back.
func (s *leases) write(ctx context.Context, key string, id cloud.LeaseID) (uint64, error) {
	value := s.planner + " " + uuid.NewString()
	token, err := s.kv.Put(ctx, key, []byte(value), 0, id)
	var uncertain *cloud.UncertainError
	if !errors.As(err, &uncertain) {
		return token, err
	}
	present, readErr := s.kv.Get(ctx, key)
	switch {
	case readErr != nil:
		return 0, errors.Join(err, readErr)
	case string(present.Value) != value:
		return 0, err
	}
	return present.Revision, nil
}

// renew extends a lease. A lost answer leaves the known end, which is never
// later than that in the store.
func (s *leases) renew(ctx context.Context, l *lease) error {
	started := time.Now()
	if err := s.kv.Renew(ctx, l.id); err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	l.ends = started.Add(s.usable())
	return nil
}

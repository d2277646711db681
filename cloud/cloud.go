// Package cloud declares the services that entries and agents need from the
// platform they run on: a small key-value store, a list of VMs and a store of
// model weights. The interfaces are narrow so that an adapter for another
// platform protocol stays small. Package httpkv is the adapter in use. Gateways
// use another platform, through package platform.
package cloud

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest size of a value in the key-value store.
const MaxValueBytes = 1 << 20

// Entry is the record of a key in the store: a value and the store revision of its
// last change. The revision of an absent key is 0. Store revisions increase
// monotonically; a key that is deleted and written again gets a higher revision
// than before.
type Entry struct {
	Value    []byte
	Revision uint64
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// KV is the key-value store. Every call counts against the platform's rate
// limits; a waiting Watch counts as one call. Errors have the types of this
// package.
type KV interface {
	// Get returns the value and revision of key; an absent key has revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision equals expected (0 for an absent
	// key) and returns the new revision. The key is deleted when lease ends.
	Put(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if its revision equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// List returns the keys with the prefix in lexical order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the key's revision exceeds after or ctx ends. A deleted
	// key has revision 0 and is not reported.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant creates a lease that ends when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns a LeaseError if the lease has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// ConflictError reports that a write was refused because the key's revision was
// not the expected one. Nothing was written.
type ConflictError struct {
	Key              string
	Expected, Actual uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %d, expected %d", e.Key, e.Actual, e.Expected)
}

// UnavailableError reports that the store did not accept a write, or that a read
// got no valid response. A write that fails with it has not taken effect and never
// will.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: store unavailable: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports that a write was sent and no valid response was
// received: it may have taken effect or may still take effect later.
type UncertainError struct {
	Operation string
	Cause     error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s: effect unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// RateLimitedError reports that the call exceeded the platform's rate limit and
// had no effect.
type RateLimitedError struct {
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limit exceeded, retry after %v", e.RetryAfter)
}

// TooLargeError reports that a value exceeds MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of key %q has %d bytes, more than the limit of %d", e.Key, e.Size, MaxValueBytes)
}

// LeaseError reports that a lease has ended or never existed.
type LeaseError struct {
	ID LeaseID
}

func (e *LeaseError) Error() string { return fmt.Sprintf("lease %d has ended", e.ID) }

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM of the platform's list.
type VM struct {
	ID         string  `json:"id"`
	Role       string  `json:"role"` // of its process: "entry" or "agent"
	DataCentre string  `json:"data_centre"`
	Address    string  `json:"address"` // IP:port of the inter-process port
	State      VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It can be a minute out
// of date, so it is only a hint and correctness must not depend on it.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore is the platform's store of model weights, from which engines read
// the weights of a model that they are ordered to load.
type WeightStore interface {
	// Reserve counts the load of a version of a model against the store's rate
	// limit; nothing has to be released. If the limit is exceeded, it returns a
	// RateLimitedError and the load must not start.
	Reserve(ctx context.Context, model, version string) error
}

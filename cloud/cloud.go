// Package cloud declares what camphorwick needs from the platform it runs
// on: a small key-value service, a list of VMs and a store of model weights.
// The interfaces are narrow so that an adapter for another platform protocol
// stays small. Package httpkv holds the adapter that is in use.
package cloud

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20

// Entry is a value and the store revision of its last change. The revision of
// an absent key is 0. Revisions of the store only rise, and a key that was
// deleted and written again has a higher revision than before.
type Entry struct {
	Value    []byte
	Revision uint64
}

// LeaseID names a lease; 0 means no lease.
type LeaseID uint64

// KV is the key-value service. Every call counts against the platform's rate
// limits; a waiting Watch counts as one call. Errors are the types of this
// package.
type KV interface {
	// Get returns the entry of key; an absent key has revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision still is expected (0: absent)
	// and returns the new revision. The key is deleted when lease ends.
	Put(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if its revision still is expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the key's revision is higher than after, or ctx ends.
	// A deleted key has revision 0 and is not reported.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease; LeaseError if it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// ConflictError says that a write was refused because the key's revision was
// not the expected one. Nothing was written.
type ConflictError struct {
	Key              string
	Expected, Actual uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %d, expected %d", e.Key, e.Actual, e.Expected)
}

// UnavailableError says that the store did not take the call. A write that
// failed with it has certainly not taken effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: the store is unavailable: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError says that a write was sent and its answer was lost: it may
// have taken effect, or may still take effect later.
type UncertainError struct {
	Operation string
	Cause     error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s: the answer was lost: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// RateLimitedError says that the call exceeded the platform's rate limit and
// had no effect.
type RateLimitedError struct {
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limit exceeded, retry after %v", e.RetryAfter)
}

// TooLargeError says that a value exceeds MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of key %q has %d bytes, at most %d are allowed", e.Key, e.Size, MaxValueBytes)
}

// LeaseError says that a lease has ended or never existed.
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

// VM is one line of the platform's list.
type VM struct {
	ID         string  `json:"id"`
	Role       string  `json:"role"` // "entry" or "agent"
	DataCentre string  `json:"data_centre"`
	Address    string  `json:"address"` // IP:port of the inter-process port
	State      VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It can lag by a
// minute, so it is a hint and never decides about safety.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore is the platform's store of model weights. Engines read weights
// from it when they are ordered to load a model.
type WeightStore interface {
	// Reserve takes one slot of the store's rate limit for loading a version
	// of a model, or fails with RateLimitedError.
	Reserve(ctx context.Context, model, version string) error
}

// Package follow tracks prefixes of the platform's store: it reads them once,
// then watches for changes, and reads again when the history is gone.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// WatchWait is how long the store may hold a watch without a change.
	WatchWait = 30 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. Calls are
	// priced, refused ones too.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
)

// Item is a key of the store, or the news that it was deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Store is what the gateway needs of the platform's store.
type Store interface {
	// Range returns the items of a prefix and the revision at which the read
	// began.
	Range(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits for changes after a revision and returns them with the
	// revision to go on from. CompactedError says that the history is gone.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew extends a lease; LeaseError if it has ended.
	Renew(ctx context.Context, lease int64) error
	// Put writes a key that is deleted with the lease.
	Put(ctx context.Context, key string, value []byte, lease int64) error
}

// CompactedError says that the store no longer has the changes after a
// revision.
type CompactedError struct{ After int64 }

func (e *CompactedError) Error() string { return "the history of the store is gone" }

// LeaseError says that a lease has ended.
type LeaseError struct{ ID int64 }

func (e *LeaseError) Error() string { return "the lease has ended" }

// Handler takes what a Follower learns. Its methods are called one at a time.
type Handler interface {
	// Replace gives all items of the prefix.
	Replace(items []Item)
	// Change gives one changed item.
	Change(item Item)
	// Failed reports a call without success, Restored the first success after.
	Failed(err error)
	Restored()
}

// Follower keeps a Handler up to date with one prefix.
type Follower struct {
	Store   Store
	Prefix  string
	Handler Handler
	Log     *slog.Logger
	// Gather is the time after a change before the next call, so that changes
	// that come together cost one call.
	Gather time.Duration

	revisions map[string]int64
	after     int64
	read      bool
	failing   bool
	backoff   time.Duration

	mu     sync.Mutex
	cancel context.CancelFunc // ends the waiting watch; nil while there is none
}

// Ask ends a waiting watch and asks anew. It is called when there is reason to
// believe that the watch was lost without a sign. Safe for concurrent use.
func (f *Follower) Ask() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// watch waits for changes until Ask is called.
func (f *Follower) watch(ctx context.Context) (items []Item, after int64, asked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	items, after, err = f.Store.Watch(ctx, f.Prefix, f.after, WatchWait)
	f.mu.Lock()
	f.cancel = nil
	f.mu.Unlock()
	return items, after, ctx.Err() != nil, err
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.revisions = map[string]int64{}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			f.succeeded()
			continue
		}
		if errors.Is(err, errAsked) {
			continue
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			f.Log.Warn("store history lost, reading again", "prefix", f.Prefix, "after", compacted.After)
			f.read = false
			continue
		}
		f.failed(ctx, err)
	}
	return nil
}

// errAsked says that Ask has ended a watch, which tells nothing of the store.
var errAsked = errors.New("asked anew")

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if !f.read {
		items, revision, err := f.Store.Range(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.revisions = make(map[string]int64, len(items))
		for _, item := range items {
			f.revisions[item.Key] = item.Revision
		}
		f.after, f.read = revision, true
		f.succeeded()
		f.Handler.Replace(items)
		return nil
	}
	items, after, asked, err := f.watch(ctx)
	if err != nil && asked && ctx.Err() == nil {
		return errAsked
	}
	if err != nil {
		return err
	}
	f.succeeded()
	f.after = max(after, f.after)
	for _, item := range items {
		if item.Revision <= f.revisions[item.Key] {
			continue // older than what the range read has given
		}
		f.revisions[item.Key] = item.Revision
		if item.Deleted {
			delete(f.revisions, item.Key) // later changes have higher revisions
		}
		f.Handler.Change(item)
	}
	if len(items) > 0 {
		sleep(ctx, f.Gather)
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Follower) succeeded() {
	f.backoff = 0
	if f.failing {
		f.failing = false
		f.Log.Info("store regained", "prefix", f.Prefix)
		f.Handler.Restored()
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.failing {
		f.failing = true
		f.Log.Warn("store lost", "prefix", f.Prefix, "error", err.Error())
	}
	f.Handler.Failed(err)
	f.backoff = min(max(f.backoff*2, minBackoff), maxBackoff)
	sleep(ctx, f.backoff/2+rand.N(f.backoff/2))
}

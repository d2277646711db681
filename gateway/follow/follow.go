// Package follow keeps a process up to date with prefixes of the platform's store.
//
// A Follower either reads the keys of its prefix or watches the prefix for changes
// after a revision. A watch returns every change since that revision, so that its
// cost grows with the time that was missed; a read costs the newest state, however
// much was missed. A follower therefore watches only from a state that is recent. It
// reads at the start, after each failed call and if the store no longer has the history.
// If ReadAfter is set, it goes on to read after a change that took long to arrive, until
// a read brings no change.
//
// A watch, or the answer to it, may be lost without an error. What a follower knows therefore
// counts as current only while something proves it (Proof): an answer of the store, a check
// of a Checker, or the proof of a peer that knows the same state. Prefixes of which a change
// may be known a little later need no watch of their own: checks and the proofs of peers
// show their changes.
package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// WatchWait is how long the store may hold a watch without changes.
	WatchWait = 30 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call. The
	// platform charges for calls, including refused ones.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// quietTime is how long a watch waits at least before a change that is no part of a
	// series.
	quietTime = 2 * time.Second
	// maxReadPause bounds the pause between two reads of a prefix that changes all
	// the time.
	maxReadPause = 250 * time.Millisecond
)

// Item is a key of the store, or its deletion.
type Item struct {
	Key      string
	Value    []byte
	Revision Position
	Deleted  bool
}

// Store is the part of the platform's store that the gateway uses.
type Store interface {
	// Range returns the items of a prefix and the position of the store at which the read
	// began. It calls answered when the answer begins to arrive.
	Range(ctx context.Context, prefix string, answered func()) (items []Item, at Position, err error)
	// Watch waits for changes after a position and returns them, oldest first, with
	// the position to continue from. It calls answered, from the same goroutine, when
	// the answer begins to arrive. CompactedError means that the store no longer has
	// the changes after that position, EraError that it is in a later era.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration, answered func()) ([]Item, Position, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease. LeaseError means that it has ended.
	Renew(ctx context.Context, lease Lease) error
	// Put writes a key that is deleted with the lease, or one without a lease if it is the
	// zero value. LeaseError means that the lease has ended.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
}

// Lease is a lease of the store. A store that is restored from a copy may give out its number
// again, so that it is one lease only together with its era.
type Lease struct{ ID, Era int64 }

// IsZero reports whether l is no lease.
func (l Lease) IsZero() bool { return l == Lease{} }

// CompactedError means that the store no longer has the changes after a
// revision.
type CompactedError struct{ After Position }

func (e *CompactedError) Error() string { return "store history was compacted" }

// ConflictError means that a key was not written because it has another revision than
// expected.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string { return fmt.Sprintf("key %q has another revision", e.Key) }

// LeaseError means that a lease has ended.
type LeaseError struct{ Lease Lease }

func (e *LeaseError) Error() string { return "lease has ended" }

// Handler receives the state of a prefix. Its methods are not called
// concurrently.
type Handler interface {
	// Replace sets all items of the prefix.
	Replace(items []Item)
	// Change sets or deletes one item.
	Change(item Item)
	// Failed is called for each failed call, Restored for the first success
	// after it.
	Failed(err error)
	Restored()
}

// Follower keeps a Handler up to date with one prefix.
type Follower struct {
	Store   Store
	Prefix  string
	Handler Handler
	Log     *slog.Logger
	// BatchDelay is the time between a change and the next call, so that several
	// changes arrive by a single call.
	BatchDelay time.Duration
	// StartBatchDelay replaces BatchDelay for StartTime after the start of Run, in which
	// many keys may change because many processes start; 0 for none.
	StartTime, StartBatchDelay time.Duration
	// ReadAfter is the age of the known state from which the prefix is read after a
	// change, in place of watching it from there; 0 for no limit. It is for prefixes
	// of a few large values, of which a watch returns each one that was replaced.
	ReadAfter time.Duration
	// Unwatched is called before each watch; nil for a follower that always watches. While it
	// returns true no watch is sent, and changes are received when a Checker, or the proof of
	// a peer, shows that there are any.
	Unwatched func() bool
	// OnCut is called when a watch has failed or the store has no history for it, so that
	// others may have missed changes as well; nil for none.
	OnCut func()
	// OnRead is called after each read was handled, with the time when it began; nil
	// for none.
	OnRead func(started time.Time)

	startedAt time.Time           // of Run
	revisions map[string]Position // newest position seen, by key
	after     Position            // position from which to watch
	loaded    bool                // the prefix was read at least once
	mustRead  bool                // the next call is a read
	changing  bool                // the last call brought a change
	wasRead   bool                // the last call was a read
	compacted bool                // the last watch found no history
	watchedAt time.Time           // when the last watch was sent
	quiet     bool                // the last watch found no history after it had waited for quietTime
	currentAt time.Time           // the known state was the newest one at this time or later
	failing   bool                // the last call failed
	backoff   time.Duration       // the delay after the last failed call was random, from half of this to all of it

	refresh  refreshRequest // of Refresh
	pending  pendingReads
	progress progress
}

// Refresh makes the follower read the prefix, because the store may have lost its watch
// without an error. A watch that still waits for its answer is given up. A call whose
// answer is arriving, and a read, are not: a process that is behind would otherwise
// begin them again and again. Refresh is safe for concurrent use.
func (f *Follower) Refresh() { f.refresh.request() }

// CurrentAt returns when the known state was shown to be the newest one, by this process or
// a peer; the zero time before the first read. It is safe for concurrent use.
func (f *Follower) CurrentAt() time.Time {
	_, at := f.progress.waiting()
	return at
}

// Position returns the position of the store up to which the known state has all changes; 0
// before the first read. In Handler.Replace it is at least that of the read. It is safe for
// concurrent use.
func (f *Follower) Position() Position { return f.progress.known() }

// Rewatch sends a watch that waits for its answer again, or decides again whether to watch.
// It is safe for concurrent use.
func (f *Follower) Rewatch() { f.refresh.restartWatch() }

// Proof returns the newest proof that this process has of the prefix, without those of
// peers, and false if there is no recent one. It is safe for concurrent use.
func (f *Follower) Proof() (Proof, bool) { return f.progress.proof(f.Prefix) }

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.revisions, f.mustRead, f.startedAt = map[string]Position{}, true, time.Now()
	f.pending.init(f.Store, f.Prefix)
	defer f.pending.stop()
	for ctx.Err() == nil {
		err := f.callStore(ctx)
		if ctx.Err() != nil {
			break
		}
		var compacted *CompactedError
		var era *EraError
		switch {
		case err == nil, errors.Is(err, errInterrupted):
		case errors.As(err, &compacted):
			f.Log.Warn("store history compacted, reading the prefix again", "prefix", f.Prefix, "after", compacted.After)
			f.handleCompaction(ctx)
		case errors.As(err, &era):
			f.Log.Info("store in another era, reading the prefix again", "prefix", f.Prefix, "after", f.after, "era", era.Current)
			f.handleCompaction(ctx)
		default:
			f.mustRead = true
			f.handleFailure(ctx, err)
		}
	}
	return nil
}

// errInterrupted means that Refresh has ended a watch, which is not a failure of the
// store.
var errInterrupted = errors.New("watch interrupted")

// callStore makes one call to the store, a read or a watch, and passes its result to
// the handler.
func (f *Follower) callStore(ctx context.Context) error {
	if f.mustRead || f.refresh.pending() {
		return f.read(ctx)
	}
	if f.behind() {
		sleep(ctx, min(time.Since(f.currentAt), maxReadPause)) // leaves the link and the processor to requests
		return f.read(ctx)
	}
	return f.watch(ctx)
}

// behind reports whether there may be further changes that a watch would return one by
// one: a read brought a change, or a change took long to arrive or to be handled.
func (f *Follower) behind() bool {
	if f.ReadAfter == 0 || !f.changing {
		return false
	}
	return f.wasRead || time.Since(f.currentAt) > f.ReadAfter
}

// read reads the prefix and passes it to the handler if it has changed.
func (f *Follower) read(ctx context.Context) error {
	f.refresh.clear()
	f.mustRead = true // until the read succeeds
	got, err := f.pending.next(ctx)
	if err != nil {
		return err
	}
	revisions := make(map[string]Position, len(got.items))
	for _, item := range got.items {
		revisions[item.Key] = item.Revision
	}
	isNew := !f.loaded || !maps.Equal(revisions, f.revisions)
	// The first read is not a change, but there may be changes by the end of a long one.
	f.changing = isNew && !f.quiet && (f.loaded || f.ReadAfter > 0 && time.Since(got.started) > f.ReadAfter)
	f.quiet = false
	f.revisions, f.after, f.currentAt = revisions, got.at, got.started
	f.loaded, f.mustRead, f.wasRead = true, false, true
	f.progress.recordRead(got.at, isNew, got.started)
	f.handleSuccess()
	if isNew {
		f.Handler.Replace(got.items)
	}
	if f.OnRead != nil {
		f.OnRead(got.started)
	}
	return nil
}

// watch waits for changes and passes them to the handler.
func (f *Follower) watch(ctx context.Context) error {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !f.refresh.startWait(cancel) {
		return nil
	}
	if f.Unwatched != nil && f.Unwatched() {
		f.waitForRefresh(waitCtx)
		return f.poll(ctx)
	}
	started := time.Now()
	f.watchedAt = started
	f.progress.startWait(false)
	items, after, err := f.Store.Watch(waitCtx, f.Prefix, f.after, WatchWait, f.handleAnswer)
	f.refresh.endWait()
	f.progress.endWait()
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		f.Log.Info("watch given up", "prefix", f.Prefix, "after", f.after, "took_ms", time.Since(started).Milliseconds(), "error", err.Error())
		return errInterrupted
	}
	if err != nil {
		return err
	}
	f.handleChanges(items, after)
	if f.changing {
		sleep(ctx, f.batchDelay())
	}
	return nil
}

// handleChanges handles the answer to a watch.
func (f *Follower) handleChanges(items []Item, after Position) {
	f.handleSuccess()
	f.after = max(after, f.after)
	f.changing, f.wasRead, f.compacted = len(items) > 0, false, false
	for _, item := range newestItems(items) {
		f.change(item)
	}
	f.progress.recordWatch(f.after, items, f.currentAt)
}

// batchDelay returns the time from a change to the next call.
func (f *Follower) batchDelay() time.Duration {
	if time.Since(f.startedAt) < f.StartTime {
		return f.StartBatchDelay
	}
	return f.BatchDelay
}

// handleAnswer records that the answer to a watch begins to arrive.
func (f *Follower) handleAnswer() {
	f.currentAt = time.Now()
	f.refresh.endWait()
	f.progress.endWait()
}

// lastRevision returns the position of the newest item; 0 if there is none.
func lastRevision(items []Item) Position {
	last := Position(0)
	for _, item := range items {
		last = max(last, item.Revision)
	}
	return last
}

// newestItems returns the last item of each key, in the order of items.
func newestItems(items []Item) []Item {
	last := make(map[string]int, len(items))
	for i, item := range items {
		last[item.Key] = i
	}
	newest := make([]Item, 0, len(last))
	for i, item := range items {
		if last[item.Key] == i {
			newest = append(newest, item)
		}
	}
	return newest
}

// change passes a change to the handler, unless it is older than the result of a
// read.
func (f *Follower) change(item Item) {
	if item.Revision <= f.revisions[item.Key] {
		return
	}
	f.revisions[item.Key] = item.Revision
	if item.Deleted {
		delete(f.revisions, item.Key) // later changes have higher revisions, so this one need not be kept
	}
	f.Handler.Change(item)
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

// handleCompaction makes the next call a read. A store that drops its history faster
// than the prefix can be read must not be called without a pause.
func (f *Follower) handleCompaction(ctx context.Context) {
	f.mustRead = true
	f.quiet = time.Since(f.watchedAt) > quietTime
	f.reportCut()
	if f.compacted {
		sleep(ctx, minBackoff)
	}
	f.compacted = true
}

func (f *Follower) reportCut() {
	if f.OnCut != nil {
		f.OnCut()
	}
}

func (f *Follower) handleSuccess() {
	f.backoff = 0
	if f.failing {
		f.failing = false
		f.Log.Info("store available again", "prefix", f.Prefix)
		f.Handler.Restored()
	}
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	if !f.failing {
		f.failing = true
		f.Log.Warn("store unavailable", "prefix", f.Prefix, "error", err.Error())
		f.reportCut()
	}
	f.Handler.Failed(err)
	f.backoff = min(max(f.backoff*2, minBackoff), maxBackoff)
	sleep(ctx, f.backoff/2+rand.N(f.backoff/2)) // random, so that the gateways do not call at the same time
}

package follow

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scriptedStore answers the calls from lists of answers. It calls done when
// there are no more answers to watches.
type scriptedStore struct {
	Store
	mu      sync.Mutex
	ranges  []reply
	watches []reply
	afters  []Position // revisions after which watches began
	done    context.CancelFunc
}

type reply struct {
	items    []Item
	revision Position
	err      error
}

func (s *scriptedStore) Range(context.Context, string, func()) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ranges[0]
	s.ranges = s.ranges[1:]
	return r.items, r.revision, r.err
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after Position, _ time.Duration, _ func()) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afters = append(s.afters, after)
	if len(s.watches) == 0 {
		s.done()
		return nil, 0, ctx.Err()
	}
	r := s.watches[0]
	s.watches = s.watches[1:]
	return r.items, r.revision, r.err
}

// recorder records the calls of a follower.
type recorder struct{ events []string }

func (r *recorder) Replace(items []Item) {
	r.events = append(r.events, "replace")
	for _, i := range items {
		r.events = append(r.events, " "+i.Key+"="+string(i.Value))
	}
}

func (r *recorder) Change(i Item) {
	value := string(i.Value)
	if i.Deleted {
		value = "deleted"
	}
	r.events = append(r.events, i.Key+"="+value)
}
func (r *recorder) Failed(error) { r.events = append(r.events, "failed") }
func (r *recorder) Restored()    { r.events = append(r.events, "restored") }

func run(t *testing.T, s *scriptedStore) *recorder {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.done = cancel
	r := &recorder{}
	f := &Follower{Store: s, Prefix: "p/", Handler: r, Log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against changes that are lost because the store has compacted its
// history: the prefix must be read again.
func TestReadsAgainAfterCompaction(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{
		ranges:  []reply{{items: []Item{{Key: "p/a", Value: []byte("1"), Revision: 3}}, revision: 5}, {items: []Item{{Key: "p/a", Value: []byte("2"), Revision: 9}}, revision: 9}},
		watches: []reply{{err: &CompactedError{After: 5}}},
	}
	r := run(t, s)
	is.Equal(r.events, []string{"replace", " p/a=1", "replace", " p/a=2"})
	is.Equal(s.afters, []Position{5, 9})
}

// Guards against applying older changes: the pages of a read are not a
// snapshot, so a watch may return changes that a page already contained.
func TestIgnoresOlderChanges(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{
		ranges: []reply{{items: []Item{{Key: "p/a", Value: []byte("new"), Revision: 8}}, revision: 5}},
		watches: []reply{{revision: 9, items: []Item{{Key: "p/a", Value: []byte("old"), Revision: 6},
			{Key: "p/b", Value: []byte("x"), Revision: 7}, {Key: "p/a", Deleted: true, Revision: 9}}}},
	}
	is.Equal(run(t, s).events, []string{"replace", " p/a=new", "p/b=x", "p/a=deleted"})
}

// Guards against an outage that is not reported, against a watch that restarts from
// a wrong revision after it, and against an unchanged prefix that is handled again.
func TestContinuesAfterAnOutage(t *testing.T) {
	is := is.New(t)
	failure := errors.New("reset")
	changed := []Item{{Key: "p/a", Value: []byte("1"), Revision: 9}}
	s := &scriptedStore{
		ranges:  []reply{{err: failure}, {revision: 4}, {err: failure}, {revision: 7}, {items: changed, revision: 9}},
		watches: []reply{{revision: 6}, {err: failure}, {revision: 8}, {err: failure}, {revision: 10}},
	}
	r := run(t, s)
	is.Equal(r.events, []string{"failed", "restored", "replace", "failed", "failed", "restored", "failed", "restored", "replace", " p/a=1"})
	is.Equal(s.afters, []Position{4, 6, 7, 8, 9, 10})
}

// watchLosingStore answers Range and the second watch. Other watches block until
// their context ends.
type watchLosingStore struct {
	Store
	watches    chan struct{}
	watchCalls int
}

func (s *watchLosingStore) Range(context.Context, string, func()) ([]Item, Position, error) {
	return nil, 1, nil
}

func (s *watchLosingStore) Watch(ctx context.Context, _ string, _ Position, _ time.Duration, _ func()) ([]Item, Position, error) {
	s.watchCalls++
	if s.watchCalls == 2 {
		return []Item{{Key: "p/a", Value: []byte("1"), Revision: 2}}, 2, nil
	}
	s.watches <- struct{}{}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a change that is not seen until a watch ends because the store
// has lost the watch without an error: a deleted route was then served for
// seconds.
func TestRefreshReplacesALostWatch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &watchLosingStore{watches: make(chan struct{})}
	r := &recorder{}
	f := &Follower{Store: s, Prefix: "p/", Handler: r, Log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
	f.Refresh() // no watch is active yet
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	<-s.watches
	f.Refresh()
	<-s.watches // the third watch: the second returned the change
	cancel()
	<-done
	is.Equal(r.events, []string{"replace", "p/a=1"})
}

// Guards against memory that grows with each key that was ever in the store.
func TestDeletedKeysAreForgotten(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &scriptedStore{
		ranges:  []reply{{items: []Item{{Key: "p/a", Value: []byte("1"), Revision: 3}}, revision: 5}},
		watches: []reply{{revision: 7, items: []Item{{Key: "p/b", Value: []byte("2"), Revision: 6}, {Key: "p/a", Deleted: true, Revision: 7}}}},
		done:    cancel,
	}
	f := &Follower{Store: s, Prefix: "p/", Handler: &recorder{}, Log: slog.New(slog.DiscardHandler)}
	is.NoErr(f.Run(ctx))
	is.Equal(f.revisions, map[string]Position{"p/b": 6})
}

// Guards against time that is spent on values which a later change of the same answer
// replaces.
func TestReplacedValuesAreNotHandled(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{
		ranges: []reply{{revision: 1}},
		watches: []reply{{revision: 5, items: []Item{{Key: "p/a", Value: []byte("1"), Revision: 2}, {Key: "p/b", Value: []byte("1"), Revision: 3},
			{Key: "p/a", Value: []byte("2"), Revision: 4}, {Key: "p/b", Deleted: true, Revision: 5}}}},
	}
	is.Equal(run(t, s).events, []string{"replace", "p/a=2", "p/b=deleted"})
}

// changingStore is a Store in which a key changes all the time, so that each watch returns
// at once. It counts the watches.
type changingStore struct {
	Store
	watches atomic.Int32
}

func (s *changingStore) Range(context.Context, string, func()) ([]Item, Position, error) {
	return nil, 1, nil
}

func (s *changingStore) Watch(_ context.Context, _ string, after Position, _ time.Duration, _ func()) ([]Item, Position, error) {
	s.watches.Add(1)
	return []Item{{Key: "k", Revision: after + 1}}, after + 1, nil
}

// Guards against the pattern "all machines start at once": each server registers and each
// process watches, so that the calls grow with the product of both numbers.
func TestChangesAreCollectedForLongerAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &changingStore{}
		f := &Follower{Store: store, Prefix: "k", Handler: &recorder{}, Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
			BatchDelay: 200 * time.Millisecond, StartTime: 8 * time.Second, StartBatchDelay: time.Second}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(7900 * time.Millisecond)
		is.Equal(store.watches.Load(), int32(8)) // 40 with BatchDelay
		time.Sleep(2 * time.Second)
		after := store.watches.Load()
		is.True(after >= 8+9 && after <= 8+11)
		cancel()
		is.NoErr(<-done)
	})
}

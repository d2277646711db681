package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// maxLag is how long after a write its value must be in force while the process is
	// in touch with the store: half of the time that the platform allows.
	maxLag = 1500 * time.Millisecond
	// writing is how long a test writes values.
	writing = 20 * time.Second
	// The store cannot be reached from cutStart to cutEnd.
	cutStart = 3 * time.Second
	cutEnd   = 7 * time.Second
	// inTouch is when the process counts as in touch with the store again.
	inTouch = cutEnd + 3*time.Second
	// roundTrip is the time of a call without its values.
	roundTrip = 5 * time.Millisecond
	// noticeTime is how long a call takes to fail during the cut.
	noticeTime = 1500 * time.Millisecond
)

var errCut = errors.New("connection timed out")

// storeOverLink is a model of the platform's store behind a slow link. It has one
// key, which is written every gap with the number of the write as its value and its
// revision. A watch returns all values since its revision, one after the other.
type storeOverLink struct {
	Store
	started  time.Time
	gap      time.Duration // time between two writes
	transfer time.Duration // time that the link needs for a value
}

// newest returns the number of the last write at a time.
func (s *storeOverLink) newest(at time.Time) Position {
	return 1 + Position(min(max(at.Sub(s.started), 0), writing)/s.gap)
}

func (s *storeOverLink) item(n Position) Item {
	return Item{Key: "p", Value: []byte(strconv.FormatInt(int64(n), 10)), Revision: n}
}

// wait passes the time of a part of a call. It fails if ctx ends, or if the cut
// begins meanwhile.
func (s *storeOverLink) wait(ctx context.Context, d time.Duration) error {
	now := time.Since(s.started)
	var err error
	if now < cutEnd && now+d > cutStart {
		d, err = max(cutStart-now, 0)+noticeTime, errCut
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return err
	}
}

func (s *storeOverLink) Range(ctx context.Context, _ string, answered func()) ([]Item, Position, error) {
	if err := s.wait(ctx, roundTrip); err != nil {
		return nil, 0, err
	}
	answered()
	n := s.newest(time.Now())
	if err := s.wait(ctx, s.transfer); err != nil {
		return nil, 0, err
	}
	return []Item{s.item(n)}, n, nil
}

func (s *storeOverLink) Watch(ctx context.Context, _ string, after Position, wait time.Duration, answered func()) ([]Item, Position, error) {
	n := after
	for end := time.Now().Add(wait); n <= after; n = s.newest(time.Now()) {
		if time.Now().After(end) {
			return nil, after, nil
		}
		if err := s.wait(ctx, roundTrip); err != nil {
			return nil, 0, err
		}
	}
	answered()
	var items []Item
	for next := after + 1; next <= n; next++ {
		if err := s.wait(ctx, s.transfer); err != nil {
			return nil, 0, err
		}
		items = append(items, s.item(next))
	}
	return items, n, nil
}

// newestHandler records the last value that it was given.
type newestHandler struct{ inForce atomic.Int64 }

func (h *newestHandler) Replace(items []Item) {
	for _, item := range items {
		h.Change(item)
	}
}

func (h *newestHandler) Change(item Item) {
	n, err := strconv.ParseInt(string(item.Value), 10, 64)
	if err != nil || n < h.inForce.Load() {
		panic(fmt.Sprintf("value %q after %d", item.Value, h.inForce.Load()))
	}
	h.inForce.Store(n)
}

func (*newestHandler) Failed(error) {}
func (*newestHandler) Restored()    {}

// behindFor follows a series of writes with a cut in it and returns the longest time
// from a write until its value or a newer one was in force, while the process was in
// touch with the store. If reportEvery is not 0, peers report that often that they have
// a newer value.
func behindFor(t *testing.T, s *storeOverLink, reportEvery time.Duration) time.Duration {
	t.Helper()
	s.started = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	h := &newestHandler{}
	f := &Follower{Store: s, Prefix: "p", Handler: h, Log: slog.New(slog.DiscardHandler), ReadAfter: 150 * time.Millisecond}
	var group sync.WaitGroup
	group.Go(func() { _ = f.Run(ctx) })
	group.Go(func() {
		for reportEvery > 0 && ctx.Err() == nil {
			time.Sleep(reportEvery)
			if Position(h.inForce.Load()) < s.newest(time.Now()) {
				f.Refresh()
			}
		}
	})
	const step = 10 * time.Millisecond
	currentAt, worst := s.started, time.Duration(0) // the value in force was the newest one at currentAt
	for time.Since(s.started) < writing+maxLag {
		time.Sleep(step)
		now := time.Now()
		for Position(h.inForce.Load()) >= s.newest(currentAt) && currentAt.Before(now) {
			currentAt = currentAt.Add(step)
		}
		if at := now.Sub(s.started); at < cutStart || at > inTouch {
			worst = max(worst, now.Sub(currentAt))
		}
	}
	cancel()
	group.Wait()
	return worst
}

// convergenceCases are times between two writes, and times that the link needs for
// one of the values: 1,400 routes over 20 Mbit/s take about 0.19 s.
var convergenceCases = []storeOverLink{
	{gap: 200 * time.Millisecond, transfer: 190 * time.Millisecond},
	{gap: 200 * time.Millisecond, transfer: 400 * time.Millisecond},
	{gap: 400 * time.Millisecond, transfer: 150 * time.Millisecond},
	{gap: 800 * time.Millisecond, transfer: 190 * time.Millisecond},
	{gap: 100 * time.Millisecond, transfer: 20 * time.Millisecond},
	{gap: 20 * time.Millisecond, transfer: 190 * time.Millisecond},
}

// Guards against a process that was cut off for seconds and stays behind, because it
// reads all values that it has missed, and more are written meanwhile.
func TestCatchUpDoesNotDependOnTheMissedChanges(t *testing.T) {
	for _, c := range convergenceCases {
		t.Run(fmt.Sprintf("gap %v transfer %v", c.gap, c.transfer), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if behind := behindFor(t, &c, 0); behind > maxLag {
					t.Errorf("behind for %v, want at most %v", behind, maxLag)
				}
			})
		})
	}
}

// Guards against a process that stays behind because peers report newer values
// while it reads them, and each report gives up the read.
func TestReportsOfPeersDoNotKeepAProcessBehind(t *testing.T) {
	for _, c := range convergenceCases {
		for _, every := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("gap %v transfer %v reports %v", c.gap, c.transfer, every), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					if behind := behindFor(t, &c, every); behind > maxLag {
						t.Errorf("behind for %v, want at most %v", behind, maxLag)
					}
				})
			})
		}
	}
}

// compactingStore drops its history faster than its prefix can be read.
type compactingStore struct {
	Store
	calls atomic.Int64
}

func (s *compactingStore) Range(context.Context, string, func()) ([]Item, Position, error) {
	return []Item{{Key: "p", Value: []byte("1"), Revision: Position(s.calls.Add(1))}}, 1, nil
}

func (s *compactingStore) Watch(context.Context, string, Position, time.Duration, func()) ([]Item, Position, error) {
	s.calls.Add(1)
	return nil, 0, &CompactedError{After: 1}
}

// Guards against calls without a pause, which the platform charges, to a store that
// never has the history of a watch.
func TestCompactedHistoryIsNotReadWithoutAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &compactingStore{}
		f := &Follower{Store: s, Prefix: "p", Handler: &recorder{}, Log: slog.New(slog.DiscardHandler)}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := f.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if calls := s.calls.Load(); calls > 50 {
			t.Errorf("%d calls in 3 s", calls)
		}
	})
}

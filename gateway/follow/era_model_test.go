package follow

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var modelDraws = flag.Uint64("follow.draws", 2000, "draws of the model of a store with eras")

// restoredStore is a store that may be restored from a copy. Its watches wait on then.
type restoredStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	era      int64
	revision int64
	values   map[string]int64 // revision of each key that is set
	history  []Item           // with revisions of era 0
	oldest   int64            // the history begins after this revision
	base     map[string]int64 // values at oldest
	away     bool             // calls fail
	silent   bool             // calls get no answer
	slowest  time.Duration    // longest time that an answer takes
}

func (s *restoredStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if deleted {
		delete(s.values, key)
	} else {
		s.values[key] = s.revision
	}
	s.history = append(s.history, Item{Key: key, Revision: Position(s.revision), Deleted: deleted})
}

// state returns the keys with their positions.
func (s *restoredStore) state() map[string]Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]Position{}
	for key, revision := range s.values {
		out[key] = NewPosition(s.era, revision)
	}
	return out
}

// restore continues from the state that a store had lost some changes before.
func (s *restoredStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.history[:max(0, len(s.history)-lost)]
	s.history = append([]Item(nil), kept...)
	s.era++
	s.revision = s.oldest
	s.values = map[string]int64{}
	maps.Copy(s.values, s.base)
	for _, item := range s.history {
		s.revision = int64(item.Revision)
		if item.Deleted {
			delete(s.values, item.Key)
		} else {
			s.values[item.Key] = s.revision
		}
	}
}

var errAway = fmt.Errorf("the store is away")

// readLimit and watchSlack are how long the adapter to the store waits for the answer to a read,
// and for that to a watch beyond the time that the store may hold it.
const (
	readLimit  = 6 * time.Second
	watchSlack = 1500 * time.Millisecond
)

// enter waits for a while, like a call on its way, and returns whether it arrives. A call that is
// not answered is given up after a limit.
func (s *restoredStore) enter(ctx context.Context, limit time.Duration) error {
	s.mu.Lock()
	pause, away, silent := time.Duration(s.rng.Int64N(int64(s.slowest))), s.away, s.silent
	s.mu.Unlock()
	if silent {
		pause, away = limit, true
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
	}
	if away {
		return errAway
	}
	return nil
}

func (s *restoredStore) Range(ctx context.Context, prefix string, answered func()) ([]Item, Position, error) {
	if err := s.enter(ctx, readLimit); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	var items []Item
	for key, revision := range s.values {
		if strings.HasPrefix(key, prefix) {
			items = append(items, Item{Key: key, Revision: NewPosition(s.era, revision)})
		}
	}
	at := NewPosition(s.era, s.revision)
	s.mu.Unlock()
	if err := s.enter(ctx, readLimit); err != nil { // the answer may come late
		return nil, 0, err
	}
	answered()
	return items, at, s.checkEra(at.Era())
}

// checkEra is the check of the adapter to the store: answers of earlier eras are dropped.
func (s *restoredStore) checkEra(era int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era {
		return &EraError{Known: era, Current: s.era}
	}
	return nil
}

func (s *restoredStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration, answered func()) ([]Item, Position, error) {
	if err := s.enter(ctx, wait+watchSlack); err != nil {
		return nil, 0, err
	}
	const step = 10 * time.Millisecond
	for end := time.Now().Add(wait); ; {
		items, at, err := s.changes(prefix, after)
		if err != nil || len(items) > 0 || !time.Now().Before(end) {
			answered()
			if err == nil {
				err = s.checkEra(after.Era())
			}
			return items, at, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(min(step, time.Until(end))):
		}
	}
}

// changes returns the changes with revisions after that of a position, of whatever era.
func (s *restoredStore) changes(prefix string, after Position) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Revision() < s.oldest {
		return nil, 0, &CompactedError{After: after}
	}
	var items []Item
	for _, item := range s.history {
		if item.Revision.Revision() > after.Revision() && strings.HasPrefix(item.Key, prefix) {
			item.Revision = NewPosition(s.era, item.Revision.Revision())
			items = append(items, item)
		}
	}
	return items, NewPosition(s.era, s.revision), nil
}

func (*restoredStore) Grant(context.Context, time.Duration) (Lease, error) { return Lease{ID: 1}, nil }
func (*restoredStore) Renew(context.Context, Lease) error                  { return nil }
func (*restoredStore) Put(context.Context, string, []byte, Lease) error    { return nil }

// stateHandler is a Handler that keeps the positions of the keys.
type stateHandler struct {
	mu    sync.Mutex
	state map[string]Position
}

func (h *stateHandler) Replace(items []Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = map[string]Position{}
	for _, item := range items {
		h.state[item.Key] = item.Revision
	}
}

func (h *stateHandler) Change(item Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if item.Deleted {
		delete(h.state, item.Key)
		return
	}
	h.state[item.Key] = item.Revision
}

func (*stateHandler) Failed(error) {}
func (*stateHandler) Restored()    {}

// modelInterval is the interval of the checker, and modelBound the time within which a follower
// must know the last change: a check, the time limit of reads that are not answered, and a read.
const (
	modelInterval = time.Second
	modelBound    = readLimit + 6*time.Second
)

// Guards against a follower whose state is not that of the store for longer than a check and a
// read take, in any order of changes, restores, lost watches, outages, late answers
// and histories that were dropped.
func TestFollowerConvergesOverEras(t *testing.T) {
	for seed := range *modelDraws {
		synctest.Test(t, func(t *testing.T) { playEras(t, seed) })
		if t.Failed() {
			return
		}
	}
}

func playEras(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &restoredStore{rng: rand.New(rand.NewPCG(seed, 2)), era: 1, values: map[string]int64{}, slowest: time.Duration(1 + rng.IntN(int(300*time.Millisecond)))}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	handlers := map[string]*stateHandler{}
	c := &Checker{Store: s, Log: slog.New(slog.DiscardHandler), Interval: modelInterval}
	for i, prefix := range []string{"a/", "b/"} {
		h := &stateHandler{}
		handlers[prefix] = h
		f := &Follower{Store: s, Prefix: prefix, Handler: h, Log: c.Log}
		if i == 1 && rng.IntN(2) == 0 {
			f.Unwatched = func() bool { return true }
		}
		c.Followers = append(c.Followers, f)
	}
	for _, f := range c.Followers {
		group.Go(func() { _ = f.Run(ctx) })
	}
	group.Go(func() { _ = c.Run(ctx) })
	for range 1 + rng.IntN(25) {
		s.disturb(rng)
		time.Sleep(time.Duration(rng.IntN(int(time.Second))))
	}
	s.mu.Lock()
	s.away, s.silent = false, false
	s.mu.Unlock()
	time.Sleep(modelBound)
	for prefix, h := range handlers {
		want := s.state()
		maps.DeleteFunc(want, func(key string, _ Position) bool { return !strings.HasPrefix(key, prefix) })
		h.mu.Lock()
		if !maps.Equal(h.state, want) {
			t.Errorf("seed %d: %s is %v, the store has %v", seed, prefix, h.state, want)
		}
		h.mu.Unlock()
	}
	cancel()
	group.Wait()
}

// disturb makes one change to the store or to the calls to it.
func (s *restoredStore) disturb(rng *rand.Rand) {
	key := fmt.Sprint([]string{"a/", "b/", "c/"}[rng.IntN(3)], rng.IntN(3))
	switch rng.IntN(8) {
	case 0, 1, 2:
		for range 1 + rng.IntN(5) {
			s.write(key, rng.IntN(4) == 0)
		}
	case 3, 4:
		s.restore(rng.IntN(20))
		for range rng.IntN(25) { // may pass the lost revisions
			s.write(key, rng.IntN(4) == 0)
		}
	case 5:
		s.mu.Lock()
		s.away = !s.away
		s.mu.Unlock()
	case 6:
		s.mu.Lock()
		s.silent = !s.silent
		s.mu.Unlock()
	case 7:
		s.mu.Lock()
		s.history, s.oldest, s.base = nil, s.revision, maps.Clone(s.values)
		s.mu.Unlock()
	}
}

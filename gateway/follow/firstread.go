package follow

import (
	"context"
	"strings"
	"sync"
	"time"
)

// firstReadLimit bounds the read of all prefixes. The followers read on their own before.
const firstReadLimit = 10 * time.Second

// FirstRead is a Store that answers the first read of each prefix, and the first one after
// Restart, from one read of all prefixes, which costs one call. All other calls go to the
// store itself, further reads of a prefix too, so that a failure or the silence of the one
// read costs a follower no more than that of its own.
type FirstRead struct {
	Store
	// Prefix is the common prefix of those that are read.
	Prefix string

	mu   sync.Mutex
	used map[string]bool // prefixes that have been read
	all  *wholeRead      // nil before its begin
}

// wholeRead is one read of all prefixes.
type wholeRead struct {
	answered chan struct{} // closed when the answer begins to arrive
	done     chan struct{} // closed at the end

	// The following fields are set before done is closed.

	items []Item
	at    Position
	err   error
}

// Restart makes the next read of each prefix be answered from a new read of all prefixes.
func (s *FirstRead) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used, s.all = nil, nil
}

// Range implements Store.
func (s *FirstRead) Range(ctx context.Context, prefix string, answered func()) ([]Item, Position, error) {
	all := s.begin(ctx, prefix)
	if all == nil {
		return s.Store.Range(ctx, prefix, answered)
	}
	for began := all.answered; ; {
		select {
		case <-began:
			answered()
			began = nil
		case <-all.done:
			if all.err != nil {
				return nil, 0, all.err
			}
			return ofPrefix(all.items, prefix), all.at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// begin begins the read of all prefixes if it has not begun. It returns nil if the prefix is
// to be read alone.
func (s *FirstRead) begin(ctx context.Context, prefix string) *wholeRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(prefix, s.Prefix) || s.used[prefix] {
		return nil
	}
	if s.all == nil {
		s.used, s.all = map[string]bool{}, &wholeRead{answered: make(chan struct{}), done: make(chan struct{})}
		go s.read(context.WithoutCancel(ctx), s.all) // other followers wait for it, whatever becomes of this one
	}
	s.used[prefix] = true
	return s.all
}

func (s *FirstRead) read(ctx context.Context, all *wholeRead) {
	defer close(all.done)
	ctx, cancel := context.WithTimeout(ctx, firstReadLimit)
	defer cancel()
	began := sync.OnceFunc(func() { close(all.answered) })
	all.items, all.at, all.err = s.Store.Range(ctx, s.Prefix, began)
}

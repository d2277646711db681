package follow

import (
	"context"
	"strings"
	"sync"
	"time"
)

// firstReadLimit bounds the read of all prefixes. The followers read on their own before.
const firstReadLimit = 10 * time.Second

// FirstRead is a Store that answers the first read of each prefix from one read of all
// prefixes, which costs one call. All other calls go to the store itself, further reads of
// a prefix too, so that a failure or the silence of the one read costs a follower no more
// than that of its own.
type FirstRead struct {
	Store
	// Prefix is the common prefix of those that are read.
	Prefix string

	mu       sync.Mutex
	used     map[string]bool // prefixes that have been read
	answered chan struct{}   // closed when the answer to the one read begins to arrive
	done     chan struct{}   // closed at the end of the one read; nil before its begin

	// The following fields are set before done is closed.

	items    []Item
	revision int64
	err      error
}

// Range implements Store.
func (s *FirstRead) Range(ctx context.Context, prefix string, answered func()) ([]Item, int64, error) {
	if !s.begin(ctx, prefix) {
		return s.Store.Range(ctx, prefix, answered)
	}
	for began := s.answered; ; {
		select {
		case <-began:
			answered()
			began = nil
		case <-s.done:
			if s.err != nil {
				return nil, 0, s.err
			}
			return ofPrefix(s.items, prefix), s.revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// begin begins the read of all prefixes if it has not begun. It returns false if the prefix
// is to be read alone.
func (s *FirstRead) begin(ctx context.Context, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(prefix, s.Prefix) || s.used[prefix] {
		return false
	}
	if s.used == nil {
		s.used, s.answered, s.done = map[string]bool{}, make(chan struct{}), make(chan struct{})
		go s.read(context.WithoutCancel(ctx)) // other followers wait for it, whatever becomes of this one
	}
	s.used[prefix] = true
	return true
}

func (s *FirstRead) read(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(ctx, firstReadLimit)
	defer cancel()
	began := sync.OnceFunc(func() { close(s.answered) })
	s.items, s.revision, s.err = s.Store.Range(ctx, s.Prefix, began)
}

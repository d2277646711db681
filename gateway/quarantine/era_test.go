package quarantine

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/follow"
)

// copyOf returns the items of a store.
func copyOf(s *memoryStore) map[string]follow.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items)
}

// restore makes a store continue from a copy in the next era, and the lists read it.
func restore(s *memoryStore, saved map[string]follow.Item, lists []*List) {
	s.mu.Lock()
	era := s.revision.Era() + 1
	s.items, s.revision = map[string]follow.Item{}, follow.NewPosition(era, 1)
	for key, item := range saved {
		item.Revision = follow.NewPosition(era, item.Revision.Revision())
		s.items[key] = item
		s.revision = max(s.revision, item.Revision)
	}
	s.mu.Unlock()
	for _, l := range lists {
		l.Replace(s.list())
	}
}

// Guards against a part on which servers crash being let through again because the store came
// back from a copy that does not have the verdict.
func TestVerdictOutlivesACopyWithoutIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		lists := gateways(t, store, 3, 0)
		saved := copyOf(store)
		convict(lists, "bad")
		time.Sleep(3 * time.Second)
		is.Equal(len(store.list()), 1)
		for range 2 { // two returns in a row
			restore(store, saved, lists)
			for _, l := range lists {
				is.True(refuses(l, "any", "bad"))
			}
			is.Equal(len(store.list()), 0)
			time.Sleep(3 * time.Second)
			is.Equal(len(store.list()), 1)
			is.Equal(store.list()[0].Revision.Era(), store.position().Era())
		}
		for _, l := range lists {
			is.True(refuses(l, "any", "bad"))
		}
	})
}

// Guards against a part that is refused again after its verdict was lifted, because the store
// was restored from a copy that still has it.
func TestLiftedVerdictDoesNotComeBackWithACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		lists := gateways(t, store, 3, 0)
		convict(lists, "part")
		time.Sleep(3 * time.Second)
		saved := copyOf(store)
		is.True(lists[1].Lift("part", "operator"))
		time.Sleep(2 * time.Second)
		is.Equal(len(store.list()), 0)
		restore(store, saved, lists)
		for _, l := range lists {
			is.True(!refuses(l, "any", "part"))
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(store.list()), 0)
		convict(lists, "part") // new evidence counts
		time.Sleep(3 * time.Second)
		for _, l := range lists {
			is.True(refuses(l, "any", "part"))
		}
		is.Equal(len(store.list()), 1)
	})
}

// Guards against an entry that an operator has removed from the store being written again: the
// store has the list of the same era.
func TestRemovedVerdictIsNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		lists := gateways(t, store, 2, 0)
		convict(lists, "part")
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		clear(store.items)
		store.mu.Unlock()
		for _, l := range lists {
			l.Replace(nil)
		}
		time.Sleep(3 * time.Second)
		is.Equal(len(store.list()), 0)
		is.True(!refuses(lists[0], "any", "part"))
	})
}

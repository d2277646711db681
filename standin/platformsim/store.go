package platformsim

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Errors of the store. Each has its own code in the protocol.
var (
	errConflict    = errors.New("the key's revision is not the expected one")
	errTooLarge    = errors.New("the value is too large")
	errLeaseEnded  = errors.New("the lease has ended")
	errUnavailable = errors.New("injected outage")
)

type conflictError struct{ actual uint64 }

func (e *conflictError) Error() string { return fmt.Sprintf("%v: %d", errConflict, e.actual) }

func (e *conflictError) Is(target error) bool { return target == errConflict }

type record struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is the key-value service's state. Its revision never decreases, also
// when an older copy is restored.
type store struct {
	mu         sync.Mutex
	records    map[string]record
	leases     map[uint64]lease
	lastLease  uint64
	revision   uint64
	changed    chan struct{} // closed and replaced on each change
	heldWrites []func()
	savedCopy  map[string][]byte
}

func newStore() *store {
	return &store{records: map[string]record{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
}

func (s *store) get(key string) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.records[key]
}

func (s *store) put(key string, value []byte, expected, lease uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, expected, lease)
}

func (s *store) putLocked(key string, value []byte, expected, lease uint64) (uint64, error) {
	s.expireLeases()
	if len(value) > MaxValueBytes {
		return 0, errTooLarge
	}
	if _, ok := s.leases[lease]; lease != 0 && !ok {
		return 0, errLeaseEnded
	}
	if actual := s.records[key].revision; actual != expected {
		return 0, &conflictError{actual}
	}
	return s.set(key, value, lease), nil
}

func (s *store) set(key string, value []byte, lease uint64) uint64 {
	s.revision++
	s.records[key] = record{value: value, revision: s.revision, lease: lease}
	s.notify()
	return s.revision
}

func (s *store) delete(key string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deleteLocked(key, expected)
}

func (s *store) deleteLocked(key string, expected uint64) error {
	s.expireLeases()
	if actual := s.records[key].revision; actual != expected {
		return &conflictError{actual}
	}
	s.revision++
	delete(s.records, key)
	s.notify()
	return nil
}

func (s *store) list(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	keys := []string{}
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// watch waits until the key's revision is above after. ok is false if ctx
// ended first. outage is called first and after each change; while it reports an
// injected outage, the call fails.
func (s *store) watch(ctx context.Context, key string, after uint64, outage func() bool) (r record, ok bool, err error) {
	for {
		s.mu.Lock()
		s.expireLeases()
		r, changed := s.records[key], s.changed
		s.mu.Unlock()
		if outage() {
			return record{}, false, errUnavailable
		}
		if r.revision > after {
			return r, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return record{}, false, nil
		}
	}
}

func (s *store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.lastLease
}

func (s *store) renew(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return errLeaseEnded
	}
	s.leases[id] = lease{ttl: l.ttl, expiresAt: time.Now().Add(l.ttl)}
	return nil
}

func (s *store) revoke(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// expireLeases ends the leases that have expired; s.mu is held.
func (s *store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			s.revision++
			delete(s.records, key)
		}
	}
	s.notify()
}

// holdWrite stores a write until release.
func (s *store) holdWrite(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldWrites = append(s.heldWrites, apply)
}

// release applies the held writes in their order and returns their number.
func (s *store) release() int {
	s.mu.Lock()
	heldWrites := s.heldWrites
	s.heldWrites = nil
	s.mu.Unlock()
	for _, apply := range heldWrites {
		apply()
	}
	return len(heldWrites)
}

// saveCopy stores a copy of the content for restore and returns the number of its
// keys. Keys that have a lease are left out, since a restore ends all leases.
func (s *store) saveCopy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.savedCopy = map[string][]byte{}
	for key, r := range s.records {
		if r.lease == 0 {
			s.savedCopy[key] = r.value
		}
	}
	return len(s.savedCopy)
}

// restore replaces the content with the copy and returns the number of its keys,
// which get new revisions. Without a copy the store is emptied.
func (s *store) restore() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.records = map[string]record{}
	s.leases = map[uint64]lease{}
	for key, value := range s.savedCopy {
		s.set(key, value, 0)
	}
	s.notify()
	return len(s.records)
}

// wakeWatches makes waiting watches check the faults again.
func (s *store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

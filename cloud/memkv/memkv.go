// Package memkv is an in-memory cloud.KV for tests. It simulates outages, lost
// requests, lost responses to writes that took effect, and delayed writes that
// take effect after their caller has given up.
package memkv

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"camphorwick.dev/cloud"
)

var (
	errOutage = errors.New("injected outage")
	errLost   = errors.New("injected message loss")
)

// Fault is a failure that is injected into one Put.
type Fault int

// Faults of a Put.
const (
	// None performs the write normally.
	None Fault = iota
	// LoseAnswer performs the write and returns an UncertainError.
	LoseAnswer
	// LoseRequest drops the write and returns an UncertainError.
	LoseRequest
	// Hold returns an UncertainError immediately. ReleaseHeld applies the write
	// if its expected revision still matches then.
	Hold
)

// Calls counts the calls of a Store: Get and List as Reads, Watch as Watches, all
// others as Writes.
type Calls struct {
	Reads, Writes, Watches int
}

// Store is an in-memory key-value store. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	records    map[string]record
	leases     map[cloud.LeaseID]time.Time
	ttls       map[cloud.LeaseID]time.Duration
	revision   uint64
	lastLease  cloud.LeaseID
	changed    chan struct{} // closed and replaced on each change
	down       bool
	fault      func(key string) Fault
	heldWrites []func() // applied by ReleaseHeld
	calls      Calls
}

type record struct {
	cloud.Entry
	lease cloud.LeaseID
}

var _ cloud.KV = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		records: map[string]record{},
		leases:  map[cloud.LeaseID]time.Time{},
		ttls:    map[cloud.LeaseID]time.Duration{},
		changed: make(chan struct{}),
	}
}

// SetDown starts or ends an outage, in which all calls return an
// UnavailableError.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetFault installs a function that selects the fault of each Put; nil means no
// faults. The function is called with the store locked.
func (s *Store) SetFault(fault func(key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ReleaseHeld applies the writes delayed by Hold.
func (s *Store) ReleaseHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.heldWrites {
		apply()
	}
	s.heldWrites = nil
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Restore replaces the content like a restore from a backup. Revisions continue
// to increase.
func (s *Store) Restore(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = map[string]record{}
	for key, value := range values {
		s.setRecord(key, value, 0)
	}
}

// Get implements cloud.KV.
func (s *Store) Get(ctx context.Context, key string) (cloud.Entry, error) {
	if err := ctx.Err(); err != nil {
		return cloud.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	if s.down {
		return cloud.Entry{}, &cloud.UnavailableError{Operation: "get " + key, Cause: errOutage}
	}
	s.expireLeases()
	return s.records[key].Entry, nil
}

// Put implements cloud.KV.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, &cloud.UnavailableError{Operation: "put " + key, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.down {
		return 0, &cloud.UnavailableError{Operation: "put " + key, Cause: errOutage}
	}
	value = append([]byte(nil), value...)
	uncertain := &cloud.UncertainError{Operation: "put " + key, Cause: errLost}
	switch s.nextFault(key) {
	case LoseAnswer:
		_, _ = s.applyPut(key, value, expected, lease)
		return 0, uncertain
	case LoseRequest:
		return 0, uncertain
	case Hold:
		s.heldWrites = append(s.heldWrites, func() { _, _ = s.applyPut(key, value, expected, lease) })
		return 0, uncertain
	}
	return s.applyPut(key, value, expected, lease)
}

func (s *Store) nextFault(key string) Fault {
	if s.fault == nil {
		return None
	}
	return s.fault(key)
}

// applyPut performs a write; the caller holds s.mu.
func (s *Store) applyPut(key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	s.expireLeases()
	if len(value) > cloud.MaxValueBytes {
		return 0, &cloud.TooLargeError{Key: key, Size: len(value)}
	}
	if _, ok := s.leases[lease]; lease != 0 && !ok {
		return 0, &cloud.LeaseError{ID: lease}
	}
	if actual := s.records[key].Revision; actual != expected {
		return 0, &cloud.ConflictError{Key: key, Expected: expected, Actual: actual}
	}
	return s.setRecord(key, value, lease), nil
}

func (s *Store) setRecord(key string, value []byte, lease cloud.LeaseID) uint64 {
	s.revision++
	s.records[key] = record{cloud.Entry{Value: value, Revision: s.revision}, lease}
	s.notify()
	return s.revision
}

// Delete implements cloud.KV.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.down {
		return &cloud.UnavailableError{Operation: "delete " + key, Cause: errOutage}
	}
	s.expireLeases()
	if actual := s.records[key].Revision; actual != expected {
		return &cloud.ConflictError{Key: key, Expected: expected, Actual: actual}
	}
	delete(s.records, key)
	s.notify()
	return nil
}

// List implements cloud.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	if s.down {
		return nil, &cloud.UnavailableError{Operation: "list " + prefix, Cause: errOutage}
	}
	s.expireLeases()
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Watch implements cloud.KV.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (cloud.Entry, error) {
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expireLeases()
		entry, changed, down := s.records[key].Entry, s.changed, s.down
		s.mu.Unlock()
		if down {
			return cloud.Entry{}, &cloud.UnavailableError{Operation: "watch " + key, Cause: errOutage}
		}
		if entry.Revision > after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return cloud.Entry{}, ctx.Err()
		}
	}
}

// Grant implements cloud.KV.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.down {
		return 0, &cloud.UnavailableError{Operation: "grant", Cause: errOutage}
	}
	s.lastLease++
	s.ttls[s.lastLease] = ttl
	s.leases[s.lastLease] = time.Now().Add(ttl)
	return s.lastLease, nil
}

// Renew implements cloud.KV.
func (s *Store) Renew(ctx context.Context, id cloud.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.down {
		return &cloud.UnavailableError{Operation: "renew", Cause: errOutage}
	}
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		return &cloud.LeaseError{ID: id}
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	return nil
}

// Revoke implements cloud.KV.
func (s *Store) Revoke(ctx context.Context, id cloud.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.down {
		return &cloud.UnavailableError{Operation: "revoke", Cause: errOutage}
	}
	s.endLease(id)
	return nil
}

// expireLeases ends the leases whose TTL has passed; the caller holds s.mu.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, expiry := range s.leases {
		if now.After(expiry) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id cloud.LeaseID) {
	delete(s.leases, id)
	delete(s.ttls, id)
	for key, r := range s.records {
		if r.lease == id {
			delete(s.records, key)
		}
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Package memkv is an in-memory cloud.KV for tests. It simulates outages, lost
// requests, lost responses to calls that took effect, and delayed writes that
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

// Operation is a kind of call.
type Operation string

// Operations. Get, List and Watch read, the others write.
const (
	Get    Operation = "get"
	List   Operation = "list"
	Watch  Operation = "watch"
	Put    Operation = "put"
	Delete Operation = "delete"
	Grant  Operation = "grant"
	Renew  Operation = "renew"
	Revoke Operation = "revoke"
)

func (o Operation) reads() bool { return o == Get || o == List || o == Watch }

// Fault is a failure that is injected into one call. A write that meets one returns
// an UncertainError, a read an UnavailableError.
type Fault int

// Faults of a call.
const (
	// None performs the call normally.
	None Fault = iota
	// LoseAnswer performs the call.
	LoseAnswer
	// LoseRequest drops the call.
	LoseRequest
	// Hold drops a read. A write returns immediately and is performed by
	// ReleaseHeld, with its checks made then.
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
	fault      func(o Operation, key string) Fault
	heldWrites []func() // applied by ReleaseHeld
	calls      Calls
}

type record struct {
	cloud.Record
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

// SetFault installs a function that selects the fault of each call; nil means no
// faults. The key is empty for calls about leases, and the prefix for List. The
// function is called with the store locked.
func (s *Store) SetFault(fault func(o Operation, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetPutFault is SetFault with faults of Put only.
func (s *Store) SetPutFault(fault func(key string) Fault) {
	if fault == nil {
		s.SetFault(nil)
		return
	}
	s.SetFault(func(o Operation, key string) Fault {
		if o != Put {
			return None
		}
		return fault(key)
	})
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
func (s *Store) Get(ctx context.Context, key string) (found cloud.Record, err error) {
	err = s.call(ctx, Get, key, func() error {
		found = s.records[key].Record
		return nil
	})
	return found, err
}

// Put implements cloud.KV.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	value = append([]byte(nil), value...)
	var revision uint64 // not read after a fault: a held write sets it later
	err := s.call(ctx, Put, key, func() (err error) {
		revision, err = s.applyPut(key, value, expected, lease)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// call performs a call about a key with the fault that is selected for it.
func (s *Store) call(ctx context.Context, o Operation, key string, perform func() error) error {
	operation := strings.TrimSpace(string(o) + " " + key)
	if err := ctx.Err(); err != nil {
		if o.reads() {
			return err
		}
		return &cloud.UnavailableError{Operation: operation, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(o)
	if s.down {
		return &cloud.UnavailableError{Operation: operation, Cause: errOutage}
	}
	s.expireLeases()
	fault := None
	if s.fault != nil {
		fault = s.fault(o, key)
	}
	switch {
	case fault == None:
		return perform()
	case o.reads():
		return &cloud.UnavailableError{Operation: operation, Cause: errLost}
	case fault == LoseAnswer:
		_ = perform()
	case fault == Hold:
		s.heldWrites = append(s.heldWrites, func() {
			s.expireLeases()
			_ = perform()
		})
	}
	return &cloud.UncertainError{Operation: operation, Cause: errLost}
}

// count counts a call; the caller holds s.mu.
func (s *Store) count(o Operation) {
	switch {
	case o == Watch:
		s.calls.Watches++
	case o.reads():
		s.calls.Reads++
	default:
		s.calls.Writes++
	}
}

// applyPut performs a write; the caller holds s.mu.
func (s *Store) applyPut(key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
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
	s.records[key] = record{cloud.Record{Value: value, Revision: s.revision}, lease}
	s.notify()
	return s.revision
}

// Delete implements cloud.KV.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	return s.call(ctx, Delete, key, func() error {
		if actual := s.records[key].Revision; actual != expected {
			return &cloud.ConflictError{Key: key, Expected: expected, Actual: actual}
		}
		delete(s.records, key)
		s.notify()
		return nil
	})
}

// List implements cloud.KV.
func (s *Store) List(ctx context.Context, prefix string) (keys []string, err error) {
	err = s.call(ctx, List, prefix, func() error {
		for key := range s.records {
			if strings.HasPrefix(key, prefix) {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		return nil
	})
	return keys, err
}

// Watch implements cloud.KV. A fault ends it at its start.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (cloud.Record, error) {
	if err := s.call(ctx, Watch, key, func() error { return nil }); err != nil {
		return cloud.Record{}, err
	}
	for {
		s.mu.Lock()
		s.expireLeases()
		current, changed, down := s.records[key].Record, s.changed, s.down
		s.mu.Unlock()
		if down {
			return cloud.Record{}, &cloud.UnavailableError{Operation: "watch " + key, Cause: errOutage}
		}
		if current.Revision > after {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return cloud.Record{}, ctx.Err()
		}
	}
}

// Grant implements cloud.KV.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	var id cloud.LeaseID // as in Put
	err := s.call(ctx, Grant, "", func() error {
		s.lastLease++
		id = s.lastLease
		s.ttls[id] = ttl
		s.leases[id] = time.Now().Add(ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// Renew implements cloud.KV.
func (s *Store) Renew(ctx context.Context, id cloud.LeaseID) error {
	return s.call(ctx, Renew, "", func() error {
		if _, ok := s.leases[id]; !ok {
			return &cloud.LeaseError{ID: id}
		}
		s.leases[id] = time.Now().Add(s.ttls[id])
		return nil
	})
}

// Revoke implements cloud.KV.
func (s *Store) Revoke(ctx context.Context, id cloud.LeaseID) error {
	return s.call(ctx, Revoke, "", func() error {
		s.endLease(id)
		return nil
	})
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

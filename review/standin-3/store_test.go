package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the number of items on a page of a range.
const maxPage = 500

// item is a key of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	oldest    int64 // changes up to this revision are not in history
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed and replaced by each change
	era       int64         // Store-Era in all answers
	down      bool          // connections are reset
}

// storeCopy is the content of a store at one time.
type storeCopy struct {
	revision int64
	items    map[string]item
	leases   map[int64]*lease
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextLease: 1000, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
}

// putIfChanged is put for the heartbeat of a server, which changes its entry only if there is
// something new in it.
func (s *store) putIfChanged(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down && !bytes.Equal(s.items[key].Value, data) {
		s.write(item{Key: key, Value: data})
	}
}

// delete removes a key as the operator or a server does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// write is called with mu held, as are remove, notify and expire.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	if s.down { // leases pause while the store is down
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiry) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.LeaseID == id {
				s.remove(key)
			}
		}
	}
}

// copy returns the content of the store.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: map[string]item{}, leases: map[int64]*lease{}}
	for key, i := range s.items {
		c.items[key] = i
	}
	for id, l := range s.leases {
		copied := *l
		c.leases[id] = &copied
	}
	return c
}

// setDown takes the store away or brings it back. Calls in progress are reset.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldest, s.history = c.revision, c.revision, nil
	s.items, s.leases = map[string]item{}, map[int64]*lease{}
	for key, i := range c.items {
		s.items[key] = i
	}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expiry: time.Now().Add(l.ttl)}
	}
	s.down = false
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.serveKey(w, r)
	case path == "/-/kv-range":
		s.serveRange(w, r)
	case path == "/-/kv-watch":
		s.serveWatch(w, r)
	case path == "/-/kv-txn":
		s.serveTxn(w, r)
	case path == "/-/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "/-/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	hasMore := len(entries) > maxPage
	if hasMore {
		entries = entries[:maxPage]
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": hasMore, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.down || s.era != era { // the watch is cut
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.oldest || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Write []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID int64  `json:"leaseId"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{}})
			return
		}
	}
	for _, e := range txn.Write {
		if e.LeaseID != 0 && s.leases[e.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range txn.Write {
		s.write(item{Key: e.Key, Value: e.Value, LeaseID: e.LeaseID})
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"leaseId": id, "ttlMs": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expiry = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	if s.leases[id] != nil {
		s.leases[id].expiry = time.Now()
		s.expire()
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

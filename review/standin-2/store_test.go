package standin2

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// silentIntervals is how many heartbeats of silence remove a server's entry.
const silentIntervals = 3

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is a stand-in for the platform's metadata store. Paths under /admin/ are those of the
// operator and of the servers, which the platform's pages leave open.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	heartbeat time.Duration
	beats     map[string]time.Time // last beat by key of a server
}

func newStore(heartbeat time.Duration) *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), heartbeat: heartbeat, beats: map[string]time.Time{}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.beats {
		if now.Sub(at) > silentIntervals*s.heartbeat {
			delete(s.beats, key)
			s.remove(key)
		}
	}
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

// put and remove are called with mu held.
func (s *store) put(i item) {
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

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/admin/put":
		s.mu.Lock()
		defer s.mu.Unlock()
		if q.Get("beat") != "" {
			s.beats[q.Get("key")] = time.Now()
			if old, ok := s.items[q.Get("key")]; ok && string(old.Value) == string(body) {
				reply(w, map[string]int64{"revision": s.revision})
				return
			}
		}
		s.put(item{Key: q.Get("key"), Value: body})
		reply(w, map[string]int64{"revision": s.revision})
	case path == "/admin/remove":
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.beats, q.Get("key"))
		s.remove(q.Get("key"))
		reply(w, map[string]int64{"revision": s.revision})
	case path == "/-/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, i)
	case path == "/-/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/-/kv-txn":
		s.serveTxn(w, body)
	case path == "/-/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 1000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextLease++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, map[string]int64{"leaseId": s.nextLease, "ttlMs": in.TTL})
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.expiry = time.Now().Add(l.ttl)
		reply(w, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		if l := s.leases[id]; l != nil {
			l.expiry = time.Time{}
		}
		s.mu.Unlock()
		s.expire(time.Now())
		reply(w, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	reply(w, map[string]any{"entries": found, "hasMore": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Write  []item   `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &txn) != nil || len(txn.Expected)+len(txn.Write)+len(txn.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	conflict := false
	for _, e := range txn.Expected {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		if i.Key != "" {
			current = append(current, i)
		}
	}
	if conflict {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"entries": current})
		return
	}
	for _, i := range txn.Write {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if i.LeaseID != 0 && s.leases[i.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range txn.Write {
		s.put(item{Key: i.Key, Value: i.Value, LeaseID: i.LeaseID})
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	reply(w, map[string]int64{"revision": s.revision})
}

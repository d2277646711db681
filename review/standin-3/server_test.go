package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a server to the store.
const heartbeat = 1200 * time.Millisecond

// run is a request that a server has begun to work on.
type run struct {
	id, path, server string
	at               time.Time
}

// server is a stand-in for a server of a service. It registers itself in the store.
type server struct {
	lab      *lab
	id       string
	service  string
	address  string // at which it listens
	link     *link  // in front of it; nil for none
	born     int64
	http     *http.Server
	handle   func(s *server, w http.ResponseWriter, r *http.Request) // answers a request that runs
	draining atomic.Bool

	mu       sync.Mutex
	runs     []run
	hijacked []net.Conn // connections of answers that the server writes itself
	stop     chan struct{}
	beats    atomic.Int64 // heartbeats so far, those that the store did not take too
}

// startServer starts a server and registers it.
func (l *lab) startServer(id, service string, handle func(*server, http.ResponseWriter, *http.Request)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen", err)
	}
	return l.startServerAt(listener, nil, id, service, handle)
}

// startLinkedServer starts a server behind a link.
func (l *lab) startLinkedServer(id, service string, handle func(*server, http.ResponseWriter, *http.Request)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen", err)
	}
	return l.startServerAt(listener, newLink(listener.Addr().String()), id, service, handle)
}

func (l *lab) startServerAt(listener net.Listener, k *link, id, service string, handle func(*server, http.ResponseWriter, *http.Request)) *server {
	s := &server{lab: l, id: id, service: service, address: listener.Addr().String(), link: k, born: time.Now().UnixMilli(), handle: handle, stop: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }()
	s.beat()
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	l.note("server %s of %s at %s", id, service, s.address)
	return s
}

// beat writes the entry of the server if it has changed or the store does not have it, unless the
// store is away.
func (s *server) beat() {
	defer s.beats.Add(1)
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	slots := 16
	if s.service == deskService {
		slots = 6
	}
	address := s.address
	if s.link != nil {
		address = s.link.address()
	}
	s.lab.store.putIfChanged("servers/"+s.id, map[string]any{"service": s.service, "address": address, "zone": zone, "version": "v1", "slotCount": slots, "state": state,
		"coldLeftMs": 0, "stage": "colocated", "models": []any{}, "sequence": 0, "born": s.born})
}

// awaitBeat waits until the next heartbeat has been sent.
func (s *server) awaitBeat() {
	for before := s.beats.Load(); s.beats.Load() == before; {
		time.Sleep(5 * time.Millisecond)
	}
}

// crash ends the server at once, as a process that ends does. It returns false if it has ended
// before.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return false
	default:
		close(s.stop)
	}
	_ = s.http.Close()
	for _, c := range s.hijacked {
		_ = c.Close()
	}
	return true
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") || r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		answer(w, http.StatusOK, map[string]any{"freeSlots": 100000})
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id, r.URL.Path, s.id, time.Now()})
	s.mu.Unlock()
	s.lab.note("server %s runs request %s %s", s.id, id, r.URL.Path)
	w.Header().Set("X-Server-Stamp", "3e1b.07."+s.id)
	s.handle(s, w, r)
}

// allRuns returns the runs of the server so far.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// answerPlain answers like an order service.
func answerPlain(_ *server, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(15 * time.Millisecond)
	body := strings.Repeat("x", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// writeEvents writes the events of a stream from one number to another.
func writeEvents(w http.ResponseWriter, from, to int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("y", 40))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// answerStream answers like a model server.
func answerStream(_ *server, w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(40 * time.Millisecond)
	writeEvents(w, last+1, 8, 30*time.Millisecond)
}

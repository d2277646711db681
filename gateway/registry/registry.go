// Package registry keeps the backend servers as the platform's store lists
// them. Entries that vanish while the store is unreliable are kept for a grace
// period, because living servers write themselves back after an outage.
package registry

import (
	"sync"
	"time"
)

// ReturnGrace is how long after an outage of the store a server that vanished
// from the list may take to come back; the platform states about 2 s.
const ReturnGrace = 2400 * time.Millisecond

// maxKept bounds how long a vanished server gets work in any case: some leave
// without a word, and must get none 2 s after the store has removed them.
// Changes are seen up to 0.2 s later, and swept every 0.25 s.
const maxKept = 1400 * time.Millisecond

// Server is one incarnation of a backend server.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it works on at once.
	Slots    int
	Draining bool
	// Started is the server's own clock at its start, in Unix milliseconds; 0
	// if it was not stated. It tells incarnations with the same ID apart.
	Started int64
}

// sameIncarnation reports whether what is known of one also holds for other.
func (s *Server) sameIncarnation(other *Server) bool {
	return s.Address == other.Address && s.Service == other.Service && s.Started == other.Started
}

// Registry is the list of servers. Safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	servers  map[string]*entry
	services map[string][]*Server // rebuilt on each change, never modified in place
	synced   bool
	// unreliableUntil is the end of the grace period after an outage.
	unreliableUntil time.Time
	onChange        func(Change)
}

type entry struct {
	server *Server
	// removeAt is when a vanished server is given up; zero while it is listed.
	removeAt time.Time
}

// Event is what happened to a server.
type Event string

// Events.
const (
	Added     Event = "added"
	Restarted Event = "restarted" // under the same id
	Draining  Event = "draining"
	Ready     Event = "ready" // no longer draining
	Vanished  Event = "vanished"
	Removed   Event = "removed"
)

// Change describes a change of what is believed of a server.
type Change struct {
	Server *Server
	Event  Event
}

// New returns an empty registry; onChange is called for each change, without a
// lock held.
func New(onChange func(Change)) *Registry {
	return &Registry{servers: map[string]*entry{}, services: map[string][]*Server{}, onChange: onChange}
}

// Put records what the store says of a server.
func (r *Registry) Put(s *Server) {
	r.mu.Lock()
	old := r.servers[s.ID]
	r.servers[s.ID] = &entry{server: s}
	var event Event
	switch {
	case old == nil:
		event = Added
	case !old.server.sameIncarnation(s):
		event = Restarted
	case !old.server.Draining && s.Draining:
		event = Draining
	case old.server.Draining && !s.Draining:
		event = Ready
	}
	if old != nil && event == "" && old.removeAt.IsZero() {
		r.servers[s.ID].server = old.server
		r.mu.Unlock()
		return
	}
	r.rebuild()
	r.mu.Unlock()
	if event != "" {
		r.onChange(Change{Server: s, Event: event})
	}
}

// Remove records that the store no longer lists a server.
func (r *Registry) Remove(id string, now time.Time) {
	r.mu.Lock()
	e := r.servers[id]
	if e == nil || !e.removeAt.IsZero() {
		r.mu.Unlock()
		return
	}
	event := Removed
	if now.Before(r.unreliableUntil) && !e.server.Draining {
		event = Vanished
		e.removeAt = earlier(r.unreliableUntil, now.Add(maxKept))
	} else {
		delete(r.servers, id)
		r.rebuild()
	}
	r.mu.Unlock()
	r.onChange(Change{Server: e.server, Event: event})
}

// Replace records the whole list, as a fresh read of the store gave it.
func (r *Registry) Replace(list []*Server, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		r.Put(s)
	}
	r.mu.Lock()
	var missing []string
	for id := range r.servers {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	r.synced = true
	r.mu.Unlock()
	for _, id := range missing {
		r.Remove(id, now)
	}
}

// StoreFailed records that the store does not answer: what it lists from now
// on is unreliable until it has answered for ReturnGrace.
func (r *Registry) StoreFailed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreliableUntil = now.Add(ReturnGrace)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Sweep gives up the servers that have not come back in time.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	var gone []*Server
	for id, e := range r.servers {
		if !e.removeAt.IsZero() && now.After(e.removeAt) {
			gone = append(gone, e.server)
			delete(r.servers, id)
		}
	}
	if len(gone) > 0 {
		r.rebuild()
	}
	r.mu.Unlock()
	for _, s := range gone {
		r.onChange(Change{Server: s, Event: Removed})
	}
}

// rebuild makes the lists by service. mu is held.
func (r *Registry) rebuild() {
	services := make(map[string][]*Server, len(r.services))
	for _, e := range r.servers {
		if !e.server.Draining {
			services[e.server.Service] = append(services[e.server.Service], e.server)
		}
	}
	r.services = services
}

// Servers returns the servers of a service that may get work. The caller must
// not change the list.
func (r *Registry) Servers(service string) []*Server {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

// Synced reports whether the list has been read at least once.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

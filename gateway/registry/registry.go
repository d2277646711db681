// Package registry holds the backend servers listed in the platform's store.
// Servers whose registrations disappear during or soon after an outage of the
// store are kept for a grace period, because live servers register again.
package registry

import (
	"sync"
	"time"
)

// ReregistrationGrace is how long after an outage of the store a live server may
// take to register again; the platform states about 2 s.
const ReregistrationGrace = 2400 * time.Millisecond

// maxMissingTime bounds how long a missing server receives requests. A server
// that has left without notice must receive none later than 2 s after the store
// has removed it. The removal is seen up to 0.2 s late and Sweep runs every
// 0.25 s, so with these 1.4 s it receives requests for at most 1.85 s.
const maxMissingTime = 1400 * time.Millisecond

// plannedRemoval is the time from the removal of a server that leaves without draining to
// the end of its process, at least; the platform lets such servers go on for 2 s and more.
// A server that ends sooner has crashed, and its registration was removed because of that.
const plannedRemoval = time.Second

// Server is one incarnation of a backend server.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the server processes concurrently.
	Slots    int
	Draining bool
	// ColdLeft is how much longer the server is cold, as of its registration. While it is
	// cold it bears few requests.
	ColdLeft time.Duration
	// Started is the server's own clock at its start, in Unix milliseconds; 0
	// if not stated. It distinguishes incarnations with the same ID.
	Started int64
}

// sameIncarnation reports whether s and other are the same process.
func (s *Server) sameIncarnation(other *Server) bool {
	return s.Address == other.Address && s.Service == other.Service && s.Started == other.Started
}

// Registry is the list of servers. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	servers  map[string]*record
	services map[string][]*Server // rebuilt on each change, never modified in place
	outdated bool                 // services must be rebuilt
	synced   bool
	// removed holds when servers were removed that were not draining, by ID, for
	// plannedRemoval.
	removed map[string]time.Time
	// ended holds the servers that were removed, by ID, for endedMemory.
	ended map[string]*endedServer
	// evacuated are the data centres whose servers get no requests. While it must be known
	// and is not, no server gets any.
	evacuated         map[string]bool
	evacuatedRequired bool
	// distrustUntil is the end of the time in which removals are distrusted.
	distrustUntil time.Time
	onChange      func(Change)
}

// endedMemory is how long a server that was removed is remembered. A copy of the store that may
// list it again is some seconds old.
const endedMemory = time.Minute

// endedServer is a server that was removed.
type endedServer struct {
	server *Server
	at     time.Time
}

type record struct {
	server *Server
	// removeAt is when a missing server is removed; zero while it is listed.
	removeAt time.Time
	// coldUntil is when the server is no longer cold; zero if it was not.
	coldUntil time.Time
}

// Event is a change in the state of a server.
type Event string

// Events of servers. A missing server, "vanished" in logs, is kept although it was
// removed from the store.
const (
	Added     Event = "added"
	Restarted Event = "restarted" // with the same ID
	Draining  Event = "draining"
	Ready     Event = "ready" // no longer draining
	Missing   Event = "vanished"
	Removed   Event = "removed"
)

// Change is an event of a server.
type Change struct {
	Server *Server
	Event  Event
}

// New returns an empty registry. onChange is called for each change without a
// lock held.
func New(onChange func(Change)) *Registry {
	return &Registry{servers: map[string]*record{}, services: map[string][]*Server{}, removed: map[string]time.Time{}, ended: map[string]*endedServer{}, onChange: onChange}
}

// Put records that the store lists a server.
func (r *Registry) Put(s *Server) {
	r.update(func() []Change { return r.put(s, time.Now()) })
}

// Remove records that the store no longer lists a server. While removals are
// distrusted, the server is kept as missing.
func (r *Registry) Remove(id string, now time.Time) {
	r.update(func() []Change { return r.remove(id, now) })
}

// Replace records the complete list after a new read of the store.
func (r *Registry) Replace(list []*Server, now time.Time) {
	r.update(func() []Change {
		r.synced = true
		listed := make(map[string]bool, len(list))
		var changes []Change
		for _, s := range list {
			listed[s.ID] = true
			changes = append(changes, r.put(s, now)...)
		}
		for id := range r.servers {
			if !listed[id] {
				changes = append(changes, r.remove(id, now)...)
			}
		}
		return changes
	})
}

// Restore is Replace for a list that the store has from a copy of itself, some seconds old. A
// server that has been seen to drain goes on to drain, and one that has ended does not come back;
// both would otherwise get requests until they, or the operator, have written again.
func (r *Registry) Restore(list []*Server, now time.Time) {
	current := make([]*Server, 0, len(list))
	r.mu.Lock()
	for _, s := range list {
		if s = r.withoutPast(s); s != nil {
			current = append(current, s)
		}
	}
	r.distrustUntil = now.Add(ReregistrationGrace)
	r.mu.Unlock()
	r.Replace(current, now)
}

// withoutPast returns a server that a copy lists as it is known to be, nil if it has ended. mu is
// held.
func (r *Registry) withoutPast(s *Server) *Server {
	if ended := r.ended[s.ID]; ended != nil && ended.server.sameIncarnation(s) {
		return nil
	}
	known := r.servers[s.ID]
	if known == nil || !known.server.sameIncarnation(s) || !known.server.Draining || s.Draining {
		return s
	}
	draining := *s
	draining.Draining = true
	return &draining
}

// update runs a change of the servers, rebuilds the lists by service once if needed, and
// reports the changes.
func (r *Registry) update(change func() []Change) {
	r.mu.Lock()
	changes := change()
	if r.outdated {
		r.rebuild()
		r.outdated = false
	}
	r.mu.Unlock()
	for _, c := range changes {
		r.onChange(c)
	}
}

// put records that a server is listed. mu is held.
func (r *Registry) put(s *Server, now time.Time) []Change {
	old := r.servers[s.ID]
	current := &record{server: s}
	if s.ColdLeft > 0 {
		current.coldUntil = now.Add(s.ColdLeft)
	}
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
	case old.removeAt.IsZero():
		old.coldUntil = current.coldUntil
		return nil // the lists by service contain the old server, so they need no rebuild
	}
	r.servers[s.ID] = current
	r.outdated = true
	if event == "" {
		return nil
	}
	return []Change{{Server: s, Event: event}}
}

// remove records that a server is not listed. mu is held.
func (r *Registry) remove(id string, now time.Time) []Change {
	e := r.servers[id]
	if e == nil || !e.removeAt.IsZero() {
		return nil
	}
	if now.Before(r.distrustUntil) && !e.server.Draining {
		e.removeAt = earlier(r.distrustUntil, now.Add(maxMissingTime))
		return []Change{{Server: e.server, Event: Missing}}
	}
	return []Change{r.drop(e, now)}
}

// drop removes a server. mu is held.
func (r *Registry) drop(e *record, now time.Time) Change {
	delete(r.servers, e.server.ID)
	r.outdated = true
	r.ended[e.server.ID] = &endedServer{server: e.server, at: now}
	if !e.server.Draining {
		r.removed[e.server.ID] = now
	}
	return Change{Server: e.server, Event: Removed}
}

// DistrustRemovals makes servers that are removed within ReregistrationGrace from
// now be kept as missing. It must be called for each failed call to the store and
// for the first success after it.
func (r *Registry) DistrustRemovals(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distrustUntil = now.Add(ReregistrationGrace)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Sweep removes the missing servers that have not registered again in time.
func (r *Registry) Sweep(now time.Time) {
	r.update(func() []Change {
		var changes []Change
		for _, e := range r.servers {
			if !e.removeAt.IsZero() && now.After(e.removeAt) {
				changes = append(changes, r.drop(e, now))
			}
		}
		for id, at := range r.removed {
			if now.Sub(at) > plannedRemoval {
				delete(r.removed, id)
			}
		}
		for id, e := range r.ended {
			if now.Sub(e.at) > endedMemory {
				delete(r.ended, id)
			}
		}
		return changes
	})
}

// rebuild builds the lists by service. mu is held.
func (r *Registry) rebuild() {
	services := make(map[string][]*Server, len(r.services))
	for _, e := range r.servers {
		if !e.server.Draining && r.inUse(e.server) {
			services[e.server.Service] = append(services[e.server.Service], e.server)
		}
	}
	r.services = services
}

// inUse reports whether the data centre of a server is not evacuated. mu is held.
func (r *Registry) inUse(s *Server) bool {
	if r.evacuated == nil {
		return !r.evacuatedRequired
	}
	return !r.evacuated[s.DataCentre]
}

// RequireEvacuations makes the registry return no servers until SetEvacuated is called.
func (r *Registry) RequireEvacuations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuatedRequired = true
}

// SetEvacuated replaces the data centres whose servers get no requests. The caller must not
// modify the map afterwards.
func (r *Registry) SetEvacuated(dataCentres map[string]bool) {
	r.update(func() []Change {
		r.evacuated, r.outdated = dataCentres, true
		return nil
	})
}

// Evacuated reports whether the data centre of a server is evacuated.
func (r *Registry) Evacuated(s *Server) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.inUse(s)
}

// HasDataCentre reports whether a server is registered in a data centre.
func (r *Registry) HasDataCentre(name string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, e := range r.servers {
		if e.server.DataCentre == name {
			return true
		}
	}
	return false
}

// ColdUntil returns when the server with an ID is no longer cold; the zero time if it is not
// known to be cold.
func (r *Registry) ColdUntil(id string) time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if e := r.servers[id]; e != nil {
		return e.coldUntil
	}
	return time.Time{}
}

// ColdServers returns the number of servers that are cold.
func (r *Registry) ColdServers(now time.Time) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n := 0
	for _, e := range r.servers {
		if now.Before(e.coldUntil) {
			n++
		}
	}
	return n
}

// Servers returns the servers of a service that may receive requests. The
// caller must not modify the list.
func (r *Registry) Servers(service string) []*Server {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

// Server returns the server with an ID, or nil.
func (r *Registry) Server(id string) *Server {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if e := r.servers[id]; e != nil {
		return e.server
	}
	return nil
}

// DataCentreOf returns the data centre of the server with an ID; empty if there is none.
func (r *Registry) DataCentreOf(id string) string {
	if s := r.Server(id); s != nil {
		return s.DataCentre
	}
	return ""
}

// EndsAsPlanned reports whether the process of a server may end as planned now: the server
// is draining, or was removed some time ago. One that has restarted does not.
func (r *Registry) EndsAsPlanned(s *Server, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if e := r.servers[s.ID]; e != nil {
		return e.server.sameIncarnation(s) && e.server.Draining
	}
	removed, lately := r.removed[s.ID]
	return !lately || now.Sub(removed) > plannedRemoval
}

// Synced reports whether the list has been read at least once.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

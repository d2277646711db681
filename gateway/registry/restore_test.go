package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// usable returns the IDs of the servers of the service that may get requests.
func usable(r *Registry) map[string]bool {
	out := map[string]bool{}
	for _, s := range r.Servers("service") {
		out[s.ID] = true
	}
	return out
}

// Guards against requests to servers that drain, or that have drained and ended, because a copy
// of the store lists them as they were, and against the loss of servers that the copy lacks.
func TestRestoreFromACopy(t *testing.T) {
	is := is.New(t)
	r := New(func(Change) {})
	now := time.Now()
	named := func(id string, draining bool) *Server {
		return &Server{ID: id, Service: "service", Address: "10.0.0.1:80", Started: 1, Draining: draining}
	}
	r.Replace([]*Server{named("steady", false), named("drains", false), named("ended", false), named("restarts", false), named("removed", false)}, now)
	saved := []*Server{named("steady", false), named("drains", false), named("ended", false), named("restarts", false), named("removed", false)}
	for _, id := range []string{"drains", "ended", "restarts"} {
		r.Put(named(id, true))
	}
	r.Put(named("new", false)) // after the copy
	r.Remove("ended", now)
	r.Remove("restarts", now)
	r.Remove("removed", now) // it was not seen to drain

	r.Restore(saved, now)
	is.Equal(usable(r), map[string]bool{"steady": true, "new": true})
	again := named("restarts", false)
	again.Started = 2
	r.Put(again) // another incarnation
	r.Put(named("new", false))
	is.Equal(usable(r), map[string]bool{"steady": true, "new": true, "restarts": true})
	r.Sweep(now.Add(maxMissingTime + time.Second))
	is.Equal(usable(r), map[string]bool{"steady": true, "new": true, "restarts": true})
	r.Put(named("drains", false)) // its own word counts
	is.True(usable(r)["drains"])
	r.Sweep(now.Add(2 * endedMemory))
	is.Equal(len(r.ended), 0)
}

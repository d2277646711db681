package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func server(id string) *Server {
	return &Server{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, Started: 1}
}

func ids(r *Registry) []string {
	var out []string
	for _, s := range r.Servers("s") {
		out = append(out, s.ID)
	}
	return out
}

func newRegistry() (*Registry, *[]string) {
	changes := &[]string{}
	return New(func(c Change) { *changes = append(*changes, string(c.Event)+" "+c.Server.ID) }), changes
}

// Guards against work for a server that is leaving or gone.
func TestDrainingAndRemovedGetNoWork(t *testing.T) {
	is := is.New(t)
	r, changes := newRegistry()
	now := time.Unix(100, 0)
	is.True(!r.Synced())
	r.Replace([]*Server{server("a"), server("b")}, now)
	is.True(r.Synced())
	draining := server("a")
	draining.Draining = true
	r.Put(draining)
	is.Equal(ids(r), []string{"b"})
	r.Remove("b", now)
	is.Equal(len(ids(r)), 0)
	is.Equal(*changes, []string{"added a", "added b", "draining a", "removed b"})
}

// Guards against the loss of all servers whose entries lapsed while the store
// was away, and against keeping one for good that does not come back.
func TestEntriesReturnAfterAnOutage(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]*Server{server("a"), server("b")}, now)
	r.StoreFailed(now)
	back := now.Add(time.Second)
	r.StoreFailed(back) // the first success after the outage
	r.Replace(nil, back)
	is.Equal(len(ids(r)), 2)
	r.Put(server("a"))
	r.Sweep(back.Add(ReturnGrace + time.Millisecond))
	is.Equal(ids(r), []string{"a"})
}

// Guards against work for a server that left without a word while a watch had
// been cut: it got a request 2.2 s after its entry was removed (hunt on
// hanbit-route, mix seed 137724698643).
func TestVanishedServerIsNotKeptBeyondItsLeave(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]*Server{server("a"), server("b")}, now)
	r.StoreFailed(now)
	r.Remove("a", now.Add(100*time.Millisecond))
	r.StoreFailed(now.Add(time.Second)) // another cut does not lengthen it
	is.Equal(len(ids(r)), 2)
	r.Sweep(now.Add(100*time.Millisecond + maxKept + time.Millisecond))
	is.Equal(ids(r), []string{"b"})
}

// Guards against a leaving server that is kept because the store was away.
func TestDrainingServerIsNotKept(t *testing.T) {
	is := is.New(t)
	r, changes := newRegistry()
	now := time.Unix(100, 0)
	s := server("a")
	s.Draining = true
	r.Put(s)
	r.StoreFailed(now)
	r.Remove("a", now)
	is.Equal(*changes, []string{"added a", "removed a"})
}

// Guards against beliefs about a former incarnation with the same id.
func TestRestartIsReported(t *testing.T) {
	is := is.New(t)
	r, changes := newRegistry()
	r.Put(server("a"))
	again := server("a")
	again.Started = 2
	r.Put(again)
	r.Put(again)
	is.Equal(*changes, []string{"added a", "restarted a"})
}

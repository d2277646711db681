package registry

import (
	"fmt"
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

// Guards against requests to a server that is draining or removed.
func TestDrainingAndRemovedServersAreNotUsable(t *testing.T) {
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

// Guards against the loss of all servers whose registrations expired during an
// outage of the store, and against keeping a server that does not register
// again.
func TestServersRegisterAgainAfterAnOutage(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]*Server{server("a"), server("b")}, now)
	r.DistrustRemovals(now) // a failed call to the store
	restored := now.Add(time.Second)
	r.DistrustRemovals(restored) // the first successful call after the outage
	r.Replace(nil, restored)
	is.Equal(len(ids(r)), 2)
	r.Put(server("a"))
	r.Sweep(restored.Add(ReregistrationGrace + time.Millisecond))
	is.Equal(ids(r), []string{"a"})
}

// Guards against requests that a server gets more than 2 s after its removal from
// the store, because a watch was interrupted when it left without notice: one came
// 2.2 s after the removal.
func TestMissingServerIsNotKeptTooLong(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]*Server{server("a"), server("b")}, now)
	r.DistrustRemovals(now)
	r.Remove("a", now.Add(100*time.Millisecond))
	r.DistrustRemovals(now.Add(time.Second)) // another interruption does not extend the time
	is.Equal(len(ids(r)), 2)
	r.Sweep(now.Add(100*time.Millisecond + maxMissingTime + time.Millisecond))
	is.Equal(ids(r), []string{"b"})
}

// Guards against keeping a draining server because of an outage of the store.
func TestDrainingServerIsNotKept(t *testing.T) {
	is := is.New(t)
	r, changes := newRegistry()
	now := time.Unix(100, 0)
	s := server("a")
	s.Draining = true
	r.Put(s)
	r.DistrustRemovals(now)
	r.Remove("a", now)
	is.Equal(*changes, []string{"added a", "removed a"})
}

// Guards against a restart with the same ID that is not reported, so that the
// state of the former incarnation is applied to the new one, or that is reported
// twice.
func TestRestartIsReported(t *testing.T) {
	is := is.New(t)
	r, changes := newRegistry()
	r.Put(server("a"))
	restarted := server("a")
	restarted.Started = 2
	r.Put(restarted)
	r.Put(restarted)
	is.Equal(*changes, []string{"added a", "restarted a"})
}

// Guards against a crash that is taken for a planned end: a restarted server is not
// leaving, whatever its new process does.
func TestLeavingServers(t *testing.T) {
	is := is.New(t)
	r := New(func(Change) {})
	now := time.Now()
	first := &Server{ID: "a", Service: "service", Address: "10.0.0.1:80", Started: 1}
	r.Put(first)
	is.True(!r.EndsAsPlanned(first, now))
	r.Put(&Server{ID: "a", Service: "service", Address: "10.0.0.1:80", Started: 1, Draining: true})
	is.True(r.EndsAsPlanned(first, now))
	r.Put(&Server{ID: "a", Service: "service", Address: "10.0.0.1:80", Started: 2, Draining: true})
	is.True(!r.EndsAsPlanned(first, now))
	r.Remove("a", now)
	is.True(r.EndsAsPlanned(first, now))
}

// Guards against a list whose handling takes time that grows with the square of its
// length: the lists by service were built anew for each server of it.
func TestLongListIsHandledInTime(t *testing.T) {
	is := is.New(t)
	added := 0
	r := New(func(Change) { added++ })
	list := make([]*Server, 20_000)
	for i := range list {
		list[i] = &Server{ID: fmt.Sprint(i), Service: fmt.Sprint("service-", i%2_000)}
	}
	started := time.Now()
	r.Replace(list, started)
	is.True(time.Since(started) < 2*time.Second)
	is.Equal(added, len(list))
	is.Equal(len(r.Servers("service-0")), 10)
}

// Guards against a crash that is taken for a planned end because the registration of the
// server was removed at the same moment, and against the reverse.
func TestEndsAsPlanned(t *testing.T) {
	is := is.New(t)
	r := New(func(Change) {})
	now := time.Now()
	crashed, drained, left, live := &Server{ID: "crashed"}, &Server{ID: "drained", Draining: true}, &Server{ID: "left"}, &Server{ID: "live"}
	for _, s := range []*Server{crashed, drained, left, live} {
		r.Put(s)
	}
	is.True(r.EndsAsPlanned(drained, now))
	is.True(!r.EndsAsPlanned(live, now))
	r.Remove("left", now.Add(-2*plannedRemoval))
	r.Remove("crashed", now)
	r.Remove("drained", now)
	is.True(!r.EndsAsPlanned(crashed, now))
	is.True(r.EndsAsPlanned(drained, now))
	is.True(r.EndsAsPlanned(left, now))
	r.Sweep(now.Add(2 * plannedRemoval))
	is.Equal(len(r.removed), 0)
	is.True(r.EndsAsPlanned(crashed, now.Add(2*plannedRemoval)))
}

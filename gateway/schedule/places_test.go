package schedule

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/registry"
)

// newPlaces returns a scheduler for one engine in each of two data centres.
func newPlaces() (*Scheduler, *registry.Registry) {
	r := registry.New(func(registry.Change) {})
	r.Put(&registry.Server{ID: "s1", Service: "service", Address: "10.0.1.1:80", DataCentre: "dc-1"})
	r.Put(&registry.Server{ID: "s2", Service: "service", Address: "10.0.2.1:80", DataCentre: "dc-2"})
	return New(r, "vm", "dc-1"), r
}

// Guards against requests that waited when a data centre was evacuated and go there when a
// slot becomes free, and against a refusal without a reason once the evacuation has ended.
func TestWaitingRequestsLeaveAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, r := newPlaces()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }()
		all := fill(t, s, 8) // both engines
		placed := make(chan *Assignment, 4)
		for range 4 {
			go func() {
				a, err := s.Acquire(ctx, prompt(1000))
				is.NoErr(err)
				placed <- a
			}()
		}
		synctest.Wait()
		r.SetEvacuated(map[string]bool{"dc-1": true})
		var other []*Assignment
		for _, a := range all {
			is.Equal(a.MaySend(), a.Server.ID == "s2")
			if a.Server.ID == "s1" {
				a.End()
			} else {
				other = append(other, a)
			}
		}
		time.Sleep(time.Second)
		is.Equal(len(placed), 0) // all of them wait for the other data centre
		other[0].End()
		is.Equal((<-placed).Server.ID, "s2")
		r.SetEvacuated(map[string]bool{})
		for range 3 {
			is.Equal((<-placed).Server.ID, "s1")
		}
		cancel()
	})
}

// Guards against a request that waits although its only data centre is evacuated, and
// against servers in use before the evacuations are known.
func TestEvacuationOfAllServersRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	s, r := newPlaces()
	var none *NoServerError
	r.RequireEvacuations()
	r.SetEvacuated(map[string]bool{"dc-1": true, "dc-2": true})
	_, err := s.Acquire(context.Background(), prompt(1000))
	is.True(errors.As(err, &none))

	r = registry.New(func(registry.Change) {})
	r.RequireEvacuations()
	r.Put(&registry.Server{ID: "s1", Service: "service", DataCentre: "dc-1"})
	is.Equal(len(r.Servers("service")), 0)
	r.SetEvacuated(map[string]bool{})
	is.Equal(len(r.Servers("service")), 1)
}

// Guards against requests in a region where their route or their account does not allow
// them, also where no server of an allowed region is left.
func TestRequestsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	s, _ := newPlaces()
	s.Regions = map[string]string{"dc-1": "north", "dc-2": "south"}
	r := Request{Service: "service", Regions: [][]string{{"south", "east"}, nil}}
	for range 5 {
		a, err := s.Acquire(context.Background(), r)
		is.NoErr(err)
		is.Equal(a.Server.ID, "s2")
	}
	var none *NoServerError
	r.Exclude = []string{"s2"}
	_, err := s.Acquire(context.Background(), r)
	is.True(errors.As(err, &none))
	r.Exclude, r.Regions = nil, [][]string{{"south"}, {"north"}} // those of the route and the account have none in common
	_, err = s.Acquire(context.Background(), r)
	is.True(errors.As(err, &none))
}

// Guards against the load "a crest finds a third of the fleet cold": cold servers are the
// idle ones, so that they attract all requests, and crash.
func TestCrestOverColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, r := newPlaces()
		time.Sleep(10 * time.Second) // the list of gateways is complete
		s.SetGateways([]Gateway{{"vm", "dc-1"}, {"other", "dc-2"}})
		r.Put(&registry.Server{ID: "s2", Service: "service", Address: "10.0.2.1:80", DataCentre: "dc-2", ColdLeft: 3 * time.Second})
		request := Request{Service: "service", ColdRequestsPerSecond: 10}
		count := map[string]int{}
		for range 100 { // one second
			a, err := s.Acquire(context.Background(), request)
			is.NoErr(err)
			count[a.Server.ID]++
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(count["s2"], 5) // the half of this gateway
		time.Sleep(3 * time.Second)
		clear(count)
		for range 100 {
			a, err := s.Acquire(context.Background(), request)
			is.NoErr(err)
			count[a.Server.ID]++
		}
		is.True(count["s2"] > 50) // no longer cold, with fewer requests in flight
	})
}

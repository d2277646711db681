package gatewaysoak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/platform/fleetsim"
)

// The silences of TestShortSilencesOfTheStore. After changeBound a change counts.
const (
	silenceGateways = 3
	silenceTime     = 300 * time.Millisecond
	silenceDelays   = 6 // the silences begin 0 to 500 ms after a change
	changeBound     = 2 * time.Second
)

// Guards against a short silence of the store after a change, in which all gateways lose
// their watches without an error and then know of no further change: routes that are added
// get 404, and servers that leave get requests.
func TestShortSilencesOfTheStore(t *testing.T) {
	for i := range silenceDelays {
		delay := time.Duration(i) * 100 * time.Millisecond
		t.Run(fmt.Sprintf("after_%v", delay), func(t *testing.T) {
			t.Parallel()
			testShortSilence(t, delay)
		})
	}
}

func testShortSilence(t *testing.T, delay time.Duration) {
	is := is.New(t)
	r := newTestRun(t, binaries(t))
	start := func(id string) *fleetsim.Server {
		s := &fleetsim.Server{ID: id, Service: orderService, OnRun: func(fleetsim.Run) {}, RunTime: func() time.Duration { return time.Millisecond }}
		is.NoErr(s.Start())
		t.Cleanup(s.Crash)
		is.NoErr(r.store.Register(s, s.Address(), dataCentre, fleetsim.Live))
		return s
	}
	start("stays")
	leaves := start("leaves")
	configure := func(version int64) {
		c := fleetsim.Configuration{Version: version, Plain: []string{orderService}, Accounts: []fleetsim.Account{{Name: account, Keys: []string{apiKey}}}}
		for n := range version {
			c.Routes = append(c.Routes, fleetsim.Route{Name: fmt.Sprint("r", n), Host: host, Prefix: fmt.Sprintf("/r%d/", n), Service: orderService,
				Kind: fleetsim.Idempotent, Timeout: routeTimeout, LatencyTarget: latencyTarget, MaxServers: 2})
		}
		is.NoErr(r.store.Configure(c))
	}
	configure(1)
	r.startGateways(t, silenceGateways)
	time.Sleep(2 * time.Second)
	configure(2)
	time.Sleep(delay)
	r.store.SetMode(fleetsim.Forgetful)
	time.Sleep(silenceTime)
	r.store.SetMode(fleetsim.Serving)
	time.Sleep(contactTime)
	configure(3)
	is.NoErr(r.store.Register(leaves, leaves.Address(), dataCentre, fleetsim.Draining))
	time.Sleep(changeBound)
	for i, g := range r.gateways {
		for n := range 10 {
			id := fmt.Sprintf("lookup-%d-%d", i, n)
			answer := sendOnce(g, &fleetsim.Call{Method: http.MethodGet, Target: "/r2/" + id, Host: host, ID: id, Key: apiKey, TimeLeft: requestTimeout})
			switch {
			case answer == nil:
				t.Errorf("gateway %d: %s is not answered", i, id)
			case answer.StatusCode != http.StatusOK:
				t.Errorf("gateway %d: %s gets %d on a route that was added %v ago", i, id, answer.StatusCode, changeBound)
			case fleetsim.ServerStamp(answer.Header) == leaves.ID:
				t.Errorf("gateway %d: %s reaches a server that has been draining for %v", i, id, changeBound)
			}
		}
	}
}

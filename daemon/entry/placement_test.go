package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/policy/place"
)

// Guards against an entry that plans before it knows all agents that are listed
// as live: it would load models that unknown engines already serve.
func TestKnowsListedAgents(t *testing.T) {
	is := is.New(t)
	listed := []cloud.VM{{ID: "entry-1", Role: "entry", State: cloud.VMLive}, {ID: "server-1", Role: "agent", State: cloud.VMLive},
		{ID: "server-2", Role: "agent", State: cloud.VMLeaving}}
	is.True(!knowsListedAgents(nil, nil))
	is.True(!knowsListedAgents(listed, nil))
	is.True(knowsListedAgents(listed, map[string]*agentState{"server-1": {}}))
}

// Guards against engines that no longer count as serving their models during a
// short connection loss or still count after a long one, and against models of
// an outdated handshake.
func TestEngineView(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &agentState{usable: true, hello: &wire.Hello{Vm: "server-1", DataCentre: "dc-1", Backend: &wire.BackendInfo{Models: []string{"old"}}}}
	is.Equal(s.placeEngine(now, false).Placed, []place.Placed{{Name: "old"}})
	s.load = &wire.Load{Models: []string{"a", "b"}, PrefillTokens: []uint64{1, 2},
		Placed: []*wire.PlacedModel{{Name: "b", Version: "7"}, {Name: "c", Version: "1", Loading: true}}}
	e := s.placeEngine(now, false)
	is.Equal(e.Placed, []place.Placed{{Name: "b", Version: "7"}, {Name: "c", Version: "1", Loading: true}, {Name: "a"}})
	is.Equal(e.PendingTokens, 3) // the sum over the bands
	is.True(!e.Draining && !e.Blocked)
	is.True(s.placeEngine(now, true).Draining) // the VM is marked
	s.usable, s.unusableSince = false, now
	is.True(!s.placeEngine(now.Add(agentGracePeriod), false).Draining)
	is.True(s.placeEngine(now.Add(agentGracePeriod), false).Blocked)
	is.True(s.placeEngine(now.Add(agentGracePeriod+time.Second), false).Draining)
}

// Guards against a request for a model that is sent on although the backend servers
// of all agents with the model are down, in place of waiting for another one.
func TestModelOfDownBackendIsNotUsable(t *testing.T) {
	is := is.New(t)
	e := startEntry(t)
	state := &agentState{hello: &wire.Hello{Vm: "agent-1"}, load: &wire.Load{Models: []string{"m"}}, usable: true}
	e.agents["agent-1"] = state
	is.True(e.modelUsable("m"))
	state.load.BackendDown = true
	is.True(!e.modelUsable("m"))
}

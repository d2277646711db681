package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Sizes of one data centre of a large fleet.
const (
	testEntries = 82
	testAgents  = 1200
)

func nodes(prefix, dataCentre string, n int) []Node {
	list := make([]Node, n)
	for i := range list {
		list[i] = Node{fmt.Sprintf("%s-%s-%d", prefix, dataCentre, i), dataCentre}
	}
	return list
}

// sessions returns all pairs of an entry and an agent that hold a session.
func sessions(entries, agents []Node) map[string]bool {
	pairs := map[string]bool{}
	for i, list := range assignAll(Config{}.withDefaults(), entries, agents) {
		for _, a := range list {
			pairs[entries[i].VM+" "+a] = true
		}
	}
	return pairs
}

// Guards against agents without entries, entries with too many sessions, and
// small fleets that are not fully connected.
func TestAssignment(t *testing.T) {
	is := is.New(t)
	entries, agents := nodes("e", "dc", testEntries), nodes("a", "dc", testAgents)
	perAgent := map[string]int{}
	least, most := testAgents, 0
	for _, list := range assignAll(Config{}.withDefaults(), entries, agents) {
		least, most = min(least, len(list)), max(most, len(list))
		for _, a := range list {
			perAgent[a]++
		}
	}
	mean := float64(testAgents*defaultEntriesPerAgent) / testEntries
	t.Logf("agents per entry: mean %.1f, least %d, most %d", mean, least, most)
	is.Equal(len(perAgent), testAgents)
	for _, n := range perAgent {
		is.Equal(n, defaultEntriesPerAgent)
	}
	is.True(float64(most) <= mean*defaultLoadFactor+1)
	is.Equal(len(Agents(Config{}, entries[0], entries[:3], agents[:25])), 25)    // fewer than MaxFullMeshAgents
	is.Equal(len(Agents(Config{}, entries[0], entries[:3], agents)), testAgents) // fewer entries than EntriesPerAgent
}

// Guards against a change of the fleet that moves far more sessions than it has
// to. A lost entry inevitably moves its own sessions, and a new agent starts its
// own; a lost agent's sessions end, and none has to start. The bounds of 4 and 8
// times the sessions of an entry or agent leave room for those that move because
// another entry becomes full or has a free place.
func TestFleetChangeMovesFewSessions(t *testing.T) {
	entries, agents := nodes("e", "dc", testEntries), nodes("a", "dc", testAgents)
	oldSessions := sessions(entries, agents)
	cases := []struct {
		name              string
		entries           []Node
		agents            []Node
		bound, inevitable int
	}{
		{"entry lost", entries[1:], agents, 4 * defaultEntriesPerAgent * testAgents / testEntries, defaultEntriesPerAgent * testAgents / testEntries},
		{"agent lost", entries, agents[1:], 8 * defaultEntriesPerAgent, 0},
		{"agent new", entries, append(slices.Clone(agents), Node{"new", "dc"}), 8 * defaultEntriesPerAgent, defaultEntriesPerAgent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			newSessions := sessions(tc.entries, tc.agents)
			started := 0
			for pair := range newSessions {
				if !oldSessions[pair] {
					started++
				}
			}
			t.Logf("%d sessions started; about %d are inevitable", started, tc.inevitable)
			if started > tc.bound {
				t.Errorf("%d sessions started, at most %d are allowed", started, tc.bound)
			}
		})
	}
}

// Guards against a mesh of control sessions that is partitioned or not
// symmetric.
func TestEntriesAreConnected(t *testing.T) {
	is := is.New(t)
	var entries []Node
	for dc := range 5 {
		entries = append(entries, nodes("e", fmt.Sprintf("dc-%d", dc), 30)...)
	}
	neighbours := map[string][]string{}
	most := 0
	for _, e := range entries {
		neighbours[e.VM] = Entries(e, entries, 4, 2) // 4 neighbours, 2 link entries in each data centre
		most = max(most, len(neighbours[e.VM]))
	}
	for vm, list := range neighbours {
		for _, other := range list {
			is.True(slices.Contains(neighbours[other], vm))
		}
	}
	reached, hops := map[string]bool{entries[0].VM: true}, 0
	for frontier := []string{entries[0].VM}; len(frontier) > 0; hops++ {
		var next []string
		for _, vm := range frontier {
			for _, other := range neighbours[vm] {
				if !reached[other] {
					reached[other] = true
					next = append(next, other)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d entries, at most %d sessions each, %d hops", len(entries), most, hops-1)
	is.Equal(len(reached), len(entries))
}

// BenchmarkAgents measures one assignment in a data centre of a large fleet.
func BenchmarkAgents(b *testing.B) {
	entries, agents := nodes("e", "dc", testEntries), nodes("a", "dc", testAgents)
	b.ReportAllocs()
	for b.Loop() {
		Agents(Config{}, entries[0], entries, agents)
	}
}

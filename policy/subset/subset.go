// Package subset decides which agents an entry holds sessions with. A full
// mesh between hundreds of entries and thousands of agents would cost more
// heartbeats and memory than a node may spend on control, so in a large data
// centre each agent is served by a few entries only.
//
// All entries compute the choice alike from the same lists, without messages.
// Lists that differ for a while cost missing or additional sessions, never
// correctness.
package subset

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Node is an entry or an agent.
type Node struct {
	VM, DataCentre string
}

// Config sets the sizes. Zero values get defaults.
type Config struct {
	// FullMesh is the number of agents up to which every entry connects to
	// every agent.
	FullMesh int
	// EntriesPerAgent is the number of entries that serve one agent, all in
	// its data centre.
	EntriesPerAgent int
	// Spare is the factor by which an entry may exceed the mean number of
	// agents; choices beyond it go to the next entry.
	Spare float64
}

// Defaults. With four entries for each agent and ten models, an entry is left
// without any agent of a given model with a probability of about 1 in 350;
// more entries would cost more heartbeats, see docs/CAPACITY.md.
const (
	defaultFullMesh        = 64
	defaultEntriesPerAgent = 4
	defaultSpare           = 1.25
)

func (c Config) complete() Config {
	if c.FullMesh == 0 {
		c.FullMesh = defaultFullMesh
	}
	if c.EntriesPerAgent == 0 {
		c.EntriesPerAgent = defaultEntriesPerAgent
	}
	if c.Spare == 0 {
		c.Spare = defaultSpare
	}
	return c
}

// Agents returns the agents that the entry self connects to, ordered by VM.
// entries must contain self.
func Agents(c Config, self Node, entries, agents []Node) []string {
	c = c.complete()
	if len(agents) <= c.FullMesh {
		return names(agents)
	}
	local := inDataCentre(entries, self.DataCentre)
	near := inDataCentre(agents, self.DataCentre)
	if len(local) <= c.EntriesPerAgent {
		return names(near)
	}
	return assign(c, self, local, near)
}

// assign returns the agents of self, ordered by VM.
func assign(c Config, self Node, entries, agents []Node) []string {
	all := assignAll(c, entries, agents)
	for i, e := range entries {
		if e.VM == self.VM {
			sort.Strings(all[i])
			return all[i]
		}
	}
	return nil
}

// assignAll gives every agent its entries by bounded rendezvous hashing and
// returns the agents of each entry. Agents are taken in the order of their
// hash, so that a new agent takes a place in the middle of the order and does
// not find all entries with free places in one spot.
func assignAll(c Config, entries, agents []Node) [][]string {
	limit := int(math.Ceil(c.Spare * float64(len(agents)*c.EntriesPerAgent) / float64(len(entries))))
	order := append([]Node(nil), agents...)
	sort.Slice(order, func(i, j int) bool {
		return less(weight(order[i].VM, ""), weight(order[j].VM, ""), order[i].VM, order[j].VM)
	})
	all := make([][]string, len(entries))
	ranked := make([]int, len(entries))
	weights := make([]uint64, len(entries))
	for _, agent := range order {
		for i, e := range entries {
			ranked[i], weights[i] = i, weight(e.VM, agent.VM)
		}
		sort.Slice(ranked, func(a, b int) bool {
			i, j := ranked[a], ranked[b]
			return less(weights[j], weights[i], entries[i].VM, entries[j].VM)
		})
		taken := 0
		for _, i := range ranked {
			if taken == c.EntriesPerAgent {
				break
			}
			if len(all[i]) < limit {
				all[i] = append(all[i], agent.VM)
				taken++
			}
		}
	}
	return all
}

func less(a, b uint64, nameA, nameB string) bool {
	if a != b {
		return a < b
	}
	return nameA < nameB
}

func weight(a, b string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(a) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

func inDataCentre(nodes []Node, dataCentre string) []Node {
	var list []Node
	for _, n := range nodes {
		if n.DataCentre == dataCentre {
			list = append(list, n)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

func names(nodes []Node) []string {
	list := make([]string, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n.VM)
	}
	sort.Strings(list)
	return list
}

// Entries returns the entries that self holds control sessions with: some of
// its own data centre, near of its choice and about as many that choose it,
// and, if self is one of the gateways of its data centre, the gateways of the
// others. The choice is symmetric: if a chooses b, b chooses a. Configuration
// spreads over these sessions.
func Entries(self Node, entries []Node, near, gateways int) []string {
	byDataCentre := map[string][]Node{}
	for _, e := range entries {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	gateway := map[string]bool{}
	for dataCentre, list := range byDataCentre {
		for _, e := range list {
			gateway[e.VM] = chooses(Node{VM: dataCentre}, e, list, gateways)
		}
	}
	var chosen []string
	for _, other := range entries {
		local := byDataCentre[self.DataCentre]
		switch {
		case other.VM == self.VM:
		case other.DataCentre != self.DataCentre:
			if gateway[self.VM] && gateway[other.VM] {
				chosen = append(chosen, other.VM)
			}
		case chooses(self, other, local, near) || chooses(other, self, local, near):
			chosen = append(chosen, other.VM)
		}
	}
	sort.Strings(chosen)
	return chosen
}

// chooses reports whether b is among the first entries of its data centre,
// by rendezvous weight for a.
func chooses(a, b Node, dataCentre []Node, limit int) bool {
	w := weight(a.VM, b.VM)
	higher := 0
	for _, e := range dataCentre {
		if e.VM != a.VM && weight(a.VM, e.VM) > w {
			higher++
			if higher >= limit {
				return false
			}
		}
	}
	return true
}

// Package subset decides which agents an entry holds sessions with. A full mesh
// between hundreds of entries and thousands of agents would cost more
// heartbeats and memory than a node may spend on control traffic, so in a large
// data centre each agent is served by a few entries only.
//
// All entries compute the assignment from the same lists, without messages.
// While their lists differ, sessions may be missing or redundant, but requests
// are still served correctly.
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
	// MaxFullMeshAgents is the number of agents up to which every entry connects to
	// every agent.
	MaxFullMeshAgents int
	// EntriesPerAgent is the number of entries that serve one agent, all in
	// its data centre.
	EntriesPerAgent int
	// LoadFactor sets the maximum number of agents of one entry, in multiples of
	// the mean number per entry. Agents beyond it go to other entries.
	LoadFactor float64
}

// Defaults of Config. In a data centre of 82 entries and 1,200 agents with ten
// models, each on a tenth of the agents, four entries for each agent give an
// entry 1,200 * 4 / 82 / 10 = 5.85 agents of a given model on average, and none
// with a probability of about e^-5.85, 1 in 350. More entries for each agent
// would cost more heartbeats, see docs/CAPACITY.md.
const (
	defaultMaxFullMeshAgents = 64
	defaultEntriesPerAgent   = 4
	defaultLoadFactor        = 1.25
)

func (c Config) withDefaults() Config {
	if c.MaxFullMeshAgents == 0 {
		c.MaxFullMeshAgents = defaultMaxFullMeshAgents
	}
	if c.EntriesPerAgent == 0 {
		c.EntriesPerAgent = defaultEntriesPerAgent
	}
	if c.LoadFactor == 0 {
		c.LoadFactor = defaultLoadFactor
	}
	return c
}

// Agents returns the agents that the entry self connects to, sorted by VM.
// entries must contain self.
func Agents(c Config, self Node, entries, agents []Node) []string {
	c = c.withDefaults()
	if len(agents) <= c.MaxFullMeshAgents {
		return names(agents)
	}
	localEntries := inDataCentre(entries, self.DataCentre)
	localAgents := inDataCentre(agents, self.DataCentre)
	if len(localEntries) <= c.EntriesPerAgent {
		return names(localAgents)
	}
	return assign(c, self, localEntries, localAgents)
}

// assign returns the agents of self, sorted by VM.
func assign(c Config, self Node, entries, agents []Node) []string {
	assigned := assignAll(c, entries, agents)
	for i, e := range entries {
		if e.VM == self.VM {
			sort.Strings(assigned[i])
			return assigned[i]
		}
	}
	return nil
}

// assignAll assigns entries to every agent by rendezvous hashing with bounded
// loads and returns the agents of each entry. An agent gets the entries with the
// highest weights for it that are not full. Agents are assigned in the order of
// their hashes. This puts a new agent at a random place of the order, not always
// first or last, and spreads the free places over the entries, so that a new agent
// moves few sessions of others.
func assignAll(c Config, entries, agents []Node) [][]string {
	limit := int(math.Ceil(c.LoadFactor * float64(len(agents)*c.EntriesPerAgent) / float64(len(entries))))
	// The hash of an agent is the weight of its name with the empty name.
	byHash := append([]Node(nil), agents...)
	sort.Slice(byHash, func(i, j int) bool {
		return hashLess(weight(byHash[i].VM, ""), weight(byHash[j].VM, ""), byHash[i].VM, byHash[j].VM)
	})
	assigned := make([][]string, len(entries))
	ranked := make([]int, len(entries)) // indexes of the entries by falling weight for one agent
	weights := make([]uint64, len(entries))
	for _, agent := range byHash {
		for i, e := range entries {
			ranked[i], weights[i] = i, weight(e.VM, agent.VM)
		}
		sort.Slice(ranked, func(a, b int) bool {
			i, j := ranked[a], ranked[b]
			return hashLess(weights[j], weights[i], entries[i].VM, entries[j].VM)
		})
		chosen := 0
		for _, i := range ranked {
			if chosen == c.EntriesPerAgent {
				break
			}
			if len(assigned[i]) < limit {
				assigned[i] = append(assigned[i], agent.VM)
				chosen++
			}
		}
	}
	return assigned
}

func hashLess(a, b uint64, nameA, nameB string) bool {
	if a != b { // equal hashes are ordered by name
		return a < b
	}
	return nameA < nameB
}

func weight(a, b string) uint64 {
	// The rendezvous weight of the pair. The order of the two names matters.
	digest := xxhash.New()
	_, _ = digest.WriteString(a) // cannot fail
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

// Entries returns the entries that self holds control sessions with.
// Configuration is distributed over these sessions.
//
// In its own data centre, self chooses the given number of neighbours, and about
// as many others choose self; it holds sessions with both. Each data centre has
// a number of link entries. If self is one of them, it also holds sessions with
// the link entries of all other data centres. Sessions are symmetric: if the
// result for a contains b, the result for b contains a.
func Entries(self Node, entries []Node, neighbours, linkEntries int) []string {
	byDataCentre := map[string][]Node{}
	for _, e := range entries {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	isLinkEntry := map[string]bool{} // by VM
	for dataCentre, list := range byDataCentre {
		for _, e := range list {
			// The link entries have the highest weights for the name of their data
			// centre, which takes the place of a VM here.
			isLinkEntry[e.VM] = isTopRanked(Node{VM: dataCentre}, e, list, linkEntries)
		}
	}
	var chosen []string
	for _, other := range entries {
		local := byDataCentre[self.DataCentre]
		switch {
		case other.VM == self.VM:
		case other.DataCentre != self.DataCentre:
			if isLinkEntry[self.VM] && isLinkEntry[other.VM] {
				chosen = append(chosen, other.VM)
			}
		case isTopRanked(self, other, local, neighbours) || isTopRanked(other, self, local, neighbours):
			chosen = append(chosen, other.VM)
		}
	}
	sort.Strings(chosen)
	return chosen
}

// isTopRanked reports whether b is among the first limit entries of its data
// centre by falling rendezvous weight for a.
func isTopRanked(a, b Node, dataCentre []Node, limit int) bool {
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

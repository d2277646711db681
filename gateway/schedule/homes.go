package schedule

import (
	"github.com/cespare/xxhash/v2"

	"camphorwick.dev/gateway/registry"
)

// Gateway is a process that assigns requests to the same servers.
type Gateway struct {
	VM         string
	DataCentre string
}

// homes divides the engines among the gateways: each engine has one gateway
// that prefers it, in its own data centre if there is one. All gateways
// compute the same division from the same list (rendezvous hashing); while
// their lists differ, an engine has two homes or none, which costs little.
type homes struct {
	vm       string
	gateways []Gateway
	known    map[string]bool // by server
}

func newHomes(vm, dataCentre string) homes {
	return homes{vm: vm, gateways: []Gateway{{VM: vm, DataCentre: dataCentre}}, known: map[string]bool{}}
}

func (h *homes) set(gateways []Gateway) {
	h.gateways = gateways
	clear(h.known)
}

// maxKnownHomes bounds the memory for servers that have gone.
const maxKnownHomes = 4096

// isHome reports whether this gateway is the one that prefers the server.
func (h *homes) isHome(s *registry.Server) bool {
	home, ok := h.known[s.ID]
	if ok {
		return home
	}
	if len(h.known) >= maxKnownHomes {
		clear(h.known)
	}
	home = h.owner(s) == h.vm
	h.known[s.ID] = home
	return home
}

// owner returns the VM of the gateway that prefers the server.
func (h *homes) owner(s *registry.Server) string {
	best, bestLocal, bestScore := "", false, uint64(0)
	for _, g := range h.gateways {
		local := g.DataCentre == s.DataCentre
		if bestLocal && !local {
			continue
		}
		score := xxhash.Sum64String(g.VM + "\x00" + s.ID)
		if best == "" || local && !bestLocal || score > bestScore {
			best, bestLocal, bestScore = g.VM, local, score
		}
	}
	return best
}

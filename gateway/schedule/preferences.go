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

// preferences assigns each engine to one gateway that prefers it, in the
// engine's own data centre if there is one there. All gateways compute the same
// assignment from the same list (rendezvous hashing). While their lists differ,
// an engine may be preferred by two gateways or none, which costs little.
type preferences struct {
	vm       string
	gateways []Gateway
	cached   map[string]bool // by server
}

func newPreferences(vm, dataCentre string) preferences {
	return preferences{vm: vm, gateways: []Gateway{{VM: vm, DataCentre: dataCentre}}, cached: map[string]bool{}}
}

func (h *preferences) set(gateways []Gateway) {
	h.gateways = gateways
	clear(h.cached)
}

// maxCachedPreferences bounds the memory for servers that no longer exist.
const maxCachedPreferences = 4096

// prefers reports whether this gateway prefers the server.
func (h *preferences) prefers(s *registry.Server) bool {
	preferred, ok := h.cached[s.ID]
	if ok {
		return preferred
	}
	if len(h.cached) >= maxCachedPreferences {
		clear(h.cached)
	}
	preferred = h.preferringVM(s) == h.vm
	h.cached[s.ID] = preferred
	return preferred
}

// preferringVM returns the VM of the gateway that prefers the server.
func (h *preferences) preferringVM(s *registry.Server) string {
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

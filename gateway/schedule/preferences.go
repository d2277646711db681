package schedule

import (
	"github.com/cespare/xxhash/v2"

	"camphorwick.dev/gateway/registry"
)

// Gateway identifies a gateway by its VM and data centre.
type Gateway struct {
	VM         string
	DataCentre string
}

// preferences assigns each engine to one gateway that prefers it, in the
// engine's own data centre if there is one there. All gateways compute the same
// assignment from the same list (rendezvous hashing). Choosing a primary engine
// that another gateway prefers has a small cost, so that gateways that place at
// the same time choose different engines. While their lists differ, an engine may
// be preferred by two gateways or none, which only makes equal choices more
// likely.
type preferences struct {
	vm       string
	gateways []Gateway
	cached   map[string]bool // whether this gateway prefers the server, by server ID
}

func newPreferences(vm, dataCentre string) preferences {
	return preferences{vm: vm, gateways: []Gateway{{VM: vm, DataCentre: dataCentre}}, cached: map[string]bool{}}
}

func (p *preferences) set(gateways []Gateway) {
	p.gateways = gateways
	clear(p.cached)
}

// maxCachedPreferences bounds the cache, which keeps servers that no longer
// exist until it is emptied. It is emptied when it is full.
const maxCachedPreferences = 4096

// prefers reports whether this gateway prefers the server.
func (p *preferences) prefers(s *registry.Server) bool {
	preferred, ok := p.cached[s.ID]
	if ok {
		return preferred
	}
	if len(p.cached) >= maxCachedPreferences {
		clear(p.cached)
	}
	preferred = p.preferringVM(s) == p.vm
	p.cached[s.ID] = preferred
	return preferred
}

// preferringVM returns the VM of the gateway that prefers the server: the one
// with the highest hash among those in the server's data centre, or among all if
// there is none.
func (p *preferences) preferringVM(s *registry.Server) string {
	best, bestLocal, bestScore := "", false, uint64(0)
	for _, g := range p.gateways {
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

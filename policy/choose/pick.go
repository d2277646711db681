package choose

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// Request is what a choice depends on.
type Request struct {
	Model string
	Band  outcome.Band
	// Tokens is the prompt length in tokens.
	Tokens int
	// Prefixes are the hashes of the prompt's prefixes of 1, 2, 3, ... blocks
	// of 1,024 tokens, shortest first.
	Prefixes []uint64
	// DataCentre is that of the entry.
	DataCentre string
	// Exclude reports agents that must not be picked, such as those that
	// refused this request; nil excludes none.
	Exclude func(vm string) bool
}

// choice is the best candidate so far.
type choice struct {
	agent    *agent
	expected time.Duration
}

// Pick returns the agent with the smallest expected time to first token, and
// that time. ok is false if no usable agent has the model and the memory.
func (t *Table) Pick(now time.Time, request Request) (vm string, expected time.Duration, ok bool) {
	m := t.models[request.Model]
	if m == nil {
		return "", 0, false
	}
	site, known := t.sites[request.DataCentre]
	if !known {
		site = -1
	}
	var best choice
	t.considerOwners(now, &request, site, &best)
	t.considerSamples(now, m, &request, site, &best)
	if best.agent == nil {
		t.considerAll(now, m.all, &request, site, &best)
	}
	if best.agent == nil {
		best = t.leastHeld(m, &request)
	}
	if best.agent == nil {
		return "", 0, false
	}
	return best.agent.VM, best.expected, true
}

// considerOwners looks at the agents that hold the longest known prefix.
func (t *Table) considerOwners(now time.Time, request *Request, site int, best *choice) {
	for i := len(request.Prefixes) - 1; i >= 0; i-- {
		owners := t.owners[request.Prefixes[i]]
		if len(owners) == 0 {
			continue
		}
		for _, a := range owners {
			if a.serves(request.Model) {
				t.consider(now, a, request, site, (i+1)*blockTokens, best)
			}
		}
		return
	}
}

func (a *agent) serves(model string) bool {
	for _, name := range a.Models {
		if name == model {
			return true
		}
	}
	return false
}

// considerSamples looks at all agents of a small fleet and at random ones of
// a large fleet, in the own data centre and in all of them.
func (t *Table) considerSamples(now time.Time, m *model, request *Request, site int, best *choice) {
	if len(m.all) > t.config.ScanAll && site >= 0 && site < len(m.sites) {
		t.sample(now, m.sites[site], request, site, best)
	}
	t.sample(now, m.all, request, site, best)
}

func (t *Table) sample(now time.Time, list []*agent, request *Request, site int, best *choice) {
	if len(list) <= t.config.ScanAll {
		t.considerAll(now, list, request, site, best)
		return
	}
	for range t.config.Samples {
		t.consider(now, list[t.random.IntN(len(list))], request, site, 0, best)
	}
}

func (t *Table) considerAll(now time.Time, list []*agent, request *Request, site int, best *choice) {
	if len(list) == 0 {
		return
	}
	// Starts at a random agent, so that entries with the same view do not all
	// break ties in favour of the same agent.
	first := t.random.IntN(len(list))
	for i := range list {
		t.consider(now, list[(first+i)%len(list)], request, site, 0, best)
	}
}

func (t *Table) consider(now time.Time, a *agent, request *Request, site, hit int, best *choice) {
	if !a.usable || now.Before(a.heldUntil) || request.Tokens > a.KVTokens {
		return
	}
	if request.Exclude != nil && request.Exclude(a.VM) {
		return
	}
	c := t.estimate(now, a, request, site, hit)
	if best.agent == nil || c.expected < best.expected || (c.expected == best.expected && c.agent.outstanding < best.agent.outstanding) {
		*best = c
	}
}

// estimate computes the expected time to first token on an agent whose cache
// holds hit tokens of the prompt.
func (t *Table) estimate(now time.Time, a *agent, request *Request, site, hit int) choice {
	a.drain(now)
	tokens := float64(max(request.Tokens-hit, 0))
	for b := outcome.Short; b <= request.Band; b++ {
		tokens += a.ahead[b]
	}
	expected := time.Duration(tokens / float64(a.speed) * float64(time.Second))
	if site >= 0 {
		expected += t.distance[site][a.site]
	}
	if request.Band == outcome.Short && a.reserved+request.Tokens+memoryMargin > a.KVTokens {
		expected += t.config.MemoryPenalty
	}
	return choice{agent: a, expected: expected}
}

// leastHeld returns the usable agent whose hold-down ends first. Without it a
// fleet with one engine could serve nothing after a single failure.
func (t *Table) leastHeld(m *model, request *Request) choice {
	var best *agent
	for _, a := range m.all {
		if !a.usable || request.Tokens > a.KVTokens || (request.Exclude != nil && request.Exclude(a.VM)) {
			continue
		}
		if best == nil || a.heldUntil.Before(best.heldUntil) {
			best = a
		}
	}
	if best == nil {
		return choice{}
	}
	tokens := float64(request.Tokens)
	for b := outcome.Short; b <= request.Band; b++ {
		tokens += best.ahead[b]
	}
	return choice{agent: best, expected: time.Duration(tokens / float64(best.speed) * float64(time.Second))}
}

// PickService returns the usable agent of an order service with the highest
// rendezvous weight for the key, so that all entries send a key to one agent.
func (t *Table) PickService(now time.Time, service, key string) (vm string, ok bool) {
	return t.PickServiceExcept(now, service, key, nil)
}

// PickServiceExcept is PickService without the agents that exclude reports. An
// agent in hold-down is picked only if no other is left.
func (t *Table) PickServiceExcept(now time.Time, service, key string, exclude func(vm string) bool) (vm string, ok bool) {
	var best *agent
	var bestWeight uint64
	bestHeld := true
	keyHash := hashString(key)
	for _, a := range t.services[service] {
		if !a.usable || (exclude != nil && exclude(a.VM)) {
			continue
		}
		held, weight := now.Before(a.heldUntil), mix(a.hash^keyHash)
		if best == nil || (bestHeld && !held) || (held == bestHeld && weight > bestWeight) {
			best, bestWeight, bestHeld = a, weight, held
		}
	}
	if best == nil {
		return "", false
	}
	return best.VM, true
}

// Parameters of the FNV-1a hash and of the splitmix64 finalizer. The hash must
// be the same in all processes, which rules out hash/maphash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixA      = 0xbf58476d1ce4e5b9
	mixB      = 0x94d049bb133111eb
)

func hashString(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return mix(h)
}

func mix(h uint64) uint64 {
	h = (h ^ (h >> 30)) * mixA
	h = (h ^ (h >> 27)) * mixB
	return h ^ (h >> 31)
}

package choose

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Model string
	Band  outcome.Band
	// Tokens is the prompt length in tokens.
	Tokens int
	// Prefixes are the hashes of the prompt's prefixes of 1, 2, 3, ... blocks of
	// prefixBlockTokens, shortest first.
	Prefixes []uint64
	// DataCentre is the data centre of the entry.
	DataCentre string
	// Exclude returns true for agents that must not be picked, such as those that
	// refused this request; nil excludes none.
	Exclude func(vm string) bool
}

// candidate is an agent with the expected time to first token on it.
type candidate struct {
	agent    *agent
	expected time.Duration
}

// Pick returns the agent with the smallest expected time to first token, and that
// time. ok is false if no usable agent has the model and enough memory.
func (t *Table) Pick(now time.Time, request Request) (vm string, expected time.Duration, ok bool) {
	m := t.models[request.Model]
	if m == nil {
		return "", 0, false
	}
	dcIndex, known := t.dcIndexes[request.DataCentre]
	if !known {
		dcIndex = -1
	}
	var best candidate
	t.considerPrefixAgents(now, &request, dcIndex, &best)
	t.considerFleet(now, m, &request, dcIndex, &best)
	if best.agent == nil {
		t.considerAll(now, m.all, &request, dcIndex, &best)
	}
	if best.agent == nil {
		best = t.firstOutOfHoldDown(m, &request)
	}
	if best.agent == nil {
		return "", 0, false
	}
	return best.agent.VM, best.expected, true
}

// considerPrefixAgents considers the agents that have reported a prefix of the prompt
// as cached: those of the longest prefix for which one of them may be picked.
func (t *Table) considerPrefixAgents(now time.Time, request *Request, dcIndex int, best *candidate) {
	for i := len(request.Prefixes) - 1; i >= 0; i-- {
		found := false
		for _, a := range t.prefixAgents[request.Prefixes[i]] {
			if a.serves(request.Model) && t.consider(now, a, request, dcIndex, (i+1)*prefixBlockTokens, best) {
				found = true
			}
		}
		if found {
			return
		}
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

// considerFleet considers all agents of a small fleet. In a large fleet it
// considers random agents of the entry's data centre, which are near, and random
// agents of all data centres.
func (t *Table) considerFleet(now time.Time, m *model, request *Request, dcIndex int, best *candidate) {
	if len(m.all) > t.config.MaxScanAll && dcIndex >= 0 && dcIndex < len(m.byDC) {
		t.sample(now, m.byDC[dcIndex], request, dcIndex, best)
	}
	t.sample(now, m.all, request, dcIndex, best)
}

func (t *Table) sample(now time.Time, list []*agent, request *Request, dcIndex int, best *candidate) {
	if len(list) <= t.config.MaxScanAll {
		t.considerAll(now, list, request, dcIndex, best)
		return
	}
	for range t.config.Samples {
		t.consider(now, list[t.random.IntN(len(list))], request, dcIndex, 0, best)
	}
}

func (t *Table) considerAll(now time.Time, list []*agent, request *Request, dcIndex int, best *candidate) {
	if len(list) == 0 {
		return
	}
	// Starts at a random agent, so that entries with the same data do not all
	// break ties in favour of the same agent.
	first := t.random.IntN(len(list))
	for i := range list {
		t.consider(now, list[(first+i)%len(list)], request, dcIndex, 0, best)
	}
}

// consider makes an agent the best candidate if it is better than the present one.
// It returns false if the agent may not be picked.
func (t *Table) consider(now time.Time, a *agent, request *Request, dcIndex, cachedTokens int, best *candidate) bool {
	if !a.usable || now.Before(a.holdDownUntil) || request.Tokens > a.KVTokens {
		return false
	}
	if request.Exclude != nil && request.Exclude(a.VM) {
		return false
	}
	c := t.estimate(now, a, request, dcIndex, cachedTokens)
	if best.agent == nil || c.expected < best.expected || (c.expected == best.expected && c.agent.outstanding < best.agent.outstanding) {
		*best = c
	}
	return true
}

// estimate computes the expected time to first token on an agent that has cached
// the given number of tokens of the prompt.
func (t *Table) estimate(now time.Time, a *agent, request *Request, dcIndex, cachedTokens int) candidate {
	a.subtractPrefilledTokens(now)
	tokens := float64(max(request.Tokens-cachedTokens, 0))
	// The engine serves shorter bands first, so only work of the same and of
	// shorter bands is ahead of the request.
	for b := outcome.Short; b <= request.Band; b++ {
		tokens += a.prefillAhead[b]
	}
	expected := time.Duration(tokens / float64(a.speed) * float64(time.Second))
	if dcIndex >= 0 && a.dcIndex != dcIndex {
		expected += t.config.RoundTripTime
	}
	if request.Band == outcome.Short && a.kvReserved+request.Tokens+kvMargin > a.KVTokens {
		expected += t.config.MemoryPenalty
	}
	return candidate{agent: a, expected: expected}
}

// firstOutOfHoldDown returns the usable agent whose hold-down ends first. Pick
// calls it if all agents are in hold-down; otherwise a fleet with one engine
// could serve nothing after a single failure.
func (t *Table) firstOutOfHoldDown(m *model, request *Request) candidate {
	var best *agent
	for _, a := range m.all {
		if !a.usable || request.Tokens > a.KVTokens || (request.Exclude != nil && request.Exclude(a.VM)) {
			continue
		}
		if best == nil || a.holdDownUntil.Before(best.holdDownUntil) {
			best = a
		}
	}
	if best == nil {
		return candidate{}
	}
	tokens := float64(request.Tokens)
	for b := outcome.Short; b <= request.Band; b++ {
		tokens += best.prefillAhead[b]
	}
	return candidate{agent: best, expected: time.Duration(tokens / float64(best.speed) * float64(time.Second))}
}

// PickService returns the usable agent of an order service with the highest
// rendezvous weight for the key, so that all entries send requests with the same
// key to the same agent.
func (t *Table) PickService(now time.Time, service, key string) (vm string, ok bool) {
	return t.PickServiceExcept(now, service, key, nil)
}

// PickServiceExcept is PickService without the agents for which exclude returns
// true. An agent in hold-down is picked only if no other is left.
func (t *Table) PickServiceExcept(now time.Time, service, key string, exclude func(vm string) bool) (vm string, ok bool) {
	var best *agent
	var bestWeight uint64
	bestInHoldDown := true
	keyHash := hashString(key)
	for _, a := range t.services[service] {
		if !a.usable || (exclude != nil && exclude(a.VM)) {
			continue
		}
		inHoldDown, weight := now.Before(a.holdDownUntil), mixHash(a.hash^keyHash)
		if best == nil || (bestInHoldDown && !inHoldDown) || (inHoldDown == bestInHoldDown && weight > bestWeight) {
			best, bestWeight, bestInHoldDown = a, weight, inHoldDown
		}
	}
	if best == nil {
		return "", false
	}
	return best.VM, true
}

// Parameters of the FNV-1a hash and of the splitmix64 finalizer. The hash must be
// the same in all processes, which rules out hash/maphash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	splitmixA = 0xbf58476d1ce4e5b9
	splitmixB = 0x94d049bb133111eb
)

func hashString(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return mixHash(h)
}

func mixHash(h uint64) uint64 { // splitmix64 finalizer
	h = (h ^ (h >> 30)) * splitmixA
	h = (h ^ (h >> 27)) * splitmixB
	return h ^ (h >> 31)
}

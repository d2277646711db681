// Package choose picks the agent that is expected to produce the first token
// of a request soonest. It exists because the load reports of agents lag: the
// table adds the work that this entry has sent since, drains both at the speed
// of the engine, and looks at a bounded number of agents per choice.
//
// A Table performs no I/O, takes the time as an argument and is not safe for
// concurrent use.
package choose

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphorwick.dev/api/outcome"
)

// Agent is what an entry knows about an agent from its handshake.
type Agent struct {
	VM         string
	DataCentre string
	// Models are the models that the engine has loaded.
	Models []string
	// KVTokens is the KV-cache memory of the engine in tokens.
	KVTokens int
	// PrefillTokensPerSecond is the prefill speed of the engine.
	PrefillTokensPerSecond int
	// Service is the name of the order service, or "" for an engine.
	Service string
}

// Load is the load that an agent reports.
type Load struct {
	// PrefillTokens are the tokens queued or in prefill, by length band.
	PrefillTokens [outcome.BandCount]int
	// KVReserved is the reserved KV-cache memory in tokens.
	KVReserved int
	Running    int
	Queued     int
}

// agent is the state of one agent.
type agent struct {
	Agent
	hash   uint64
	site   int // index of the data centre
	usable bool

	// ahead is the prefill work in tokens by band: the last report plus what
	// was sent since, drained up to drained.
	ahead       [outcome.BandCount]float64
	drained     time.Time
	speed       int // prefill tokens/s in force
	reserved    int // KV-cache memory in tokens, as reported
	outstanding int // requests of this entry that run there

	failures  float64 // recent failures, reduced by successes
	heldUntil time.Time
	prefixes  []uint64
}

// model lists the agents that serve one model.
type model struct {
	all   []*agent   // by hash
	sites [][]*agent // by data centre
}

// Table holds the agents that an entry is connected to.
type Table struct {
	config   Config
	random   *rand.Rand
	agents   map[string]*agent
	models   map[string]*model
	services map[string][]*agent
	owners   map[uint64][]*agent // agents that reported a prefix as cached
	sites    map[string]int
	distance [][]time.Duration
}

// New returns an empty table. Zero fields of config get their defaults.
func New(config Config) *Table {
	return &Table{
		config:   config.withDefaults(),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
		agents:   map[string]*agent{},
		models:   map[string]*model{},
		services: map[string][]*agent{},
		owners:   map[uint64][]*agent{},
		sites:    map[string]int{},
	}
}

// Upsert adds an agent or replaces its description. A new agent is usable and
// without load; a known one keeps both.
func (t *Table) Upsert(description Agent) {
	a := t.agents[description.VM]
	if a == nil {
		a = &agent{hash: hashString(description.VM), usable: true}
		t.agents[description.VM] = a
	} else {
		t.unlink(a)
	}
	description.Models = slices.Clone(description.Models)
	description.PrefillTokensPerSecond = max(description.PrefillTokensPerSecond, 1)
	a.Agent, a.speed = description, description.PrefillTokensPerSecond
	a.site = t.site(description.DataCentre)
	t.link(a)
}

// Remove forgets an agent.
func (t *Table) Remove(vm string) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	t.unlink(a)
	t.dropPrefixOwnership(a)
	delete(t.agents, vm)
}

// SetUsable excludes an agent that drains or is suspected, or admits it again.
func (t *Table) SetUsable(vm string, usable bool) {
	if a := t.agents[vm]; a != nil {
		a.usable = usable
	}
}

// SetDistance sets the round-trip time between two data centres, both ways.
func (t *Table) SetDistance(a, b string, d time.Duration) {
	i, j := t.site(a), t.site(b)
	t.distance[i][j], t.distance[j][i] = d, d
}

// site returns the index of a data centre and adds it if it is new.
func (t *Table) site(name string) int {
	if i, ok := t.sites[name]; ok {
		return i
	}
	n := len(t.sites)
	t.sites[name] = n
	t.distance = append(t.distance, make([]time.Duration, n))
	for i := range t.distance {
		if i < n {
			t.distance[n][i] = t.config.DefaultDistance
			t.distance[i] = append(t.distance[i], t.config.DefaultDistance)
		}
	}
	t.distance[n] = append(t.distance[n], 0)
	return n
}

func (t *Table) link(a *agent) {
	for _, name := range a.Models {
		m := t.models[name]
		if m == nil {
			m = &model{}
			t.models[name] = m
		}
		m.all = insertByHash(m.all, a)
		for len(m.sites) <= a.site {
			m.sites = append(m.sites, nil)
		}
		m.sites[a.site] = insertByHash(m.sites[a.site], a)
	}
	if a.Service != "" {
		t.services[a.Service] = insertByHash(t.services[a.Service], a)
	}
}

func (t *Table) unlink(a *agent) {
	for _, name := range a.Models {
		m := t.models[name]
		m.all = remove(m.all, a)
		m.sites[a.site] = remove(m.sites[a.site], a)
		if len(m.all) == 0 {
			delete(t.models, name)
		}
	}
	if a.Service != "" {
		t.services[a.Service] = remove(t.services[a.Service], a)
		if len(t.services[a.Service]) == 0 {
			delete(t.services, a.Service)
		}
	}
}

func insertByHash(list []*agent, a *agent) []*agent {
	i, _ := slices.BinarySearchFunc(list, a, compareHash)
	return slices.Insert(list, i, a)
}

func compareHash(a, b *agent) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	case a.VM < b.VM:
		return -1
	case a.VM > b.VM:
		return 1
	}
	return 0
}

func remove(list []*agent, a *agent) []*agent {
	if i := slices.Index(list, a); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// Report records the load that an agent reported; work sent before now is
// taken to be part of it.
func (t *Table) Report(now time.Time, vm string, load Load) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.drained = now
	a.reserved = load.KVReserved
	for b, tokens := range load.PrefillTokens {
		a.ahead[b] = float64(tokens)
	}
}

// SetPrefillSpeed records the prefill speed in tokens/s that an agent observed.
// It replaces the speed of the handshake only where it is far lower, because
// cached prefixes and short samples make observations differ between engines of
// equal speed.
func (t *Table) SetPrefillSpeed(now time.Time, vm string, tokensPerSecond int) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.drain(now)
	a.speed = a.PrefillTokensPerSecond
	if float64(tokensPerSecond) < slowShare*float64(a.speed) {
		a.speed = max(tokensPerSecond, 1)
	}
}

// Sent adds work that this entry sent to an agent to the agent's load.
func (t *Table) Sent(now time.Time, vm string, band outcome.Band, tokens int) {
	if a := t.agents[vm]; a != nil {
		a.drain(now)
		a.ahead[band] += float64(tokens)
	}
}

// drain reduces the work ahead by what the engine has done since the last
// call, shorter bands first.
func (a *agent) drain(now time.Time) {
	elapsed := now.Sub(a.drained)
	a.drained = now
	if elapsed <= 0 {
		return
	}
	done := elapsed.Seconds() * float64(a.speed)
	for b := range a.ahead {
		part := min(done, a.ahead[b])
		a.ahead[b] -= part
		done -= part
	}
}

// Started records that a request of this entry runs on the agent.
func (t *Table) Started(now time.Time, vm string) {
	if a := t.agents[vm]; a != nil {
		a.outstanding++
	}
}

// Ended records that a request of this entry has ended there. ok says that it
// succeeded, which shortens a later hold-down; call Failed for a failure.
func (t *Table) Ended(now time.Time, vm string, ok bool) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.outstanding = max(a.outstanding-1, 0)
	if ok && !now.Before(a.heldUntil) {
		a.failures *= successFactor
	}
}

// Failed records a failure of an agent. The agent gets no work for a hold
// time that doubles with each recent failure, unless no other agent is left.
func (t *Table) Failed(now time.Time, vm string) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	if now.Before(a.heldUntil) {
		return // requests that were sent before the hold fail together
	}
	a.failures++
	hold := t.config.Hold
	for i := 1; i < int(a.failures) && hold < t.config.MaxHold; i++ {
		hold *= 2
	}
	a.heldUntil = now.Add(min(hold, t.config.MaxHold))
}

// CachedPrefixes replaces the prefixes that an agent reported as cached. They
// are a hint: a wrong one costs time, never correctness.
func (t *Table) CachedPrefixes(vm string, prefixes []uint64) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	t.dropPrefixOwnership(a)
	a.prefixes = append(a.prefixes[:0], prefixes...)
	for _, p := range a.prefixes {
		if len(t.owners[p]) < maxOwners && !slices.Contains(t.owners[p], a) {
			t.owners[p] = append(t.owners[p], a)
		}
	}
}

func (t *Table) dropPrefixOwnership(a *agent) {
	for _, p := range a.prefixes {
		if left := remove(t.owners[p], a); len(left) > 0 {
			t.owners[p] = left
		} else {
			delete(t.owners, p)
		}
	}
	a.prefixes = a.prefixes[:0]
}

// Package choose picks the agent with the smallest expected time to first token
// for a request. Load reports are up to an interval old, so the table adds the
// work that this entry has sent since the last report and subtracts the work that
// the engine has done since, at its prefill speed. A choice considers a bounded
// number of agents.
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

// Agent describes an agent as in its handshake.
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

// agent is an agent with its load and its failures as this entry sees them.
type agent struct {
	Agent
	hash    uint64 // of the VM name
	dcIndex int    // index of the data centre in Table.dcIndexes
	usable  bool   // as set by SetUsable

	// prefillAhead is the prefill work in tokens by band: that of the last report
	// and what this entry has sent since, less what the engine has done up to
	// updatedAt.
	prefillAhead [outcome.BandCount]float64
	updatedAt    time.Time
	speed        int // prefill tokens/s: that of the handshake, or the observed one if far lower
	kvReserved   int // KV-cache memory in tokens, as reported
	outstanding  int // requests of this entry that run there

	recentFailures float64 // count of recent failures, reduced by each success
	holdDownUntil  time.Time
	prefixes       []uint64 // hashes of the prefixes that the agent reported as cached
}

// model holds the agents that serve one model.
type model struct {
	all  []*agent   // ordered by hash
	byDC [][]*agent // by index of the data centre, ordered by hash
}

// Table holds the agents to which an entry is connected.
type Table struct {
	config       Config
	random       *rand.Rand
	agents       map[string]*agent   // by VM
	models       map[string]*model   // by name
	services     map[string][]*agent // agents of each order service, ordered by hash
	prefixAgents map[uint64][]*agent // agents that reported a prefix as cached
	dcIndexes    map[string]int      // index of each data centre by name
}

// New returns an empty table. Zero fields of config get their defaults.
func New(config Config) *Table {
	return &Table{
		config:       config.withDefaults(),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed)),
		agents:       map[string]*agent{},
		models:       map[string]*model{},
		services:     map[string][]*agent{},
		prefixAgents: map[uint64][]*agent{},
		dcIndexes:    map[string]int{},
	}
}

// Upsert adds an agent or replaces its description. A new agent is usable and
// has no load; a known one keeps its state and load.
func (t *Table) Upsert(description Agent) {
	a := t.agents[description.VM]
	if a == nil {
		a = &agent{hash: hashString(description.VM), usable: true}
		t.agents[description.VM] = a
	} else {
		t.removeFromIndexes(a)
	}
	description.Models = slices.Clone(description.Models)
	description.PrefillTokensPerSecond = max(description.PrefillTokensPerSecond, 1)
	a.Agent, a.speed = description, description.PrefillTokensPerSecond
	a.dcIndex = t.dcIndex(description.DataCentre)
	t.addToIndexes(a)
}

// Remove removes an agent.
func (t *Table) Remove(vm string) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	t.removeFromIndexes(a)
	t.removeFromPrefixes(a)
	delete(t.agents, vm)
}

// SetUsable sets whether Pick and PickService may return an agent. Callers set it
// to false for agents that are draining or suspected.
func (t *Table) SetUsable(vm string, usable bool) {
	if a := t.agents[vm]; a != nil {
		a.usable = usable
	}
}

// dcIndex returns the index of a data centre and adds it if it is new.
func (t *Table) dcIndex(name string) int {
	if i, ok := t.dcIndexes[name]; ok {
		return i
	}
	n := len(t.dcIndexes)
	t.dcIndexes[name] = n
	return n
}

func (t *Table) addToIndexes(a *agent) {
	for _, name := range a.Models {
		m := t.models[name]
		if m == nil {
			m = &model{}
			t.models[name] = m
		}
		m.all = insertByHash(m.all, a)
		for len(m.byDC) <= a.dcIndex {
			m.byDC = append(m.byDC, nil)
		}
		m.byDC[a.dcIndex] = insertByHash(m.byDC[a.dcIndex], a)
	}
	if a.Service != "" {
		t.services[a.Service] = insertByHash(t.services[a.Service], a)
	}
}

func (t *Table) removeFromIndexes(a *agent) {
	for _, name := range a.Models {
		m := t.models[name]
		m.all = remove(m.all, a)
		m.byDC[a.dcIndex] = remove(m.byDC[a.dcIndex], a)
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

// Report records the load that an agent reported. Work sent before now is taken
// to be part of it.
func (t *Table) Report(now time.Time, vm string, load Load) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.updatedAt = now
	a.kvReserved = load.KVReserved
	for b, tokens := range load.PrefillTokens {
		a.prefillAhead[b] = float64(tokens)
	}
}

// SetPrefillSpeed records the prefill speed in tokens/s that an agent observed.
// It replaces the speed of the handshake only if it is far lower, because cached
// prefixes and few samples make observations differ between engines of equal
// speed.
func (t *Table) SetPrefillSpeed(now time.Time, vm string, tokensPerSecond int) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.subtractPrefilledTokens(now)
	a.speed = a.PrefillTokensPerSecond
	if float64(tokensPerSecond) < slowSpeedShare*float64(a.speed) {
		a.speed = max(tokensPerSecond, 1)
	}
}

// AddSentWork adds the prefill tokens of a request that this entry has sent to an
// agent to the work of the agent.
func (t *Table) AddSentWork(now time.Time, vm string, band outcome.Band, tokens int) {
	if a := t.agents[vm]; a != nil {
		a.subtractPrefilledTokens(now)
		a.prefillAhead[band] += float64(tokens)
	}
}

// subtractPrefilledTokens subtracts from prefillAhead what the engine has done
// since updatedAt, shorter bands first.
func (a *agent) subtractPrefilledTokens(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	a.updatedAt = now
	if elapsed <= 0 {
		return
	}
	done := elapsed.Seconds() * float64(a.speed) // in tokens
	for b := range a.prefillAhead {
		served := min(done, a.prefillAhead[b])
		a.prefillAhead[b] -= served
		done -= served
	}
}

// RecordStart records that this entry has sent a request to the agent.
func (t *Table) RecordStart(now time.Time, vm string) {
	if a := t.agents[vm]; a != nil {
		a.outstanding++
	}
}

// RecordEnd records that a request of this entry has ended on the agent. ok
// reports whether it succeeded, which shortens a later hold-down. For a failure of
// the agent, callers also call RecordFailure.
func (t *Table) RecordEnd(now time.Time, vm string, ok bool) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.outstanding = max(a.outstanding-1, 0)
	if ok && !now.Before(a.holdDownUntil) {
		a.recentFailures *= failureDecay
	}
}

// RecordFailure records a failure of an agent and puts the agent in hold-down,
// for a time that doubles with each recent failure.
func (t *Table) RecordFailure(now time.Time, vm string) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	if now.Before(a.holdDownUntil) {
		return // requests sent before the hold-down often fail together and count once
	}
	a.recentFailures++
	holdDown := t.config.HoldDown
	for i := 1; i < int(a.recentFailures) && holdDown < t.config.MaxHoldDown; i++ {
		holdDown *= 2
	}
	a.holdDownUntil = now.Add(min(holdDown, t.config.MaxHoldDown))
}

// CachedPrefixes replaces the prefixes that an agent reported as cached. They are
// a hint: a wrong one costs time but does not change the result.
func (t *Table) CachedPrefixes(vm string, prefixes []uint64) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	t.removeFromPrefixes(a)
	a.prefixes = append(a.prefixes[:0], prefixes...)
	for _, p := range a.prefixes {
		if len(t.prefixAgents[p]) < maxAgentsPerPrefix && !slices.Contains(t.prefixAgents[p], a) {
			t.prefixAgents[p] = append(t.prefixAgents[p], a)
		}
	}
}

func (t *Table) removeFromPrefixes(a *agent) {
	for _, p := range a.prefixes {
		if left := remove(t.prefixAgents[p], a); len(left) > 0 {
			t.prefixAgents[p] = left
		} else {
			delete(t.prefixAgents, p)
		}
	}
	a.prefixes = a.prefixes[:0]
}

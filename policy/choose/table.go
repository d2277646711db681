// Package choose picks the agent with the smallest expected time to first token
// for a request. The load reports of agents lag, so the table adds the work that
// this entry has sent since, reduces the sum at the prefill speed of the engine, and
// considers a bounded number of agents per choice.
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
	hash    uint64
	dcIndex int // index of the data centre in Table.dcIndexes
	usable  bool

	// prefillAhead is the prefill work in tokens by band: the last report plus
	// what was sent since, less what the engine has done up to drainedAt.
	prefillAhead [outcome.BandCount]float64
	drainedAt    time.Time
	speed        int // prefill tokens/s: that of the handshake, or the observed one if far lower
	kvReserved   int // KV-cache memory in tokens, as reported
	outstanding  int // requests of this entry that run there

	recentFailures float64 // count of recent failures, reduced by each success
	heldUntil      time.Time
	prefixes       []uint64 // reported as cached
}

// model holds the agents that serve one model.
type model struct {
	all  []*agent   // ordered by hash
	byDC [][]*agent // by index of the data centre, ordered by hash
}

// Table holds the agents to which an entry is connected.
type Table struct {
	config         Config
	random         *rand.Rand
	agents         map[string]*agent
	models         map[string]*model
	services       map[string][]*agent
	prefixOwners   map[uint64][]*agent // agents that reported a prefix as cached
	dcIndexes      map[string]int
	roundTripTimes [][]time.Duration
}

// New returns an empty table. Zero fields of config get their defaults.
func New(config Config) *Table {
	return &Table{
		config:       config.withDefaults(),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed)),
		agents:       map[string]*agent{},
		models:       map[string]*model{},
		services:     map[string][]*agent{},
		prefixOwners: map[uint64][]*agent{},
		dcIndexes:    map[string]int{},
	}
}

// Upsert adds an agent or replaces its description. A new agent is usable and
// without load; a known one keeps its state and load.
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
	t.dropPrefixOwnership(a)
	delete(t.agents, vm)
}

// SetUsable sets whether Pick and PickService may return an agent. Agents that
// drain or are suspected are not usable.
func (t *Table) SetUsable(vm string, usable bool) {
	if a := t.agents[vm]; a != nil {
		a.usable = usable
	}
}

// SetRoundTripTime sets the round-trip time between two data centres in both
// directions.
func (t *Table) SetRoundTripTime(a, b string, d time.Duration) {
	i, j := t.dcIndex(a), t.dcIndex(b)
	t.roundTripTimes[i][j], t.roundTripTimes[j][i] = d, d
}

// dcIndex returns the index of a data centre and adds it if it is new.
func (t *Table) dcIndex(name string) int {
	if i, ok := t.dcIndexes[name]; ok {
		return i
	}
	n := len(t.dcIndexes)
	t.dcIndexes[name] = n
	t.roundTripTimes = append(t.roundTripTimes, make([]time.Duration, n))
	for i := range t.roundTripTimes {
		if i < n {
			t.roundTripTimes[n][i] = t.config.DefaultRoundTripTime
			t.roundTripTimes[i] = append(t.roundTripTimes[i], t.config.DefaultRoundTripTime)
		}
	}
	t.roundTripTimes[n] = append(t.roundTripTimes[n], 0)
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
	a.drainedAt = now
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
	a.drain(now)
	a.speed = a.PrefillTokensPerSecond
	if float64(tokensPerSecond) < slowSpeedShare*float64(a.speed) {
		a.speed = max(tokensPerSecond, 1)
	}
}

// AddSentWork adds the prefill tokens of a request that this entry sent to an agent to
// the load of the agent.
func (t *Table) AddSentWork(now time.Time, vm string, band outcome.Band, tokens int) {
	if a := t.agents[vm]; a != nil {
		a.drain(now)
		a.prefillAhead[band] += float64(tokens)
	}
}

// drain reduces prefillAhead by what the engine has done since the last call,
// shorter bands first.
func (a *agent) drain(now time.Time) {
	elapsed := now.Sub(a.drainedAt)
	a.drainedAt = now
	if elapsed <= 0 {
		return
	}
	done := elapsed.Seconds() * float64(a.speed)
	for b := range a.prefillAhead {
		served := min(done, a.prefillAhead[b])
		a.prefillAhead[b] -= served
		done -= served
	}
}

// RecordStart records that a request of this entry runs on the agent.
func (t *Table) RecordStart(now time.Time, vm string) {
	if a := t.agents[vm]; a != nil {
		a.outstanding++
	}
}

// RecordEnd records that a request of this entry has ended on the agent. ok reports
// that it succeeded, which shortens a later hold-down; call RecordFailure for a failure.
func (t *Table) RecordEnd(now time.Time, vm string, ok bool) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	a.outstanding = max(a.outstanding-1, 0)
	if ok && !now.Before(a.heldUntil) {
		a.recentFailures *= successFactor
	}
}

// RecordFailure records a failure of an agent. The agent gets no requests for a
// hold-down time that doubles with each recent failure, unless no other agent is
// left.
func (t *Table) RecordFailure(now time.Time, vm string) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	if now.Before(a.heldUntil) {
		return // requests sent before the hold-down often fail together and count once
	}
	a.recentFailures++
	hold := t.config.Hold
	for i := 1; i < int(a.recentFailures) && hold < t.config.MaxHold; i++ {
		hold *= 2
	}
	a.heldUntil = now.Add(min(hold, t.config.MaxHold))
}

// CachedPrefixes replaces the prefixes that an agent reported as cached. They are
// a hint: a wrong one costs time but does not change the result.
func (t *Table) CachedPrefixes(vm string, prefixes []uint64) {
	a := t.agents[vm]
	if a == nil {
		return
	}
	t.dropPrefixOwnership(a)
	a.prefixes = append(a.prefixes[:0], prefixes...)
	for _, p := range a.prefixes {
		if len(t.prefixOwners[p]) < maxPrefixOwners && !slices.Contains(t.prefixOwners[p], a) {
			t.prefixOwners[p] = append(t.prefixOwners[p], a)
		}
	}
}

func (t *Table) dropPrefixOwnership(a *agent) {
	for _, p := range a.prefixes {
		if left := remove(t.prefixOwners[p], a); len(left) > 0 {
			t.prefixOwners[p] = left
		} else {
			delete(t.prefixOwners, p)
		}
	}
	a.prefixes = a.prefixes[:0]
}

package dispatch

import "time"

// The load of an unresponsive peer is counted for peerLifetime +
// peerLifetimePerPeer * number of peers. A peer with work in flight sends its
// load every 120 ms, or every 0.5 ms * number of peers if that is longer. A peer
// that has sent nothing for four times as long has most likely failed, and its
// requests with it. Until its load expires, the engines that it used seem full,
// and the other gateways send their requests to the few remaining ones.
const (
	peerLifetime        = 500 * time.Millisecond
	peerLifetimePerPeer = 2 * time.Millisecond
)

// minRemainingShare is the share of a prompt that counts as pending if its
// first token is overdue.
const minRemainingShare = 0.05

// LoadTracker tracks the requests of this process and of its peers that are in
// flight on each engine. It is not safe for concurrent use.
type LoadTracker struct {
	own     map[string]*ownLoad   // by engine
	engines map[string]*peerLoads // load of the peers by engine
	peers   map[string]*peerState // by name
	// lastExpiry is the time of the last call of Expire.
	lastExpiry time.Time
}

// peerLoads is the load of all peers on one engine.
type peerLoads struct {
	loads map[string]Load // by peer
	sum   Load
}

// ownLoad is the load of this process on one engine.
type ownLoad struct {
	// Requests whose primary engine it is, and the KV cache memory in tokens that
	// all requests reserve there.
	decoding, prefilling, reservedTokens int
	// shards holds the requests of which the engine has a shard to prefill: true
	// if it is their primary engine, false if it is a helper.
	shards    map[*Job]bool
	asPrimary map[*Job]bool // requests whose primary engine it is, until they end
}

type peerState struct {
	engines     map[string]bool // engines with load of this peer
	lastMessage time.Time       // or the end of a pause of this process, if that is later
	// synced is set once the peer has sent its complete load, not only changes.
	synced bool
}

// NewLoadTracker returns a tracker without any load.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{own: map[string]*ownLoad{}, engines: map[string]*peerLoads{}, peers: map[string]*peerState{}}
}

// Job is a request in flight.
type Job struct {
	tracker      *LoadTracker
	primary      string
	helpers      []string
	helperTokens []int // tokens stored on each helper; nil for none
	prompt       Prompt
	shard        PrefillWork // work of each engine that prefills the prompt
	started      time.Time
	expected     time.Duration // from started to the first token
	inPrefill    bool
	ended        bool
}

// Start records that a prompt was sent to its primary engine and its helpers.
// helperTokens are the tokens that each helper stores, nil for none, and expected
// is the expected time to first token.
func (t *LoadTracker) Start(primary string, helpers []string, helperTokens []int, p Prompt, expected time.Duration, now time.Time) *Job {
	j := &Job{tracker: t, primary: primary, helpers: helpers, helperTokens: helperTokens, prompt: p, started: now, expected: expected, inPrefill: true,
		shard: PromptPrefill(p.Tokens).Shard(len(helpers) + 1)}
	e := t.engine(primary)
	e.prefilling++
	e.reservedTokens += j.primaryTokens()
	for i, tokens := range helperTokens {
		t.engine(helpers[i]).reservedTokens += tokens
	}
	e.shards[j] = true
	e.asPrimary[j] = true
	for _, id := range helpers {
		t.engine(id).shards[j] = false
	}
	return j
}

func (t *LoadTracker) engine(id string) *ownLoad {
	e := t.own[id]
	if e == nil {
		e = &ownLoad{shards: map[*Job]bool{}, asPrimary: map[*Job]bool{}}
		t.own[id] = e
	}
	return e
}

// RecordFirstToken records that the prefill is complete.
func (j *Job) RecordFirstToken() {
	if !j.inPrefill {
		return
	}
	j.endPrefill()
	j.tracker.engine(j.primary).decoding++
}

func (j *Job) endPrefill() {
	j.inPrefill = false
	e := j.tracker.engine(j.primary)
	e.prefilling--
	delete(e.shards, j)
	for _, id := range j.helpers {
		delete(j.tracker.engine(id).shards, j)
	}
}

// End records that the request no longer uses an engine. Further calls have no
// effect.
func (j *Job) End() {
	if j.ended {
		return
	}
	j.ended = true
	e := j.tracker.engine(j.primary)
	if j.inPrefill {
		j.endPrefill()
	} else {
		e.decoding--
	}
	e.reservedTokens -= j.primaryTokens()
	for i, tokens := range j.helperTokens {
		j.tracker.engine(j.helpers[i]).reservedTokens -= tokens
	}
	delete(e.asPrimary, j)
}

// primaryTokens returns the KV cache memory in tokens that the job needs on its
// primary engine: that of prompt and answer, less what the helpers store.
func (j *Job) primaryTokens() int {
	tokens := j.prompt.Tokens + j.prompt.AnswerTokens
	for _, helperTokens := range j.helperTokens {
		tokens -= helperTokens
	}
	return tokens
}

// remainingPrefill estimates the pending prefill of one shard of the job from
// the time that has passed since its start.
func (j *Job) remainingPrefill(now time.Time) PrefillWork {
	share := 1 - float64(now.Sub(j.started))/float64(max(j.expected, time.Millisecond))
	return j.shard.Scale(max(share, minRemainingShare))
}

// OwnLoad returns the load of this process on an engine.
func (t *LoadTracker) OwnLoad(id string, now time.Time) Load {
	e := t.own[id]
	if e == nil {
		return Load{}
	}
	l := Load{Decoding: e.decoding, Prefilling: e.prefilling, ReservedTokens: e.reservedTokens}
	for j := range e.asPrimary {
		l.EventGapLimitMillis = shorterGap(l.EventGapLimitMillis, j.prompt.EventGapLimitMillis)
	}
	for j, asPrimary := range e.shards {
		if !asPrimary {
			l.Helping++
		}
		l.Prefill = l.Prefill.Add(j.remainingPrefill(now))
	}
	return l
}

// Load returns the load of this process and its peers on an engine.
func (t *LoadTracker) Load(id string, now time.Time) Load {
	l := t.OwnLoad(id, now)
	if e := t.engines[id]; e != nil {
		l = l.Add(e.sum)
	}
	return l
}

// EachOwnLoad calls f for each engine with load of this process.
func (t *LoadTracker) EachOwnLoad(now time.Time, f func(id string, l Load)) {
	for id, e := range t.own {
		if e.decoding == 0 && e.prefilling == 0 && e.reservedTokens == 0 && len(e.shards) == 0 {
			delete(t.own, id)
			continue
		}
		f(id, t.OwnLoad(id, now))
	}
}

// SetPeer records the load of a peer. If complete is set, loads holds all of it,
// else only the engines whose load has changed. It reports whether the complete
// load of the peer is known now.
func (t *LoadTracker) SetPeer(name string, loads map[string]Load, complete bool, now time.Time) bool {
	p := t.peers[name]
	if p == nil {
		p = &peerState{engines: map[string]bool{}}
		t.peers[name] = p
	}
	p.lastMessage = now
	p.synced = p.synced || complete
	if complete {
		for id := range p.engines {
			if _, named := loads[id]; !named {
				t.setPeerLoad(name, p, id, Load{})
			}
		}
	}
	for id, l := range loads {
		t.setPeerLoad(name, p, id, l)
	}
	return p.synced
}

// setPeerLoad replaces the load of one peer on one engine.
func (t *LoadTracker) setPeerLoad(name string, p *peerState, id string, l Load) {
	e := t.engines[id]
	if l == (Load{}) {
		delete(p.engines, id)
		if e == nil {
			return
		}
		delete(e.loads, name)
		if len(e.loads) == 0 {
			delete(t.engines, id)
			return
		}
	} else {
		if e == nil {
			e = &peerLoads{loads: map[string]Load{}}
			t.engines[id] = e
		}
		p.engines[id] = true
		e.loads[name] = l
	}
	e.sum = Load{}
	for _, load := range e.loads {
		e.sum = e.sum.Add(load)
	}
}

// Expire drops the load of unresponsive peers. Callers call it several times
// within peerLifetime. If more than half of peerLifetime lies between two calls,
// this process was paused and could not receive messages, so the lifetime of all
// peers starts again.
func (t *LoadTracker) Expire(now time.Time) {
	paused := !t.lastExpiry.IsZero() && now.Sub(t.lastExpiry) > peerLifetime/2
	t.lastExpiry = now
	lifetime := peerLifetime + time.Duration(len(t.peers))*peerLifetimePerPeer
	for name, p := range t.peers {
		if paused {
			p.lastMessage = now
		}
		if now.Sub(p.lastMessage) <= lifetime {
			continue
		}
		for id := range p.engines {
			t.setPeerLoad(name, p, id, Load{})
		}
		delete(t.peers, name)
	}
}

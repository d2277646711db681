package dispatch

import "time"

// A silent peer counts for peerLifetime and peerLifetimeEach for every peer. A
// peer with work sends every 120 ms, or every 0.5 ms for each peer if that is
// longer, so one that is silent for four times as long has most likely died, and
// its requests with it. While it counts, its engines seem full, and callers that
// come to other gateways instead are crowded on the few others.
const (
	peerLifetime     = 500 * time.Millisecond
	peerLifetimeEach = 2 * time.Millisecond
)

// minReadingShare is what counts as unread of a prompt that should have been
// read by now but has no first token yet.
const minReadingShare = 0.05

// LoadTracker keeps what this process and its peers have in work on each engine. It
// is not safe for concurrent use.
type LoadTracker struct {
	own map[string]*engineWork
	// engines holds the work of the peers by engine, peers what belongs to one
	// peer.
	engines map[string]*peerEngine
	peers   map[string]*peerWork
	// expired is when silent peers were last looked for.
	expired time.Time
}

// peerEngine is the work of all peers on one engine.
type peerEngine struct {
	loads map[string]Load // by peer
	sum   Load
}

type engineWork struct {
	writers, waiting, context int
	parts                     map[*Job]bool // true: this engine answers, false: it helps
	answers                   map[*Job]bool // in progress and waiting
}

type peerWork struct {
	engines map[string]bool
	at      time.Time
	// whole says that all work of the peer is known, not only changes.
	whole bool
}

// NewLoadTracker returns an empty board.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{own: map[string]*engineWork{}, engines: map[string]*peerEngine{}, peers: map[string]*peerWork{}}
}

// Job is a request in work.
type Job struct {
	board    *LoadTracker
	first    string
	helpers  []string
	held     []int // tokens stored at each helper; nil for none
	prompt   Prompt
	part     PrefillWork
	started  time.Time
	expected time.Duration
	reading  bool
	ended    bool
}

// Start records that a prompt was sent to engine first with the help of
// others, which store held tokens of it each; expected is the time until its
// first token.
func (b *LoadTracker) Start(first string, helpers []string, held []int, p Prompt, expected time.Duration, now time.Time) *Job {
	j := &Job{board: b, first: first, helpers: helpers, held: held, prompt: p, started: now, expected: expected, reading: true,
		part: PromptPrefill(p.Tokens).Shard(len(helpers) + 1)}
	e := b.engine(first)
	e.waiting++
	e.context += j.own()
	for i, tokens := range held {
		b.engine(helpers[i]).context += tokens
	}
	e.parts[j] = true
	e.answers[j] = true
	for _, id := range helpers {
		b.engine(id).parts[j] = false
	}
	return j
}

func (b *LoadTracker) engine(id string) *engineWork {
	e := b.own[id]
	if e == nil {
		e = &engineWork{parts: map[*Job]bool{}, answers: map[*Job]bool{}}
		b.own[id] = e
	}
	return e
}

// RecordFirstToken records that the prompt has been read.
func (j *Job) RecordFirstToken() {
	if !j.reading {
		return
	}
	j.stopReading()
	j.board.engine(j.first).writers++
}

func (j *Job) stopReading() {
	j.reading = false
	e := j.board.engine(j.first)
	e.waiting--
	delete(e.parts, j)
	for _, id := range j.helpers {
		delete(j.board.engine(id).parts, j)
	}
}

// End records that the request no longer uses an engine. Further calls have no
// effect.
func (j *Job) End() {
	if j.ended {
		return
	}
	j.ended = true
	e := j.board.engine(j.first)
	if j.reading {
		j.stopReading()
	} else {
		e.writers--
	}
	e.context -= j.own()
	for i, tokens := range j.held {
		j.board.engine(j.helpers[i]).context -= tokens
	}
	delete(e.answers, j)
}

// own returns the memory that the job needs at the answering engine.
func (j *Job) own() int {
	tokens := j.prompt.Tokens + j.prompt.AnswerTokens
	for _, held := range j.held {
		tokens -= held
	}
	return tokens
}

// unread returns what is left to read of one part.
func (j *Job) unread(now time.Time) PrefillWork {
	share := 1 - float64(now.Sub(j.started))/float64(max(j.expected, time.Millisecond))
	return j.part.Scale(max(share, minReadingShare))
}

// OwnLoad returns what this process has in work on an engine.
func (b *LoadTracker) OwnLoad(id string, now time.Time) Load {
	e := b.own[id]
	if e == nil {
		return Load{}
	}
	l := Load{Decoding: e.writers, Prefilling: e.waiting, ContextTokens: e.context}
	for j := range e.answers {
		l.EventGapMillis = shorterGap(l.EventGapMillis, j.prompt.EventGapMillis)
	}
	for j, answers := range e.parts {
		if !answers {
			l.Helping++
		}
		l.Prefill = l.Prefill.Add(j.unread(now))
	}
	return l
}

// Load returns what this process and its peers have in work on an engine.
func (b *LoadTracker) Load(id string, now time.Time) Load {
	l := b.OwnLoad(id, now)
	if e := b.engines[id]; e != nil {
		l = l.Add(e.sum)
	}
	return l
}

// EachOwnLoad calls f for each engine with work of this process.
func (b *LoadTracker) EachOwnLoad(now time.Time, f func(id string, l Load)) {
	for id, e := range b.own {
		if e.writers == 0 && e.waiting == 0 && e.context == 0 && len(e.parts) == 0 {
			delete(b.own, id)
			continue
		}
		f(id, b.OwnLoad(id, now))
	}
}

// SetPeer records what a peer has in work: all of it, or only the engines that
// have changed. It reports whether all work of the peer is known now.
func (b *LoadTracker) SetPeer(name string, loads map[string]Load, complete bool, now time.Time) bool {
	p := b.peers[name]
	if p == nil {
		p = &peerWork{engines: map[string]bool{}}
		b.peers[name] = p
	}
	p.at = now
	p.whole = p.whole || complete
	if complete {
		for id := range p.engines {
			if _, named := loads[id]; !named {
				b.setPeerLoad(name, p, id, Load{})
			}
		}
	}
	for id, l := range loads {
		b.setPeerLoad(name, p, id, l)
	}
	return p.whole
}

// setPeerLoad replaces the work of one peer on one engine.
func (b *LoadTracker) setPeerLoad(name string, p *peerWork, id string, l Load) {
	e := b.engines[id]
	if l == (Load{}) {
		delete(p.engines, id)
		if e == nil {
			return
		}
		delete(e.loads, name)
		if len(e.loads) == 0 {
			delete(b.engines, id)
			return
		}
	} else {
		if e == nil {
			e = &peerEngine{loads: map[string]Load{}}
			b.engines[id] = e
		}
		p.engines[id] = true
		e.loads[name] = l
	}
	e.sum = Load{}
	for _, load := range e.loads {
		e.sum = e.sum.Add(load)
	}
}

// Expire forgets the work of peers that have been silent. It has to be called
// several times within peerLifetime: a longer pause means that this process
// stood still and could hear nobody, so its peers get their time anew.
func (b *LoadTracker) Expire(now time.Time) {
	paused := !b.expired.IsZero() && now.Sub(b.expired) > peerLifetime/2
	b.expired = now
	lifetime := peerLifetime + time.Duration(len(b.peers))*peerLifetimeEach
	for name, p := range b.peers {
		if paused {
			p.at = now
		}
		if now.Sub(p.at) <= lifetime {
			continue
		}
		for id := range p.engines {
			b.setPeerLoad(name, p, id, Load{})
		}
		delete(b.peers, name)
	}
}

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

// Board keeps what this process and its peers have in work on each engine. It
// is not safe for concurrent use.
type Board struct {
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

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{own: map[string]*engineWork{}, engines: map[string]*peerEngine{}, peers: map[string]*peerWork{}}
}

// Job is a request in work.
type Job struct {
	board    *Board
	first    string
	helpers  []string
	held     []int // tokens stored at each helper; nil for none
	prompt   Prompt
	part     Work
	started  time.Time
	expected time.Duration
	reading  bool
	ended    bool
}

// Start records that a prompt was sent to engine first with the help of
// others, which store held tokens of it each; expected is the time until its
// first token.
func (b *Board) Start(first string, helpers []string, held []int, p Prompt, expected time.Duration, now time.Time) *Job {
	j := &Job{board: b, first: first, helpers: helpers, held: held, prompt: p, started: now, expected: expected, reading: true,
		part: PromptWork(p.Tokens).Part(len(helpers) + 1)}
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

func (b *Board) engine(id string) *engineWork {
	e := b.own[id]
	if e == nil {
		e = &engineWork{parts: map[*Job]bool{}, answers: map[*Job]bool{}}
		b.own[id] = e
	}
	return e
}

// FirstToken records that the prompt has been read.
func (j *Job) FirstToken() {
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
	tokens := j.prompt.Tokens + j.prompt.Answer
	for _, held := range j.held {
		tokens -= held
	}
	return tokens
}

// unread returns what is left to read of one part.
func (j *Job) unread(now time.Time) Work {
	share := 1 - float64(now.Sub(j.started))/float64(max(j.expected, time.Millisecond))
	return j.part.Scale(max(share, minReadingShare))
}

// Own returns what this process has in work on an engine.
func (b *Board) Own(id string, now time.Time) Load {
	e := b.own[id]
	if e == nil {
		return Load{}
	}
	l := Load{Writers: e.writers, Waiting: e.waiting, Context: e.context}
	for j := range e.answers {
		l.GapMillis = shorterGap(l.GapMillis, j.prompt.GapMillis)
	}
	for j, answers := range e.parts {
		if !answers {
			l.Helping++
		}
		l.Reading = l.Reading.Add(j.unread(now))
	}
	return l
}

// Load returns what this process and its peers have in work on an engine.
func (b *Board) Load(id string, now time.Time) Load {
	l := b.Own(id, now)
	if e := b.engines[id]; e != nil {
		l = l.Add(e.sum)
	}
	return l
}

// Engines calls f for each engine with work of this process.
func (b *Board) Engines(now time.Time, f func(id string, l Load)) {
	for id, e := range b.own {
		if e.writers == 0 && e.waiting == 0 && e.context == 0 && len(e.parts) == 0 {
			delete(b.own, id)
			continue
		}
		f(id, b.Own(id, now))
	}
}

// SetPeer records what a peer has in work: all of it, or only the engines that
// have changed. It reports whether all work of the peer is known now.
func (b *Board) SetPeer(name string, loads map[string]Load, complete bool, now time.Time) bool {
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
func (b *Board) setPeerLoad(name string, p *peerWork, id string, l Load) {
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
func (b *Board) Expire(now time.Time) {
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

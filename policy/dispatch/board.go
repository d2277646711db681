package dispatch

import "time"

// peerLifetime is how long the word of a silent peer counts. A peer sends
// several times a second, so a silent one has most likely died, and its
// requests with it.
const peerLifetime = 2 * time.Second

// minReadingShare is what counts as unread of a prompt that should have been
// read by now but has no first token yet.
const minReadingShare = 0.05

// Board keeps what this process and its peers have in work on each engine. It
// is not safe for concurrent use.
type Board struct {
	own   map[string]*engineWork
	peers map[string]*peerWork
}

type engineWork struct {
	writers, waiting, context int
	parts                     map[*Job]bool // true: this engine answers, false: it helps
	answers                   map[*Job]bool // in progress and waiting
}

type peerWork struct {
	loads map[string]Load
	at    time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{own: map[string]*engineWork{}, peers: map[string]*peerWork{}}
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
	for name, p := range b.peers {
		if now.Sub(p.at) > peerLifetime {
			delete(b.peers, name)
			continue
		}
		l = l.Add(p.loads[id])
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
// have changed. The board keeps loads.
func (b *Board) SetPeer(name string, loads map[string]Load, complete bool, now time.Time) {
	p := b.peers[name]
	if p == nil || complete {
		b.peers[name] = &peerWork{loads: loads, at: now}
		return
	}
	p.at = now
	for id, l := range loads {
		p.loads[id] = l
	}
}

package enginesim

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream states as StreamInfo reports them. A stream in phaseEnded holds no
// KV memory and is not listed; its text stays for Config.Retention.
const (
	phaseQueued  = "queued"
	phaseRunning = "running"
	phaseHeld    = "held"
	phaseEnded   = "ended"
)

// Engine is a simulated engine. Its methods may be called concurrently.
type Engine struct {
	config Config
	wake   chan struct{} // capacity 1; signals that there may be work
	closed chan struct{}
	done   sync.WaitGroup

	mu          sync.Mutex // guards everything below and every stream
	streams     map[string]*stream
	queue       []*stream // by priority, then arrival
	running     []*stream // by priority, then arrival
	arrivals    uint64
	usedTokens  int // KV tokens held by streams
	cache       *prefixCache
	models      modelTable
	faults      Faults
	resumed     chan struct{} // closed when Faults.Hang ends; nil without Hang
	loadHistory []loadSample
	totals      Stats
}

// stream is one request. Engine.mu guards it.
type stream struct {
	id          string
	model       string
	priority    int
	arrival     uint64
	prefillOnly bool

	digest   *xxhash.Digest // whole text so far
	prefixes []uint64       // hashes of the prompt's prefixes
	blocks   []*block       // cache blocks in use

	precedingTokens int // tokens of preceding segments, held by other engines
	ownTokens       int // tokens of prompt and answer, without preceding ones
	computedTokens  int // of ownTokens, those whose KV state is in memory
	promptTokens    int // of the whole prompt
	cachedTokens    int
	maxTokens       int
	reservedTokens  int           // KV tokens held; 0 while queued
	importTime      time.Duration // time to read the KV state that another engine exported
	readyAt         time.Time     // when that state has been read

	phase            string
	texts            []string
	finish           string // set when no more tokens follow
	failure          *Error // set when the stream was cancelled or exported
	changed          chan struct{}
	activeAttachment uint64 // number of the active attachment; 0 if none
	attachments      uint64 // number of attachments so far
	expiry           *time.Timer
}

// New starts an engine. Close stops it. It returns an *Error of kind
// KindRefused for an invalid configuration.
func New(c Config) (*Engine, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	e := &Engine{
		config:  c,
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		streams: map[string]*stream{},
		cache:   newPrefixCache(c.EventLossProbability, c.Seed),
		models:  newModelTable(c.Models),
		faults:  Faults{SlowFactor: 1},
		totals:  Stats{Starts: map[string]int{}},
	}
	e.done.Add(1)
	go e.runSteps()
	return e, nil
}

// Close stops the engine and breaks all streams.
func (e *Engine) Close() {
	e.mu.Lock()
	select {
	case <-e.closed:
	default:
		close(e.closed)
	}
	for _, s := range e.streams {
		e.removeStream(s, &Error{Kind: KindBroken, Message: "engine stopped"})
	}
	e.mu.Unlock()
	e.done.Wait()
}

// Info describes the engine.
func (e *Engine) Info() Info {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Info{
		Models:                 e.models.names(),
		KVTokens:               e.config.KVTokens,
		PrefillTokensPerSecond: e.config.prefillRate(),
		StepTokens:             e.config.StepTokens,
		FencingChecked:         e.config.FencingChecked,
	}
}

// Start queues a request and returns an attachment to its stream. Errors are
// *Error of kind KindRefused or KindNotFound.
func (e *Engine) Start(r Request) (*Stream, error) {
	s, err := e.newStream(r) // hashes the prompt, without the lock
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkStart(s); err != nil {
		return nil, err
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.streams[s.id] = s
	e.totals.Starts[s.id]++
	e.queue = insertByPriority(e.queue, s)
	e.stateChanged()
	return e.attach(s, 0), nil
}

// newStream creates the stream of a request. It makes the checks that do not
// depend on the state of the engine.
func (e *Engine) newStream(r Request) (*stream, error) {
	s := &stream{
		id: r.StreamID, model: r.Model, priority: r.Priority, prefillOnly: r.PrefillOnly,
		digest: xxhash.New(), maxTokens: r.MaxTokens, phase: phaseQueued,
		changed: make(chan struct{}),
	}
	if r.StreamID == "" {
		return nil, refusedf("the stream id is empty")
	}
	if len(r.State) > 0 {
		if err := e.importState(s, r); err != nil {
			return nil, err
		}
	} else {
		s.prefixes = hashPrompt(s.digest, r.Prompt)
		s.ownTokens = PromptTokens(len(r.Prompt))
		s.promptTokens = s.ownTokens
	}
	if s.prefillOnly {
		s.maxTokens = 0
	}
	switch {
	case s.ownTokens+s.precedingTokens == 0 || s.prefillOnly && s.ownTokens == 0:
		return nil, refusedf("the prompt is empty")
	case s.maxTokens < 0 || s.maxTokens == 0 && !s.prefillOnly:
		return nil, refusedf("max_tokens must be positive")
	case s.ownTokens > e.config.KVTokens || s.maxTokens > e.config.KVTokens-s.ownTokens:
		return nil, refusedf("%d prompt tokens and %d answer tokens exceed the KV memory of %d tokens",
			s.ownTokens, s.maxTokens, e.config.KVTokens)
	}
	return s, nil
}

// importState prepares a stream that continues from an exported state.
func (e *Engine) importState(s *stream, r Request) error {
	h, digest, err := decodeState(r.State)
	if err != nil {
		return err
	}
	if h.Model != r.Model {
		return refusedf("the state is of model %q, the request of %q", h.Model, r.Model)
	}
	s.digest = digest
	s.importTime = time.Duration(h.OwnTokens) * e.config.StateTimePerToken
	if h.Segment {
		_, _ = digest.Write(r.Prompt) // never fails
		s.precedingTokens = h.Preceding + h.OwnTokens
		s.ownTokens = PromptTokens(len(r.Prompt))
		s.promptTokens = h.PromptTokens + s.ownTokens
		s.cachedTokens = h.CachedTokens
		return nil
	}
	if len(r.Prompt) > 0 {
		return refusedf("the state of a paused stream goes on without a prompt")
	}
	s.precedingTokens, s.ownTokens, s.computedTokens = h.Preceding, h.OwnTokens, h.Prefilled
	s.promptTokens, s.cachedTokens, s.prefillOnly = h.PromptTokens, h.CachedTokens, h.PrefillOnly
	if s.maxTokens == 0 {
		s.maxTokens = h.Remaining
	}
	return nil
}

// checkStart checks a request against the state of the engine.
func (e *Engine) checkStart(s *stream) error {
	select {
	case <-e.closed:
		return refusedf("the engine is stopped")
	default:
	}
	switch {
	case e.faults.FailStarts:
		return refusedf("injected failure")
	case !e.models.serves(s.model):
		return notFoundf("model %q is not loaded", s.model)
	case e.streams[s.id] != nil:
		return refusedf("stream %q exists", s.id)
	case e.config.MaxQueued > 0 && len(e.queue) >= e.config.MaxQueued:
		return refusedf("%d requests are queued", len(e.queue))
	}
	return nil
}

// Streams lists the streams that the engine holds, in the order of arrival.
func (e *Engine) Streams() []StreamInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listStreams()
}

func (e *Engine) listStreams() []StreamInfo {
	var held []*stream
	for _, s := range e.streams {
		if s.phase != phaseEnded {
			held = append(held, s)
		}
	}
	slices.SortFunc(held, func(a, b *stream) int { return int(a.arrival) - int(b.arrival) })
	infos := make([]StreamInfo, 0, len(held))
	for _, s := range held {
		infos = append(infos, StreamInfo{StreamID: s.id, KVTokens: s.reservedTokens, State: s.phase})
	}
	return infos
}

// Cancel ends a stream and frees its KV memory. A missing stream is no error.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		e.removeStream(s, &Error{Kind: KindNotFound, Message: "the stream was cancelled"})
		e.stateChanged()
	}
}

// Export stops a stream, frees its KV memory and returns its state after the
// simulated transfer time. It returns an *Error of kind KindNotFound if the
// engine does not hold the stream.
func (e *Engine) Export(id string) ([]byte, error) {
	e.mu.Lock()
	s := e.streams[id]
	if s == nil || s.failure != nil || s.phase == phaseEnded || s.finish != "" && !s.prefillOnly {
		e.mu.Unlock()
		return nil, notFoundf("stream %q does not run here", id)
	}
	state, err := e.exportHeader(s)
	held := min(s.computedTokens, s.reservedTokens)
	if err != nil {
		e.mu.Unlock()
		return nil, err
	}
	e.unschedule(s)
	s.failure = &Error{Kind: KindNotFound, Message: "the stream was exported"}
	s.notify()
	e.mu.Unlock()

	time.Sleep(time.Duration(held) * e.config.StateTimePerToken)

	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeStream(s, s.failure)
	e.stateChanged()
	return state.encode(held * e.config.StateBytesPerToken)
}

func (e *Engine) exportHeader(s *stream) (stateHeader, error) {
	digest, err := s.digest.MarshalBinary()
	if err != nil {
		return stateHeader{}, refusedf("exporting the text hash: %v", err)
	}
	return stateHeader{
		Segment: s.finish == FinishPrefilled, Model: s.model, Digest: digest,
		Preceding: s.precedingTokens, OwnTokens: s.ownTokens, Prefilled: s.computedTokens,
		PromptTokens: s.promptTokens, CachedTokens: s.cachedTokens,
		Remaining: s.maxTokens - len(s.texts), PrefillOnly: s.prefillOnly,
	}, nil
}

// Events returns the cache events after a sequence number that are old
// enough to be visible.
func (e *Engine) Events(after uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.after(after, time.Now().Add(-e.config.EventDelay))
}

// Stats returns the exact counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.totals
	stats.KVUsedTokens = e.usedTokens
	stats.KVCachedTokens = e.cache.cachedTokens()
	stats.Streams = e.listStreams()
	stats.Role = e.models.role
	stats.Versions = e.models.versions()
	stats.Starts = make(map[string]int, len(e.totals.Starts))
	for id, n := range e.totals.Starts {
		stats.Starts[id] = n
	}
	return stats
}

// removeStream ends a stream and releases everything it holds. The caller holds
// e.mu.
func (e *Engine) removeStream(s *stream, failure *Error) {
	e.unschedule(s)
	e.releaseMemory(s)
	s.phase = phaseEnded
	if s.failure == nil {
		s.failure = failure
	}
	if s.expiry != nil {
		s.expiry.Stop()
	}
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	s.notify()
}

// unschedule removes a stream from the queue and the running batch.
func (e *Engine) unschedule(s *stream) {
	same := func(o *stream) bool { return o == s }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// releaseMemory releases the KV memory of a stream; its blocks stay in the
// prefix cache while they fit.
func (e *Engine) releaseMemory(s *stream) {
	e.usedTokens -= s.reservedTokens
	s.reservedTokens = 0
	e.cache.release(s.blocks)
	s.blocks = nil
	e.cache.evictUntil(e.config.KVTokens-e.usedTokens, time.Now())
}

// insertByPriority inserts a stream by priority, then arrival.
func insertByPriority(list []*stream, s *stream) []*stream {
	i, _ := slices.BinarySearchFunc(list, s, func(a, b *stream) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, s)
}

// notify wakes the attachments of a stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stateChanged records the load and wakes the step loop.
func (e *Engine) stateChanged() {
	e.recordLoad()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

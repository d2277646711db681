package enginesim

import "time"

// step is the work of one batch.
type step struct {
	prefill  []prefillPart
	decode   []*stream
	duration time.Duration
}

// prefillPart is the part of a prompt that one step computes.
type prefillPart struct {
	stream *stream
	tokens int
}

// run executes steps until Close.
func (e *Engine) run() {
	defer e.done.Done()
	for {
		next, idle := e.plan(time.Now())
		if len(next.prefill)+len(next.decode) == 0 {
			if !e.sleep(idle, e.wake) {
				return
			}
			continue
		}
		if !e.sleep(next.duration, nil) || !e.waitResumed() {
			return
		}
		e.apply(next)
	}
}

// sleep waits for d (0: for ever) or until early is ready. It returns false
// when the engine is closed.
func (e *Engine) sleep(d time.Duration, early <-chan struct{}) bool {
	var expired <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-expired:
	case <-early:
	case <-e.closed:
		return false
	}
	return true
}

// plan admits queued streams and composes the next step. For an empty step it
// returns the time until an imported state is ready, or 0 if none is.
func (e *Engine) plan(now time.Time) (step, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit(now)
	var next step
	var idle time.Duration
	budget := e.config.StepTokens
	for _, s := range e.running {
		if wait := s.readyAt.Sub(now); wait > 0 {
			if idle == 0 || wait < idle {
				idle = wait
			}
			continue
		}
		left := s.ownTokens - s.prefilled
		if left == 0 {
			next.decode = append(next.decode, s)
		} else if tokens := min(left, budget); tokens > 0 {
			next.prefill = append(next.prefill, prefillPart{s, tokens})
			budget -= tokens
		}
	}
	computed := e.config.StepTokens - budget
	duration := e.config.StepFixed + time.Duration(computed)*e.config.StepPerPrefill +
		time.Duration(len(next.decode))*e.config.StepPerDecode
	next.duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	return next, idle
}

// admit moves streams from the queue to the batch in order. The first one
// that does not fit stops the admission, so that it does not starve.
func (e *Engine) admit(now time.Time) {
	for len(e.queue) > 0 {
		s := e.queue[0]
		need := s.ownTokens + s.maxTokens
		if e.used+need > e.config.KVTokens {
			return
		}
		e.queue = e.queue[1:]
		s.phase = phaseRunning
		s.reserved = need
		s.readyAt = now.Add(s.importTime)
		e.used += need
		e.hitCache(s)
		e.cache.shrink(e.config.KVTokens-e.used, now)
		e.running = insert(e.running, s)
		e.recordLoad()
	}
}

// hitCache skips the prefill of cached prefixes. The last token of a prompt
// is always computed, because it yields the first token of the answer.
func (e *Engine) hitCache(s *stream) {
	s.blocks = e.cache.acquire(s.prefixes)
	if len(s.blocks) > 0 {
		s.cachedTokens = min(len(s.blocks)*BlockTokens, s.ownTokens-1)
		s.prefilled = s.cachedTokens
	}
}

// apply takes the results of a step. Streams that ended during the step are
// skipped.
func (e *Engine) apply(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.Steps++
	now := time.Now()
	for _, part := range done.prefill {
		if s := part.stream; e.inBatch(s) {
			e.advance(s, part.tokens, now)
		}
	}
	for _, s := range done.decode {
		if e.inBatch(s) {
			e.emit(s)
		}
	}
	e.recordLoad()
}

// inBatch is false for a stream that was cancelled, or whose export began.
func (e *Engine) inBatch(s *stream) bool {
	return s.phase == phaseRunning && s.failure == nil
}

// advance counts computed prompt tokens and stores whole blocks in the cache.
func (e *Engine) advance(s *stream, tokens int, now time.Time) {
	s.prefilled += tokens
	e.totals.PrefillTokens += int64(tokens)
	for i := len(s.blocks); i < len(s.prefixes) && s.prefilled >= (i+1)*BlockTokens; i++ {
		s.blocks = append(s.blocks, e.cache.store(s.prefixes[i], i, now))
	}
	if s.prefilled < s.ownTokens {
		return
	}
	if s.prefillOnly {
		e.unlist(s)
		s.phase = phaseHeld
		s.finish = FinishPrefilled
		s.notify()
		return
	}
	e.emit(s)
}

// emit adds the next token of the answer, or ends it.
func (e *Engine) emit(s *stream) {
	text, ok := nextToken(s.digest, e.config.StopProbability)
	if !ok {
		e.finish(s, FinishStop)
		return
	}
	s.texts = append(s.texts, text)
	s.ownTokens++
	s.prefilled++
	e.totals.DecodedTokens++
	if len(s.texts) == s.maxTokens {
		e.finish(s, FinishLength)
		return
	}
	s.notify()
}

// finish frees the memory of a complete answer. An engine that leaks keeps
// the memory of a stream that nobody is attached to.
func (e *Engine) finish(s *stream, reason string) {
	e.unlist(s)
	s.finish = reason
	if e.config.KeepForever && s.attached == 0 {
		s.phase = phaseHeld
	} else {
		e.complete(s)
	}
	s.notify()
}

// complete frees a finished stream; its text can be fetched until it expires.
func (e *Engine) complete(s *stream) {
	e.free(s)
	s.phase = phaseEnded
	e.expire(s)
}

// expire removes a stream when the retention time has passed.
func (e *Engine) expire(s *stream) {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.expiry = time.AfterFunc(e.config.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s && (s.attached == 0 || s.phase == phaseEnded) {
			e.end(s, &Error{Kind: KindNotFound, Message: "the retention time has passed"})
			e.stateChanged()
		}
	})
}

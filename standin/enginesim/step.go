package enginesim

import "time"

// step is one iteration of the engine: the prefill and the decoding that it does
// at once for its running streams, and the time that this takes.
type step struct {
	prefill  []prefillChunk
	decode   []*stream
	duration time.Duration
}

// prefillChunk is the part of a prompt that one step prefills.
type prefillChunk struct {
	stream *stream
	tokens int
}

// runSteps executes steps until Close.
func (e *Engine) runSteps() {
	defer e.done.Done()
	for {
		next, idle := e.planStep(time.Now())
		if len(next.prefill)+len(next.decode) == 0 {
			if !e.sleep(idle, e.wake) {
				return
			}
			continue
		}
		if !e.sleep(next.duration, nil) || !e.waitWhileHung() {
			return
		}
		e.applyStep(next)
	}
}

// sleep waits for d (0: without limit) or until wake is ready. It returns false
// when the engine is closed.
func (e *Engine) sleep(d time.Duration, wake <-chan struct{}) bool {
	var expired <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-expired:
	case <-wake:
	case <-e.closed:
		return false
	}
	return true
}

// planStep admits queued streams and composes the next step. For an empty step it
// returns the time until the first imported KV state has been read, or 0 if none is
// being read.
func (e *Engine) planStep(now time.Time) (step, time.Duration) {
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
		left := s.ownTokens - s.computedTokens
		if left == 0 {
			next.decode = append(next.decode, s)
		} else if tokens := min(left, budget); tokens > 0 {
			next.prefill = append(next.prefill, prefillChunk{s, tokens})
			budget -= tokens
		}
	}
	prefilled := e.config.StepTokens - budget
	duration := e.config.StepFixed + time.Duration(prefilled)*e.config.StepPerPrefill +
		time.Duration(len(next.decode))*e.config.StepPerDecode
	next.duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	return next, idle
}

// admit moves streams from the queue to the running ones in order. The first one
// that does not fit stops the admission, so that it does not starve.
func (e *Engine) admit(now time.Time) {
	for len(e.queue) > 0 {
		s := e.queue[0]
		need := s.ownTokens + s.maxTokens
		if e.usedTokens+need > e.config.KVTokens {
			return
		}
		e.queue = e.queue[1:]
		s.phase = phaseRunning
		s.reservedTokens = need
		s.readyAt = now.Add(s.importTime)
		e.usedTokens += need
		e.reuseCachedPrefixes(s)
		e.cache.evictUntil(e.config.KVTokens-e.usedTokens, now)
		e.running = insertByPriority(e.running, s)
		e.recordLoad()
	}
}

// reuseCachedPrefixes skips the prefill of cached prefixes. The last token of a
// prompt is always computed, because it yields the first token of the answer.
func (e *Engine) reuseCachedPrefixes(s *stream) {
	s.blocks = e.cache.acquire(s.prefixes)
	if len(s.blocks) > 0 {
		s.cachedTokens = min(len(s.blocks)*BlockTokens, s.ownTokens-1)
		s.computedTokens = s.cachedTokens
	}
}

// applyStep records the results of a step. Streams that ended during the step are
// skipped.
func (e *Engine) applyStep(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.Steps++
	now := time.Now()
	for _, chunk := range done.prefill {
		if s := chunk.stream; e.stillRunning(s) {
			e.advancePrefill(s, chunk.tokens, now)
		}
	}
	for _, s := range done.decode {
		if e.stillRunning(s) {
			e.emitToken(s)
		}
	}
	e.recordLoad()
}

// stillRunning reports whether a stream of a step is still running: it was not
// cancelled and is not being exported.
func (e *Engine) stillRunning(s *stream) bool {
	return s.phase == phaseRunning && s.failure == nil
}

// advancePrefill counts prefilled prompt tokens and stores complete blocks in
// the cache. When the prompt is complete, it emits the first token, or holds a
// stream that is only prefilled.
func (e *Engine) advancePrefill(s *stream, tokens int, now time.Time) {
	s.computedTokens += tokens
	e.totals.PrefillTokens += int64(tokens)
	for i := len(s.blocks); i < len(s.prefixes) && s.computedTokens >= (i+1)*BlockTokens; i++ {
		s.blocks = append(s.blocks, e.cache.store(s.prefixes[i], i, now))
	}
	if s.computedTokens < s.ownTokens {
		return
	}
	if s.prefillOnly {
		e.unschedule(s)
		s.phase = phaseHeld
		s.finish = FinishPrefilled
		s.notify()
		return
	}
	e.emitToken(s)
}

// emitToken adds the next token to the answer, or ends the answer.
func (e *Engine) emitToken(s *stream) {
	text, ok := nextToken(s.digest, e.config.StopProbability)
	if !ok {
		e.finish(s, FinishStop)
		return
	}
	s.texts = append(s.texts, text)
	s.ownTokens++
	s.computedTokens++ // decoding computes the state of its token, as prefill does
	e.totals.DecodedTokens++
	if len(s.texts) == s.maxTokens {
		e.finish(s, FinishLength)
		return
	}
	s.notify()
}

// finish releases the memory of a complete answer. With Config.KeepForever it
// keeps the memory of a stream that nobody reads.
func (e *Engine) finish(s *stream, reason string) {
	e.unschedule(s)
	s.finish = reason
	if e.config.KeepForever && s.activeAttachment == 0 {
		s.phase = phaseHeld
	} else {
		e.releaseFinished(s)
	}
	s.notify()
}

// releaseFinished releases the memory of a finished stream. Its text can be read
// until it expires.
func (e *Engine) releaseFinished(s *stream) {
	e.releaseMemory(s)
	s.phase = phaseEnded
	e.scheduleExpiry(s)
}

// scheduleExpiry removes a stream after the retention time if it has ended or has
// no reader then.
func (e *Engine) scheduleExpiry(s *stream) {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.expiry = time.AfterFunc(e.config.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s && (s.activeAttachment == 0 || s.phase == phaseEnded) {
			e.removeStream(s, &Error{Kind: KindNotFound, Message: "the retention time has passed"})
			e.stateChanged()
		}
	})
}

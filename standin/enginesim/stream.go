package enginesim

import "context"

// Stream is the attachment of a reader, such as a connection, to a stream. A later
// attachment replaces it.
type Stream struct {
	engine *Engine
	stream *stream
	number uint64
	offset int // tokens returned so far, counted from the start of the stream
}

// Attach resumes a stream after offset tokens. It returns an *Error of kind
// KindNotFound if the stream does not exist, KindRefused if it has fewer tokens.
func (e *Engine) Attach(id string, offset int) (*Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || s.failure != nil {
		return nil, notFoundf("stream %q does not exist", id)
	}
	if offset < 0 || offset > len(s.texts) {
		return nil, refusedf("stream %q has %d tokens, offset is %d", id, len(s.texts), offset)
	}
	return e.attach(s, offset), nil
}

func (e *Engine) attach(s *stream, offset int) *Stream {
	if s.expiry != nil && s.phase != phaseEnded {
		s.expiry.Stop()
	}
	s.attachments++
	s.activeAttachment = s.attachments
	s.notify()
	return &Stream{engine: e, stream: s, number: s.activeAttachment, offset: offset}
}

// Offset returns the number of tokens returned so far.
func (a *Stream) Offset() int { return a.offset }

// Next returns the tokens that are ready, and waits if none are. The tokens
// emitted before a cancellation or an export come before its error. Errors are
// those of ctx, or *Error of kind KindBroken (replaced, broken by a fault)
// or KindNotFound (cancelled, exported).
func (a *Stream) Next(ctx context.Context) (Chunk, error) {
	for {
		chunk, ready, changed, err := a.poll()
		if ready || err != nil {
			return chunk, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (a *Stream) poll() (Chunk, bool, <-chan struct{}, error) {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	s := a.stream
	if s.activeAttachment != a.number {
		return Chunk{}, false, nil, &Error{Kind: KindBroken, Message: "the attachment was broken"}
	}
	if s.finish == "" && a.offset == len(s.texts) {
		if s.failure != nil {
			return Chunk{}, false, nil, s.failure
		}
		return Chunk{}, false, s.changed, nil
	}
	chunk := Chunk{Texts: s.texts[a.offset:len(s.texts):len(s.texts)]}
	a.offset = len(s.texts)
	if s.finish != "" {
		chunk.Final, chunk.FinishReason = true, s.finish
		chunk.PromptTokens, chunk.CachedTokens = s.promptTokens, s.cachedTokens
	}
	return chunk, true, nil, nil
}

// Delivered reports that the reader has the final chunk. With Config.KeepForever
// the engine then releases the stream if it still holds it.
func (a *Stream) Delivered() {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	if s := a.stream; s.phase == phaseHeld && !s.prefillOnly {
		a.engine.releaseFinished(s)
		a.engine.stateChanged()
	}
}

// Detach reports that the connection broke. The stream continues; it is
// cancelled after Config.Retention, or never with Config.KeepForever.
func (a *Stream) Detach() {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	if a.stream.activeAttachment == a.number {
		a.engine.detach(a.stream)
	}
}

func (e *Engine) detach(s *stream) {
	s.activeAttachment = 0
	s.notify()
	if s.phase == phaseEnded || s.finish == FinishPrefilled || e.config.KeepForever {
		return
	}
	e.scheduleExpiry(s)
}

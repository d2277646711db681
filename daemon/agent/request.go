package agent

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/policy/queue"
)

// requestKey identifies a request. Callers choose the ids, so they are scoped to
// the client account.
type requestKey struct{ account, id string }

// request is one attempt of a completion on this agent. Texts are appended until
// the result is set, which happens once; nothing is appended afterwards.
type request struct {
	key      requestKey
	submit   *wire.SubmitRequest
	job      queue.Job
	deadline time.Time
	// ctx ends when the request is cancelled, replaced or past its deadline. The
	// cause of a cancellation is an *outcome.Error.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex    // guards the fields from texts to orphanedAt
	texts   []string      // of the tokens generated in this attempt
	ended   *wire.End     // the result; nil until the answer has ended
	changed chan struct{} // closed and replaced on each change
	// attached is the number of streams that read the answer.
	attached int
	// orphanedAt is when the last attached stream ended; zero while one is
	// attached.
	orphanedAt time.Time
	// state continues a paused stream; nil to start from the prompt. Only the
	// goroutine that runs the request uses it, between grants.
	state []byte
	// queueSpan covers the wait in the queue.
	queueSpan trace.Span
	// granted is called, instead of running the request, when its memory has
	// been reserved; nil unless the request is a segment.
	granted func(queue.Grant)
	// running is set while a goroutine runs the request; guarded by Agent.mu.
	running bool
	// pausing is set from the preemption until the job is queued again; guarded
	// by Agent.mu.
	pausing bool
	// starts counts the engine streams of this attempt; each has its own id.
	starts int
	// pause makes the running goroutine export the stream; capacity 1.
	pause chan struct{}
}

func newRequest(ctx context.Context, s *wire.SubmitRequest, now time.Time) *request {
	r := &request{key: requestKey{s.ClientAccount, s.RequestId}, submit: s, changed: make(chan struct{}),
		pause:    make(chan struct{}, 1),
		deadline: now.Add(time.Duration(s.RemainingMs) * time.Millisecond)}
	deadlineCtx, stopTimer := context.WithDeadline(ctx, r.deadline)
	requestCtx, cancel := context.WithCancelCause(deadlineCtx)
	r.ctx = requestCtx
	r.cancel = func(cause error) { cancel(cause); stopTimer() }
	return r
}

// notify wakes all readers; r.mu is held.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// appendTexts appends the texts of generated tokens.
func (r *request) appendTexts(texts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended != nil || len(texts) == 0 {
		return
	}
	r.texts = append(r.texts, texts...)
	r.notify()
}

// end sets the result once and releases the request's context.
func (r *request) end(end *wire.End) {
	r.mu.Lock()
	if r.ended == nil {
		end.AttemptId = r.submit.AttemptId
		end.CompletionTokens = r.submit.Offset + uint32(len(r.texts))
		r.ended = end
		r.submit.Prompt = nil // may take megabytes while the answer is kept for the grace time
		r.notify()
	}
	r.mu.Unlock()
	r.cancel(nil)
}

// abortedOutcome returns the outcome of a request that ends before its answer is
// complete: not_run only if no part of it was sent to an engine.
func (r *request) abortedOutcome() wire.Outcome {
	if r.starts > 0 || r.submit.Offset > 0 {
		return wire.Outcome_OUTCOME_FAILED
	}
	return wire.Outcome_OUTCOME_NOT_RUN
}

// readFrom returns the texts from an offset on, the result if the answer has
// ended, and a channel that is closed at the next change.
func (r *request) readFrom(offset uint32) (texts []string, ended *wire.End, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from := int(offset - r.submit.Offset); from < len(r.texts) {
		texts = r.texts[from:len(r.texts):len(r.texts)]
	}
	return texts, r.ended, r.changed
}

// emitted returns all texts so far.
func (r *request) emitted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.texts[:len(r.texts):len(r.texts)]
}

// canResumeFrom reports whether the answer can be read from an offset on.
func (r *request) canResumeFrom(offset uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return offset >= r.submit.Offset && int(offset-r.submit.Offset) <= len(r.texts)
}

func (r *request) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached++
	r.orphanedAt = time.Time{}
}

func (r *request) detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached--
	if r.attached == 0 {
		r.orphanedAt = now
	}
}

// isExpired reports whether the answer is no longer needed: no stream is
// attached, and either the grace time without one or the deadline has passed.
func (r *request) isExpired(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attached > 0 {
		return false
	}
	return now.Sub(r.orphanedAt) > grace || now.After(r.deadline)
}

func (r *request) isEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended != nil
}

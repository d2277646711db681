package agent

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/policy/queue"
)

// requestKey names a request; ids are chosen by callers, so they are scoped
// to the client account.
type requestKey struct{ account, id string }

// request is one attempt of a completion on this agent. Invariant: texts and
// ended only grow; ended is set once and texts do not change afterwards.
type request struct {
	key      requestKey
	submit   *wire.SubmitRequest
	job      queue.Job
	deadline time.Time
	// ctx ends when the request is cancelled, replaced or out of time; the
	// cause is an *outcome.Error or errPreempted.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	texts   []string
	ended   *wire.End
	changed chan struct{} // closed and replaced on each change
	// attached is the number of streams that read the answer.
	attached int
	// orphanedAt is when the last stream was lost without Cancel; zero while
	// one is attached.
	orphanedAt time.Time
	// state continues a paused stream; nil to start from the prompt. Only the
	// goroutine that runs the request uses it, between grants.
	state []byte
	// queueSpan covers the wait in the queue.
	queueSpan trace.Span
	// granted is called instead of running the request when its memory has
	// been reserved; nil for usual completions.
	granted func(queue.Grant)
	// running says that a goroutine runs the request; guarded by Agent.mu.
	running bool
	// pausing is set from the request for a pause until the job is queued
	// again; guarded by Agent.mu.
	pausing bool
	// starts counts the engine streams of this attempt; each has its own id.
	starts int
	// pause asks the running goroutine to export the stream; capacity 1.
	pause chan struct{}
}

func newRequest(ctx context.Context, s *wire.SubmitRequest, now time.Time) *request {
	r := &request{key: requestKey{s.ClientAccount, s.RequestId}, submit: s, changed: make(chan struct{}),
		pause:    make(chan struct{}, 1),
		deadline: now.Add(time.Duration(s.RemainingMs) * time.Millisecond)}
	timed, stopTimer := context.WithDeadline(ctx, r.deadline)
	inner, cancel := context.WithCancelCause(timed)
	r.ctx = inner
	r.cancel = func(cause error) { cancel(cause); stopTimer() }
	return r
}

// notify wakes all readers; r.mu is held.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// add appends generated tokens.
func (r *request) add(texts []string) {
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
		r.submit.Prompt = nil // up to megabytes, and the answer may be kept for the grace time
		r.notify()
	}
	r.mu.Unlock()
	r.cancel(nil)
}

// cutOff returns the outcome of a request that ends before its answer is
// whole: not_run only if no engine was sent any part of it.
func (r *request) cutOff() wire.Outcome {
	if r.starts > 0 || r.submit.Offset > 0 {
		return wire.Outcome_OUTCOME_FAILED
	}
	return wire.Outcome_OUTCOME_NOT_RUN
}

// next returns the texts from an offset on, the result if all texts have been
// returned, and the channel that is closed by the next change.
func (r *request) next(offset uint32) (texts []string, ended *wire.End, changed <-chan struct{}) {
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

// holds reports whether the answer can be read from the offset on.
func (r *request) holds(offset uint32) bool {
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

// forgettable reports whether nobody can still want the answer: it has been
// without a reader for the grace time, or is out of time.
func (r *request) forgettable(now time.Time, grace time.Duration) bool {
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

package agent

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
	"camphorwick.dev/policy/queue"
)

// serveSubmit queues a submitted completion and relays its answer, or responds
// with NotRun.
func (a *Agent) serveSubmit(ctx context.Context, s *link.Stream, submit *wire.SubmitRequest) {
	now := time.Now()
	r, err := a.accept(ctx, submit, now)
	if err != nil {
		_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_NotRun{NotRun: &wire.NotRun{
			AttemptId: submit.AttemptId, Error: toWire(err), Load: a.load()}}})
		return
	}
	accepted := &wire.AgentMessage{Body: &wire.AgentMessage_Accepted{Accepted: &wire.Accepted{AttemptId: submit.AttemptId, Load: a.load()}}}
	if s.Write(accepted) != nil {
		r.detach(time.Now())
		return
	}
	a.relay(s, r, submit.Offset)
}

// accept checks a completion and queues it. The returned request counts one
// attached stream, which the caller must detach.
func (a *Agent) accept(ctx context.Context, submit *wire.SubmitRequest, now time.Time) (*request, error) {
	info := a.info.Load()
	if info == nil {
		return nil, outcome.New(outcome.UnknownModel, "VM %s has no engine", a.settings.VM)
	}
	if !slices.Contains(info.Models, submit.Model) {
		return nil, outcome.New(outcome.UnknownModel, "model %q is not loaded on VM %s", submit.Model, a.settings.VM)
	}
	tokens := int(submit.PromptTokens)
	r := newRequest(context.WithoutCancel(ctx), submit, now)
	r.job = queue.Job{ID: submit.AttemptId, Account: submit.ClientAccount, Weight: int(submit.Weight),
		Band: outcome.BandOf(tokens), PrefillTokens: a.uncachedTokens(submit), KVTokens: tokens + int(submit.MaxTokens), AnswerTokens: int(submit.MaxTokens),
		Arrived: now, Deadline: r.deadline}
	r.attach()
	_, r.queueSpan = a.span(r, "queue")
	old, err := a.enqueue(r, now)
	if err != nil {
		r.queueSpan.End()
		r.cancel(nil)
		return nil, err
	}
	if old != nil {
		old.cancel(outcome.New(outcome.Cancelled, "the request was submitted again"))
	}
	a.wakeDispatcher()
	return r, nil
}

// enqueue adds a request to the queue and the maps, and returns the earlier
// attempt that it replaces, if any.
func (a *Agent) enqueue(r *request, now time.Time) (old *request, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The drain state is read under the lock that guards the maps, so that a
	// drain that finds no active work cannot miss this request.
	if a.refusesWork() {
		return nil, outcome.New(outcome.Draining, "VM %s is being drained", a.settings.VM)
	}
	if err := a.queue.Push(now, r.job); err != nil {
		return nil, err
	}
	a.jobs[r.job.ID] = r
	a.active.Add(1)
	if r.granted != nil {
		return nil, nil // the answer of a segment cannot be fetched later
	}
	old = a.requests[r.key]
	a.requests[r.key] = r
	return old, nil
}

// uncachedTokens returns the number of prompt tokens that are not known to be in
// the prefix cache, but at least 1.
func (a *Agent) uncachedTokens(s *wire.SubmitRequest) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(int(s.PromptTokens)-a.cache.longestMatch(s.Prefixes), 1)
}

// wakeDispatcher makes the dispatcher check the queue.
func (a *Agent) wakeDispatcher() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// serveResume lets another entry read the rest of an answer.
func (a *Agent) serveResume(ctx context.Context, s *link.Stream, resume *wire.ResumeRequest) {
	a.mu.Lock()
	r := a.requests[requestKey{resume.ClientAccount, resume.RequestId}]
	if r != nil {
		r.attach()
	}
	a.mu.Unlock()
	if r == nil || !r.canResumeFrom(resume.Offset) {
		if r != nil {
			r.detach(time.Now())
		}
		err := outcome.New(outcome.NotFound, "VM %s does not hold request %q from token %d on", a.settings.VM, resume.RequestId, resume.Offset)
		_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_NotRun{NotRun: &wire.NotRun{Error: toWire(err)}}})
		return
	}
	accepted := &wire.AgentMessage{Body: &wire.AgentMessage_Accepted{Accepted: &wire.Accepted{AttemptId: r.submit.AttemptId}}}
	if s.Write(accepted) != nil {
		r.detach(time.Now())
		return
	}
	a.relay(s, r, resume.Offset)
}

// relay sends the answer from an offset on until it has ended or the stream is
// lost. A Cancel message of the entry cancels the request.
func (a *Agent) relay(s *link.Stream, r *request, offset uint32) {
	lost := make(chan struct{})
	go a.readEntryMessages(s, r, lost)
	defer func() {
		// A finished answer stays readable until it is acknowledged.
		r.detach(time.Now())
	}()
	for {
		texts, ended, changed := r.readFrom(offset)
		if len(texts) > 0 {
			message := &wire.Tokens{AttemptId: r.submit.AttemptId, Offset: offset, Texts: texts}
			if s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: message}}) != nil {
				return
			}
			offset += uint32(len(texts))
			continue
		}
		if ended != nil {
			if s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_End{End: ended}}) == nil {
				a.awaitAcknowledge(lost)
			}
			return
		}
		select {
		case <-changed:
		case <-lost:
			return
		}
	}
}

// awaitAcknowledge keeps the stream open until the entry has acknowledged the
// complete answer and closes the stream, the stream is lost, or the grace time
// passes.
func (a *Agent) awaitAcknowledge(lost <-chan struct{}) {
	select {
	case <-lost:
	case <-time.After(time.Duration(a.settings.Agent.OrphanGraceMillis) * time.Millisecond):
	}
}

// readEntryMessages handles Cancel and Acknowledge until the stream ends.
func (a *Agent) readEntryMessages(s *link.Stream, r *request, lost chan<- struct{}) {
	defer close(lost)
	for {
		message := &wire.EntryMessage{}
		if s.Read(message) != nil {
			return
		}
		switch body := message.Body.(type) {
		case *wire.EntryMessage_Cancel:
			r.cancel(outcome.New(outcome.Cancelled, "the caller is gone"))
			a.removeAnswer(r)
			a.wakeDispatcher() // removes a queued job immediately
			return
		case *wire.EntryMessage_Acknowledge:
			if end := r.isEnded(); end && body.Acknowledge.Offset >= r.submit.Offset+uint32(len(r.emitted())) {
				a.removeAnswer(r)
				return
			}
		}
	}
}

// removeAnswer removes a request from the answers that can be fetched. Its job
// runs on until it or its context ends.
func (a *Agent) removeAnswer(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests[r.key] == r {
		delete(a.requests, r.key)
	}
}

// sweepAnswers removes expired answers and cancels the work of entries that were
// lost longer ago than the grace time.
func (a *Agent) sweepAnswers(now time.Time) {
	grace := time.Duration(a.settings.Agent.OrphanGraceMillis) * time.Millisecond
	a.mu.Lock()
	var orphans []*request
	for key, r := range a.requests {
		if r.isExpired(now, grace) {
			delete(a.requests, key)
			orphans = append(orphans, r)
		}
	}
	a.mu.Unlock()
	for _, r := range orphans {
		r.cancel(outcome.New(outcome.Cancelled, "the entry was lost and no caller asked for the answer"))
	}
}

// isIdle reports whether no work is left and no answer can still be fetched.
// enqueue reads the drain state and counts its request under the same lock, so a
// request that was accepted before the drain is not missed.
func (a *Agent) isIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active.Load() == 0 && len(a.requests) == 0
}

// cancelAll cancels all jobs and removes all answers.
func (a *Agent) cancelAll(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.jobs {
		r.cancel(cause)
	}
	clear(a.requests)
}

// span starts a trace span for a step of a request.
func (a *Agent) span(r *request, name string) (context.Context, trace.Span) {
	ctx := observe.WithTraceparent(r.ctx, r.submit.Traceparent)
	return a.telemetry.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request_id", r.submit.RequestId), attribute.String("attempt_id", r.submit.AttemptId),
		attribute.String("client_account", r.submit.ClientAccount)))
}

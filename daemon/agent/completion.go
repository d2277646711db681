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

// serveSubmit takes a proposed completion into the queue, or answers NotRun,
// and then relays the answer.
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

// accept checks a completion and queues it. The request is attached once.
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
		Band: outcome.BandOf(tokens), PrefillTokens: a.uncachedTokens(submit), KVTokens: tokens + int(submit.MaxTokens),
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
	a.signal()
	return r, nil
}

// enqueue puts a request into the queue and the tables and returns the
// earlier attempt that it replaces, if any.
func (a *Agent) enqueue(r *request, now time.Time) (old *request, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The drain state is read under the lock that guards the table, so that a
	// drain which finds no active work cannot miss this request.
	if a.draining.Load() {
		return nil, outcome.New(outcome.Draining, "VM %s is being drained", a.settings.VM)
	}
	if err := a.queue.Push(now, r.job); err != nil {
		return nil, err
	}
	a.jobs[r.job.ID] = r
	a.active.Add(1)
	if r.granted != nil {
		return nil, nil // a segment holds no answer that could be fetched
	}
	old = a.requests[r.key]
	a.requests[r.key] = r
	return old, nil
}

// uncachedTokens returns the prompt tokens that the prefix cache is not known
// to hold.
func (a *Agent) uncachedTokens(s *wire.SubmitRequest) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(int(s.PromptTokens)-a.cache.longest(s.Prefixes), 1)
}

// signal wakes the dispatcher.
func (a *Agent) signal() {
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
	if r == nil || !r.holds(resume.Offset) {
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

// relay sends the answer from an offset on until it has ended or the stream
// is lost. A Cancel of the entry cancels the request.
func (a *Agent) relay(s *link.Stream, r *request, offset uint32) {
	lost := make(chan struct{})
	go a.readEntry(s, r, lost)
	defer func() {
		// A finished answer stays readable until it is acknowledged.
		r.detach(time.Now())
	}()
	for {
		texts, ended, changed := r.next(offset)
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

// awaitAcknowledge keeps the stream open until the entry has confirmed that
// the caller has the whole answer, or the stream is lost.
func (a *Agent) awaitAcknowledge(lost <-chan struct{}) {
	select {
	case <-lost:
	case <-time.After(time.Duration(a.settings.Agent.OrphanGraceMillis) * time.Millisecond):
	}
}

// readEntry handles Cancel and Acknowledge until the stream ends.
func (a *Agent) readEntry(s *link.Stream, r *request, lost chan<- struct{}) {
	defer close(lost)
	for {
		message := &wire.EntryMessage{}
		if s.Read(message) != nil {
			return
		}
		switch body := message.Body.(type) {
		case *wire.EntryMessage_Cancel:
			r.cancel(outcome.New(outcome.Cancelled, "the caller is gone"))
			a.forget(r)
			a.signal() // a queued job leaves the queue at once
			return
		case *wire.EntryMessage_Acknowledge:
			if end := r.isEnded(); end && body.Acknowledge.Offset >= r.submit.Offset+uint32(len(r.emitted())) {
				a.forget(r)
				return
			}
		}
	}
}

// forget removes a request from the table of answers; its work, if any, goes
// on until its context ends.
func (a *Agent) forget(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests[r.key] == r {
		delete(a.requests, r.key)
	}
}

// sweepAnswers forgets answers that nobody can still want and cancels work
// whose entry was lost longer ago than the grace time.
func (a *Agent) sweepAnswers(now time.Time) {
	grace := time.Duration(a.settings.Agent.OrphanGraceMillis) * time.Millisecond
	a.mu.Lock()
	var orphans []*request
	for key, r := range a.requests {
		if r.forgettable(now, grace) {
			delete(a.requests, key)
			orphans = append(orphans, r)
		}
	}
	a.mu.Unlock()
	for _, r := range orphans {
		r.cancel(outcome.New(outcome.Cancelled, "the entry was lost and no caller asked for the answer"))
	}
}

// heldAnswers returns the number of answers that may still be read.
func (a *Agent) heldAnswers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// cancelAll cancels all work.
func (a *Agent) cancelAll(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.jobs {
		r.cancel(cause)
	}
	clear(a.requests)
}

// span starts a span for a step of a request.
func (a *Agent) span(r *request, name string) (context.Context, trace.Span) {
	ctx := observe.WithTraceparent(r.ctx, r.submit.Traceparent)
	return a.telemetry.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request_id", r.submit.RequestId), attribute.String("attempt_id", r.submit.AttemptId),
		attribute.String("client_account", r.submit.ClientAccount)))
}

package agent

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/policy/queue"
)

// Times of the work with the engine. Expired answers are removed at intervals of
// sweepInterval. One call to the engine may take up to engineCallTimeout. If it
// fails, it is retried after engineRetryMin; the wait then doubles with each
// retry, up to engineRetryMax.
const (
	sweepInterval     = time.Second
	engineRetryMin    = 50 * time.Millisecond
	engineRetryMax    = 2 * time.Second
	engineCallTimeout = 5 * time.Second
	// exportTimeout bounds the export of a long prompt's KV cache.
	exportTimeout = 60 * time.Second
	// cancelRetryTimeout is how long a stopping agent retries a cancel that the
	// engine does not confirm. The next process of the VM cancels what is left.
	cancelRetryTimeout = 10 * time.Second
)

// prepareEngine waits for the engine's description and cancels the streams that
// an earlier process of this VM left in the engine.
func (a *Agent) prepareEngine(ctx context.Context) error {
	for delay := engineRetryMin; ; delay = min(2*delay, engineRetryMax) {
		info, err := a.describeEngine(ctx)
		if err == nil {
			a.mu.Lock()
			a.queue = queue.New(queue.Config{KVTokens: info.KVTokens, StepTokens: info.StepTokens,
				PrefillTokensPerSecond: info.PrefillTokensPerSecond, LongKVShare: a.settings.Agent.Engine.LongKVShare,
				MaxQueued: a.settings.Agent.Engine.MaxQueued})
			a.mu.Unlock()
			a.info.Store(&info)
			return nil
		}
		a.log.Warn("engine is not ready", "error", err.Error())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.stop:
			return outcome.New(outcome.Draining, "stopped before the engine was ready")
		case <-time.After(delay):
		}
	}
}

func (a *Agent) describeEngine(ctx context.Context) (backend.EngineInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	info, err := a.engine.Info(ctx)
	if err != nil {
		return info, fmt.Errorf("read the engine's description: %w", err)
	}
	streams, err := a.engine.Streams(ctx)
	if err != nil {
		return info, fmt.Errorf("list the engine's streams: %w", err)
	}
	for _, s := range streams {
		a.log.Info("stream of an earlier process cancelled", "stream", s.StreamID, "kv_tokens", s.KVTokens)
		if err := a.engine.Cancel(ctx, s.StreamID); err != nil {
			return info, fmt.Errorf("cancel stream %q: %w", s.StreamID, err)
		}
	}
	return info, nil
}

// dispatch starts queued jobs whenever the queue allows one, until ctx ends.
// Each running job has one goroutine; the queue's KV capacity bounds them.
func (a *Agent) dispatch(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		wait := a.startJobs(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			a.cancelAll(outcome.New(outcome.Draining, "VM %s stops", a.settings.VM))
			return nil
		case <-a.wake:
		case <-timer.C:
		case now := <-sweep.C:
			a.sweepAnswers(now)
		}
		timer.Stop()
	}
}

// startJobs ends expired jobs, pauses preempted ones, starts those that the
// queue grants, and returns the time until the queue must be checked again.
func (a *Agent) startJobs(ctx context.Context) time.Duration {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, job := range a.queue.Expired(now) {
		a.endQueued(job.ID, outcome.New(outcome.DeadlineExceeded, "the deadline passed in the queue"))
	}
	for id, r := range a.jobs {
		if r.ctx.Err() != nil {
			a.dropQueued(now, id, r)
		}
	}
	for _, id := range a.queue.Preempt(now) {
		if r := a.jobs[id]; r != nil {
			r.pausing = true
			select {
			case r.pause <- struct{}{}:
			default:
			}
		}
	}
	for {
		grant, ok := a.queue.Next(now)
		if !ok {
			break
		}
		r := a.jobs[grant.ID]
		r.job = grant.Job
		r.running = true
		if r.granted != nil {
			go r.granted(grant)
			continue
		}
		go a.runGrant(r, grant)
	}
	if wakeAt, ok := a.queue.NextWake(now); ok {
		return max(wakeAt.Sub(now), time.Millisecond)
	}
	return sweepInterval
}

// dropQueued removes a job that was cancelled before it ran; a.mu is held.
func (a *Agent) dropQueued(now time.Time, id string, r *request) {
	if r.running {
		return
	}
	a.queue.Finish(now, id)
	a.endQueued(id, context.Cause(r.ctx))
}

// endQueued ends a request whose job is not running; a.mu is held.
func (a *Agent) endQueued(id string, cause error) {
	r := a.jobs[id]
	if r == nil {
		return
	}
	delete(a.jobs, id)
	if r.queueSpan != nil {
		r.queueSpan.End()
	}
	result := r.abortedOutcome()
	a.metrics.ended(r, result)
	r.end(&wire.End{Outcome: result, Error: toWire(cause)})
	a.active.Add(-1)
}

// runGrant runs a granted job on the engine until it ends or is paused.
func (a *Agent) runGrant(r *request, grant queue.Grant) {
	r.queueSpan.End()
	ctx, span := a.span(r, "engine")
	defer span.End()
	a.metrics.queued(r, time.Since(r.job.Arrived))
	// If the process was paused, the deadline of the grant may have passed.
	if r.ctx.Err() != nil {
		a.finishJob(r, "", a.streamEnd(r, backend.Chunk{}, context.Cause(r.ctx)))
		return
	}
	if remaining := int(r.submit.MaxTokens) - len(r.emitted()); remaining <= 0 && r.starts > 0 && r.state == nil {
		// The stream was paused after its last token and before its end.
		a.finishJob(r, "", &wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED, FinishReason: finishLength, PromptTokens: r.submit.PromptTokens})
		return
	}
	r.starts++
	streamID := fmt.Sprintf("%s.%d", r.submit.AttemptId, r.starts)
	chunk, paused, err := a.stream(ctx, r, streamID, grant.Priority)
	if paused {
		if r.state == nil {
			// Without a usable state, the stream may still hold the engine's memory.
			a.cancelStream(streamID)
		}
		a.requeue(r)
		return
	}
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.SetAttributes(attribute.Int("tokens", len(r.emitted())), attribute.Int("cached_tokens", chunk.CachedTokens))
	a.finishJob(r, streamID, a.streamEnd(r, chunk, err))
}

// stream runs one engine stream until it ends or is paused.
func (a *Agent) stream(ctx context.Context, r *request, id string, priority int) (last backend.Chunk, paused bool, err error) {
	stream, err := a.engine.Start(ctx, a.engineCompletion(r, id, priority))
	if err != nil {
		return backend.Chunk{}, false, fmt.Errorf("start engine stream: %w", err)
	}
	exported := make(chan exportResult, 1)
	done := make(chan struct{})
	defer close(done)
	go a.exportOnPause(r, id, exported, done)
	first := true
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			if r.ctx.Err() == nil {
				paused = a.awaitExport(r, exported)
			}
			if paused && !endedByEngine(err) {
				// The state may contain tokens that were lost with the connection.
				a.log.Warn("stream broke during its export, the prompt needs a new prefill", "request_id", r.submit.RequestId, "error", err.Error())
				r.state = nil
			}
			closeAsync(stream)
			return chunk, paused, fmt.Errorf("read engine stream: %w", err)
		}
		r.appendTexts(chunk.Texts)
		if first && len(chunk.Texts) > 0 {
			first = false
			a.firstToken(r)
		}
		if chunk.Final {
			_ = stream.Close()
			return chunk, false, nil
		}
	}
}

// endedByEngine reports whether a stream ended because the engine stated that it
// has cancelled or exported it. All tokens have arrived then.
func endedByEngine(err error) bool {
	var failure *backend.EngineError
	return errors.As(err, &failure) && failure.Kind == backend.EngineNotFound
}

// closeAsync closes an unfinished stream without waiting for the engine, because
// an engine that hangs must not delay the result of a request. The queue keeps
// the KV reservation until cancelStream returns.
func closeAsync(stream backend.Stream) { go func() { _ = stream.Close() }() }

// engineCompletion returns the completion that the engine runs for the rest of
// the answer.
func (a *Agent) engineCompletion(r *request, id string, priority int) backend.Completion {
	c := backend.Completion{StreamID: id, Model: r.submit.Model, Priority: priority}
	if r.state != nil {
		c.State = r.state
		r.state = nil
		return c
	}
	texts := r.emitted()
	c.MaxTokens = int(r.submit.MaxTokens) - len(texts)
	c.Prompt = r.submit.Prompt
	if len(texts) > 0 {
		c.Prompt = append(append([]byte(nil), r.submit.Prompt...), strings.Join(texts, "")...)
	}
	return c
}

type exportResult struct {
	state []byte
	err   error
}

// exportOnPause exports the stream when the dispatcher requests a pause. An
// export ends the stream, so the goroutine that reads it gets an error after the
// last token. If the export fails, the stream is cancelled, because short work
// waits for its memory.
func (a *Agent) exportOnPause(r *request, id string, result chan<- exportResult, done <-chan struct{}) {
	select {
	case <-done:
		return
	case <-r.pause:
	}
	ctx, cancel := context.WithTimeout(r.ctx, exportTimeout)
	defer cancel()
	state, err := a.engine.Export(ctx, id)
	result <- exportResult{state, err}
	if err != nil {
		cancelCtx, done := context.WithTimeout(context.Background(), engineCallTimeout)
		defer done()
		if err := a.engine.Cancel(cancelCtx, id); err != nil {
			a.log.Warn("engine stream could not be cancelled", "stream", id, "error", err.Error())
		}
	}
}

// awaitExport waits for the result of an export in progress, if any, and reports
// whether the stream was paused. This is also the case if the export failed: the
// prompt and the emitted tokens then need a new prefill.
func (a *Agent) awaitExport(r *request, exported <-chan exportResult) bool {
	var result exportResult
	select {
	case result = <-exported:
	default:
		if !a.isPausing(r) {
			return false
		}
		select {
		case result = <-exported:
		case <-r.ctx.Done():
			return false
		}
	}
	if result.err != nil {
		a.log.Warn("export failed, the prompt needs a new prefill", "request_id", r.submit.RequestId, "error", result.err.Error())
	}
	r.state = result.state
	return true
}

func (a *Agent) isPausing(r *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.pausing
}

// firstToken reports to the queue that the prefill has ended.
func (a *Agent) firstToken(r *request) {
	now := time.Now()
	a.mu.Lock()
	a.queue.RecordFirstToken(now, r.job.ID)
	a.mu.Unlock()
	a.metrics.firstToken(r, now.Sub(r.job.Arrived))
	a.wakeDispatcher()
}

// requeue puts a paused job back into the queue.
func (a *Agent) requeue(r *request) {
	now := time.Now()
	a.mu.Lock()
	r.running, r.pausing = false, false
	job := r.job
	if r.state != nil {
		job.PrefillTokens = 1 // the exported state replaces the prefill
	}
	job.AnswerTokens = int(r.submit.MaxTokens) - len(r.emitted())
	a.queue.Requeue(now, job)
	a.mu.Unlock()
	a.metrics.preempted(r)
	a.wakeDispatcher()
}

// streamEnd returns the result of a request whose engine stream has ended.
func (a *Agent) streamEnd(r *request, last backend.Chunk, err error) *wire.End {
	if err == nil {
		return &wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED, FinishReason: last.FinishReason,
			PromptTokens: uint32(last.PromptTokens), CachedTokens: uint32(last.CachedTokens)}
	}
	if r.ctx.Err() != nil {
		return &wire.End{Outcome: r.abortedOutcome(), Error: toWire(context.Cause(r.ctx))}
	}
	var failure *backend.EngineError
	code := outcome.BackendFailed
	if errors.As(err, &failure) && failure.Kind == backend.EngineRefused {
		code = outcome.Overloaded
	}
	return &wire.End{Outcome: wire.Outcome_OUTCOME_FAILED, Error: toWire(outcome.Wrap(err, code, "the engine of VM %s failed", a.settings.VM))}
}

// finishJob ends a job. The caller gets the result immediately. The queue keeps
// the KV reservation until the engine has confirmed that the stream is cancelled:
// it must not grant memory that the engine still holds.
func (a *Agent) finishJob(r *request, streamID string, end *wire.End) {
	a.metrics.ended(r, end.Outcome)
	completed := end.Outcome == wire.Outcome_OUTCOME_COMPLETED
	r.end(end)
	if !completed && streamID != "" {
		a.cancelStream(streamID)
	}
	a.mu.Lock()
	a.queue.Finish(time.Now(), r.job.ID)
	delete(a.jobs, r.job.ID)
	a.mu.Unlock()
	a.active.Add(-1)
	a.wakeDispatcher()
}

// cancelStream retries a cancel until the engine confirms it. A restarted engine
// does not know the stream, which counts as confirmed.
func (a *Agent) cancelStream(id string) {
	started := time.Now()
	for delay := engineRetryMin; ; delay = min(2*delay, engineRetryMax) {
		ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
		err := a.engine.Cancel(ctx, id)
		cancel()
		if err == nil {
			return
		}
		a.log.Warn("engine stream could not be cancelled", "stream", id, "error", err.Error())
		if a.stopping() && time.Since(started) > cancelRetryTimeout {
			return
		}
		time.Sleep(delay)
	}
}

// stopping reports whether Stop was called.
func (a *Agent) stopping() bool {
	select {
	case <-a.stop:
		return true
	default:
		return false
	}
}

// finishLength is the finish reason of an answer that reached max_tokens.
const finishLength = "length"

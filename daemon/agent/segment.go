package agent

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/link"
	"camphorwick.dev/policy/queue"
)

// segment is one part of a prompt that exceeds the KV cache of one engine. Its
// memory stays reserved until the entry closes the stream, because the engines
// of later segments may read it.
type segment struct {
	agent    *Agent
	request  *request
	stream   *link.Stream
	reserve  *wire.SegmentReserve
	granted  chan queue.Grant      // receives the queue's grant of the memory
	lost     chan struct{}         // closed when the stream to the entry ends
	run      chan *wire.SegmentRun // receives the text of the segment
	streamID string                // of the engine stream; empty before its start
}

// serveSegment reserves memory for a segment, runs it when the entry sends its
// text, and frees the memory when the stream ends.
func (a *Agent) serveSegment(ctx context.Context, s *link.Stream, reserve *wire.SegmentReserve) {
	seg, err := a.newSegment(ctx, s, reserve)
	if err != nil {
		_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_NotRun{NotRun: &wire.NotRun{
			AttemptId: reserve.AttemptId, Error: toWire(err), Load: a.load()}}})
		return
	}
	defer seg.release()
	go seg.readMessages()
	select {
	case <-seg.granted:
	case <-seg.lost:
		return
	case <-seg.request.ctx.Done():
		seg.refuse(context.Cause(seg.request.ctx))
		return
	}
	a.firstToken(seg.request) // a reservation has no prefill
	if seg.write(&wire.AgentMessage{Body: &wire.AgentMessage_Accepted{Accepted: &wire.Accepted{AttemptId: reserve.AttemptId}}}) != nil {
		return
	}
	seg.runAndHold()
}

// neverPreempted is the value of Job.Preemptions, the number of preemptions so
// far, that keeps the queue from preempting a segment. A segment cannot be
// paused, so short work would wait for memory that is not freed.
const neverPreempted = math.MaxInt

// newSegment queues the reservation of a segment's memory.
func (a *Agent) newSegment(ctx context.Context, s *link.Stream, reserve *wire.SegmentReserve) (*segment, error) {
	info := a.info.Load()
	if info == nil || !slices.Contains(info.Models, reserve.Model) {
		return nil, outcome.New(outcome.UnknownModel, "model %q is not loaded on VM %s", reserve.Model, a.settings.VM)
	}
	now := time.Now()
	submit := &wire.SubmitRequest{RequestId: reserve.RequestId, AttemptId: reserve.AttemptId, ClientAccount: reserve.ClientAccount,
		Model: reserve.Model, RemainingMs: reserve.RemainingMs, Offset: reserve.Offset, Traceparent: reserve.Traceparent}
	r := newRequest(context.WithoutCancel(ctx), submit, now)
	seg := &segment{agent: a, request: r, stream: s, reserve: reserve, granted: make(chan queue.Grant, 1),
		lost: make(chan struct{}), run: make(chan *wire.SegmentRun, 1)}
	r.granted = func(g queue.Grant) { seg.granted <- g }
	r.job = queue.Job{ID: reserve.AttemptId, Account: reserve.ClientAccount, Weight: int(reserve.Weight), Band: outcome.Long,
		PrefillTokens: int(reserve.SegmentTokens), KVTokens: int(reserve.SegmentTokens + reserve.MaxTokens), AnswerTokens: int(reserve.MaxTokens),
		Arrived: now, Deadline: r.deadline, Preemptions: neverPreempted}
	if _, err := a.enqueue(r, now); err != nil {
		r.cancel(nil)
		return nil, err
	}
	a.wakeDispatcher()
	return seg, nil
}

// readMessages handles the entry's messages until the stream ends.
func (s *segment) readMessages() {
	defer close(s.lost)
	for {
		m := &wire.EntryMessage{}
		if s.stream.Read(m) != nil || m.GetCancel() != nil {
			s.request.cancel(outcome.New(outcome.Cancelled, "the entry released the segment"))
			return
		}
		if run := m.GetSegment(); run != nil {
			select {
			case s.run <- run:
			default: // a segment runs once
			}
		}
	}
}

// runAndHold runs the segment and then keeps its memory reserved until the
// stream ends.
func (s *segment) runAndHold() {
	select {
	case run := <-s.run:
		if err := s.runStream(run); err != nil {
			_ = s.write(&wire.AgentMessage{Body: &wire.AgentMessage_End{End: &wire.End{AttemptId: s.reserve.AttemptId,
				Outcome: wire.Outcome_OUTCOME_FAILED, Error: toWire(err)}}})
			return
		}
	case <-s.lost:
		return
	case <-s.request.ctx.Done():
		return
	}
	select {
	case <-s.lost:
	case <-s.request.ctx.Done():
	}
}

// runStream runs the engine stream of the segment. The last segment streams the
// answer; the others end with their state.
func (s *segment) runStream(run *wire.SegmentRun) error {
	a, r := s.agent, s.request
	ctx, span := a.span(r, "segment")
	defer span.End()
	last := s.reserve.MaxTokens > 0
	s.streamID = fmt.Sprintf("%s.segment", s.reserve.AttemptId)
	stream, err := a.engine.Start(ctx, backend.Completion{StreamID: s.streamID, Model: s.reserve.Model, Prompt: run.Prompt,
		State: run.State, MaxTokens: int(s.reserve.MaxTokens), Priority: queue.PriorityLong, PrefillOnly: !last})
	if err != nil {
		return outcome.Wrap(err, outcome.BackendFailed, "the engine of VM %s did not start the segment", a.settings.VM)
	}
	offset := s.reserve.Offset
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			closeAsync(stream)
			return outcome.Wrap(err, outcome.BackendFailed, "the segment on VM %s broke", a.settings.VM)
		}
		if len(chunk.Texts) > 0 {
			tokens := &wire.Tokens{AttemptId: s.reserve.AttemptId, Offset: offset, Texts: chunk.Texts}
			if err := s.write(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: tokens}}); err != nil {
				closeAsync(stream)
				return err
			}
			offset += uint32(len(chunk.Texts))
		}
		if chunk.Final {
			return s.sendResult(ctx, chunk, offset, last)
		}
	}
}

// sendResult sends the state of a segment, or the end of the answer.
func (s *segment) sendResult(ctx context.Context, chunk backend.Chunk, offset uint32, last bool) error {
	if last {
		return s.write(&wire.AgentMessage{Body: &wire.AgentMessage_End{End: &wire.End{AttemptId: s.reserve.AttemptId,
			Outcome: wire.Outcome_OUTCOME_COMPLETED, FinishReason: chunk.FinishReason, CompletionTokens: offset,
			PromptTokens: uint32(chunk.PromptTokens), CachedTokens: uint32(chunk.CachedTokens)}}})
	}
	state, err := s.agent.engine.Export(ctx, s.streamID)
	if err != nil {
		return outcome.Wrap(err, outcome.BackendFailed, "the state of the segment on VM %s cannot be exported", s.agent.settings.VM)
	}
	return s.write(&wire.AgentMessage{Body: &wire.AgentMessage_Segment{Segment: &wire.SegmentDone{
		AttemptId: s.reserve.AttemptId, State: state}}})
}

func (s *segment) write(m *wire.AgentMessage) error {
	if err := s.stream.Write(m); err != nil {
		return outcome.Wrap(err, outcome.Cancelled, "the entry is gone")
	}
	return nil
}

func (s *segment) refuse(cause error) {
	_ = s.write(&wire.AgentMessage{Body: &wire.AgentMessage_NotRun{NotRun: &wire.NotRun{
		AttemptId: s.reserve.AttemptId, Error: toWire(cause), Load: s.agent.load()}}})
}

// release cancels the engine stream and frees the reservation.
func (s *segment) release() {
	a, r := s.agent, s.request
	r.cancel(nil)
	if s.streamID != "" {
		a.cancelStream(s.streamID)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs[r.job.ID] != r {
		return // the dispatcher has removed it from the queue
	}
	a.queue.Finish(time.Now(), r.job.ID)
	delete(a.jobs, r.job.ID)
	a.active.Add(-1)
	a.wakeDispatcher()
}

package entry

import (
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
	"camphorwick.dev/settings"
)

const (
	// segmentShare is the share of an engine's KV cache that one segment may
	// take, so that short prompts always fit beside it.
	segmentShare = 0.5
	// reserveTimeout bounds the wait for one segment's memory, because the memory
	// of the earlier segments is reserved but unused meanwhile.
	reserveTimeout = 60 * time.Second
)

// groupMember is one engine of a group with its open stream.
type groupMember struct {
	vm      string
	attempt string
	size    int    // length of the segment in bytes
	text    []byte // the segment itself
	stream  *link.Stream
	lost    context.Context // ends when the agent is lost or suspected
	// messages receives the agent's messages; closed when the stream ends.
	messages chan *wire.AgentMessage
}

var (
	errGroupRefused = errors.New("an engine of the group refused")
	errNoState      = errors.New("the state of the segment is empty")
)

// needsGroup reports whether a completion exceeds the KV cache of every single
// engine.
func (e *Entry) needsGroup(c *completion) bool {
	largest := e.maxKVTokens(c.model)
	return largest > 0 && c.promptTokens+c.max > largest // without any engine, the answer is no_server
}

// planGroup chooses the engines of a group and splits the prompt into segments.
// It takes the engines with the least reserved memory and sorts them by VM. All
// entries reserve memory in the order of the VMs, so two groups cannot deadlock.
func (e *Entry) planGroup(c *completion, prompt []byte) ([]*groupMember, error) {
	candidates := e.groupCandidates(c.model)
	var members []*groupMember
	remaining := len(prompt)
	for _, candidate := range candidates {
		if remaining == 0 {
			break
		}
		capacity := int(float64(candidate.kvTokens)*segmentShare) * outcome.BytesPerToken
		size := min(remaining, capacity)
		members = append(members, &groupMember{vm: candidate.vm, size: size})
		remaining -= size
	}
	if remaining > 0 {
		return nil, e.tooFewEngines(c, len(prompt), len(candidates))
	}
	sort.Slice(members, func(i, j int) bool { return members[i].vm < members[j].vm })
	start := 0
	for _, m := range members {
		end := start + m.size
		m.text = prompt[start:end:end]
		start = end
	}
	return members, nil
}

var errEnginesMissing = errors.New("not all engines that the prompt needs can be used now")

// tooFewEngines returns the error for a prompt that exceeds the usable engines:
// prompt_too_long if no group can hold it, or no_server if it has to wait until
// engines that are lost, draining or marked are usable again.
func (e *Entry) tooFewEngines(c *completion, size, usable int) error {
	listed := e.member.ListedVMs()
	e.mu.Lock()
	defer e.mu.Unlock()
	capacity, known, someUnknown := 0, 0, false
	for _, vm := range listed {
		someUnknown = someUnknown || vm.Role == string(settings.RoleAgent) && e.agents[vm.ID] == nil
	}
	for _, state := range e.agents {
		if slices.Contains(state.models(), c.model) {
			known++
			capacity += int(float64(state.hello.Backend.KvTokens)*segmentShare) * outcome.BytesPerToken
		}
	}
	// An entry that has just started does not know all engines yet.
	if capacity < size && !someUnknown {
		return outcome.New(outcome.PromptTooLong, "a prompt of about %d tokens exceeds the %d engines of model %q together", c.promptTokens, known, c.model)
	}
	return outcome.Wrap(errEnginesMissing, outcome.NoServer, "a prompt of about %d tokens needs more than the %d of %d engines of model %q that can be used now",
		c.promptTokens, usable, known, c.model).WithRetryAfter(time.Second)
}

type candidate struct {
	vm       string
	kvTokens int
	reserved uint64 // reserved tokens of the KV cache
}

// groupCandidates returns the usable agents that serve a model, sorted by
// reserved memory.
func (e *Entry) groupCandidates(model string) []candidate {
	config := e.member.Replica.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []candidate
	for vm, state := range e.agents {
		if !state.mayGetWork(config) || !slices.Contains(state.models(), model) {
			continue
		}
		list = append(list, candidate{vm, int(state.hello.Backend.KvTokens), state.load.GetKvReservedTokens()})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].reserved != list[j].reserved {
			return list[i].reserved < list[j].reserved
		}
		return list[i].vm < list[j].vm
	})
	return list
}

// groupAttempts runs a completion that exceeds one engine. After the failure of
// a group, it forms a new one for the prompt and the emitted tokens, as long as
// the retry budget and the deadline allow it.
func (e *Entry) groupAttempts(ctx context.Context, r *run) (result, *link.Stream) {
	for {
		r.attempts++
		emitted := len(r.emitted)
		last := e.groupAttempt(ctx, r)
		switch last.verdict {
		case attemptCompleted:
			return result{outcome: outcome.Completed, end: last.end}, nil
		case attemptStopped:
			return r.failure(last.err), nil
		case attemptNotRun:
			switch {
			case outcome.CodeOf(last.err) == outcome.PromptTooLong, errors.Is(last.err, errEnginesMissing) && !r.started():
				return r.failure(last.err), nil
			case errors.Is(last.err, errEnginesMissing):
				// As in pickAgent, a completion that may have run waits. No engine
				// was asked, so this is not counted as an attempt.
				r.attempts--
				if !pause(ctx, retryPause) {
					return r.failure(context.Cause(ctx)), nil
				}
				continue
			}
			if !pause(ctx, retryPause*time.Duration(r.attempts)) {
				return r.failure(context.Cause(ctx)), nil
			}
		case attemptFailed:
			if end := e.recordFailure(r, last.vm); end != nil {
				return result{outcome: outcome.Completed, end: end}, nil
			}
		}
		if err := e.awaitRetry(ctx, r, last, emitted); err != nil {
			return r.failure(err), nil
		}
	}
}

// groupAttempt reserves all segments, runs them in order and forwards the
// answer of the last one. It always releases all segments before it returns.
func (e *Entry) groupAttempt(ctx context.Context, r *run) attemptResult {
	prompt := r.prompt
	if len(r.emitted) > 0 {
		prompt = append(append([]byte(nil), r.prompt...), strings.Join(r.emitted, "")...)
	}
	members, err := e.planGroup(r.completion, prompt)
	if err != nil {
		return attemptResult{verdict: attemptNotRun, err: err}
	}
	ctx, span := e.telemetry.Tracer.Start(ctx, "group")
	span.SetAttributes(attribute.Int("segments", len(members)))
	defer span.End()
	done := make(chan struct{})
	defer func() {
		close(done)
		for i := len(members) - 1; i >= 0; i-- {
			if members[i].stream != nil {
				members[i].stream.Close()
			}
		}
	}()
	for i, m := range members {
		if err := e.reserveSegment(ctx, r, m, i == len(members)-1, done); err != nil {
			if ctx.Err() != nil {
				return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
			}
			return attemptResult{verdict: attemptNotRun, err: err}
		}
	}
	r.accept()
	return e.runGroup(ctx, r, members)
}

// reserveSegment asks one agent to reserve the memory of its segment and waits
// for the reservation.
func (e *Entry) reserveSegment(ctx context.Context, r *run, m *groupMember, last bool, done <-chan struct{}) error {
	stream, lost, err := e.member.Node.Open(ctx, m.vm)
	if err != nil {
		return outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", m.vm)
	}
	m.stream, m.lost, m.attempt = stream, lost, uuid.NewString()
	request := &wire.SegmentReserve{RequestId: r.exchange.requestID, AttemptId: m.attempt, ClientAccount: r.exchange.account,
		Model: r.model, SegmentTokens: uint32(outcome.EstimateTokens(len(m.text))), RemainingMs: remainingMillis(r.deadline),
		Weight: uint32(r.exchange.plan.EffectiveWeight()), Traceparent: observe.Traceparent(ctx), Offset: uint32(len(r.emitted))}
	if last {
		request.MaxTokens = uint32(r.max - len(r.emitted))
	}
	if err := send(ctx, lost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_Segment{Segment: request}}); err != nil {
		return outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", m.vm)
	}
	m.messages = make(chan *wire.AgentMessage, 16)
	go receive(stream, m.messages, done)
	timeout := time.NewTimer(reserveTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-lost.Done():
		return outcome.Wrap(errSuspected, outcome.NoServer, "VM %s was lost", m.vm)
	case <-timeout.C:
		return outcome.Wrap(errGroupRefused, outcome.Overloaded, "VM %s had no memory for a segment in time", m.vm)
	case message := <-m.messages:
		if message.GetAccepted() == nil {
			return fromWire(message.GetNotRun().GetError())
		}
	}
	return nil
}

// runGroup runs the reserved segments in order. The loss of any member ends
// the attempt, because later segments depend on all earlier ones.
func (e *Entry) runGroup(ctx context.Context, r *run, members []*groupMember) attemptResult {
	r.mayHaveRun = true
	anyLost, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range members {
		defer context.AfterFunc(m.lost, stop)()
	}
	var state []byte
	for i, m := range members {
		run := &wire.SegmentRun{State: state, Prompt: m.text}
		if err := send(ctx, anyLost, m.stream, &wire.EntryMessage{Body: &wire.EntryMessage_Segment{Segment: run}}); err != nil {
			return failedOrStopped(ctx, m.vm, err)
		}
		if i == len(members)-1 {
			// The earlier segments have run even if the last agent reports not_run.
			return e.followLastSegment(ctx, anyLost, r, m, true) // earlierMayHaveRun
		}
		got, segmentState := awaitSegment(ctx, anyLost, m)
		if segmentState == nil {
			return got
		}
		state = segmentState
	}
	return failedAttempt("", errGroupRefused)
}

// failed returns the result of an attempt that failed at this member.
func (m *groupMember) failed(err error) attemptResult {
	got := failedAttempt(m.vm, err)
	got.vm = m.vm
	return got
}

// awaitSegment waits for the state of a segment. The state is nil if the attempt
// failed.
func awaitSegment(ctx, lost context.Context, m *groupMember) (attemptResult, []byte) {
	select {
	case <-ctx.Done():
		return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}, nil
	case <-lost.Done():
		return failedAttempt(m.vm, errSuspected), nil
	case message, ok := <-m.messages:
		switch {
		case !ok:
			return m.failed(errStreamEnded), nil
		case len(message.GetSegment().GetState()) > 0:
			return attemptResult{}, message.GetSegment().State
		case message.GetSegment() != nil:
			return m.failed(errNoState), nil
		}
		return attemptResult{verdict: attemptFailed, vm: m.vm, err: fromWire(message.GetEnd().GetError())}, nil
	}
}

// followLastSegment forwards the answer of the last segment.
func (e *Entry) followLastSegment(ctx, lost context.Context, r *run, m *groupMember, earlierMayHaveRun bool) attemptResult {
	for {
		select {
		case <-ctx.Done():
			return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
		case <-lost.Done():
			return failedAttempt(m.vm, errSuspected)
		case message, ok := <-m.messages:
			if !ok {
				return m.failed(errStreamEnded)
			}
			if got, final := e.handleMessage(ctx, r, m.vm, m.attempt, message, earlierMayHaveRun); final {
				got.vm = m.vm
				return got
			}
		}
	}
}

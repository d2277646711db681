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
	// segmentShare is the part of an engine's KV-cache memory that one segment
	// may take, so that short prompts always fit beside it.
	segmentShare = 0.5
	// reserveLimit bounds the wait for one segment's memory while the memory
	// of others is held.
	reserveLimit = 60 * time.Second
)

// groupMember is one engine of a group with its open stream.
type groupMember struct {
	vm      string
	attempt string
	// size is the length of the segment in bytes, text the segment itself.
	size   int
	text   []byte
	stream *link.Stream
	lost   context.Context
	// messages are what the agent sent; closed when the stream ends.
	messages chan *wire.AgentMessage
}

var errGroupRefused = errors.New("an engine of the group refused")

// needsGroup reports whether a completion exceeds every single engine.
func (e *Entry) needsGroup(c *completion) bool {
	largest := e.largestPrompt(c.model)
	return largest > 0 && c.tokens+c.max > largest // without any engine, the answer is no_server
}

// planGroup chooses the engines of a group and cuts the prompt. The engines
// with the least reserved memory are taken and put in ascending order of VM.
// All entries reserve in that order, so two groups cannot wait for each other
// in a circle.
func (e *Entry) planGroup(c *completion, prompt []byte) ([]*groupMember, error) {
	candidates := e.groupCandidates(c.model)
	var members []*groupMember
	rest := len(prompt)
	for _, candidate := range candidates {
		if rest == 0 {
			break
		}
		room := int(float64(candidate.kv)*segmentShare) * outcome.BytesPerToken
		size := min(rest, room)
		members = append(members, &groupMember{vm: candidate.vm, size: size})
		rest -= size
	}
	if rest > 0 {
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

// tooFewEngines tells a prompt that no group can hold from one that has to
// wait until engines that are lost, draining or marked can be used again.
func (e *Entry) tooFewEngines(c *completion, size, usable int) error {
	listed := e.member.ListedVMs()
	e.mu.Lock()
	defer e.mu.Unlock()
	room, known, unseen := 0, 0, false
	for _, vm := range listed {
		unseen = unseen || vm.Role == string(settings.RoleAgent) && e.agents[vm.ID] == nil
	}
	for _, state := range e.agents {
		if slices.Contains(state.models(), c.model) {
			known++
			room += int(float64(state.hello.Backend.KvTokens)*segmentShare) * outcome.BytesPerToken
		}
	}
	// An entry that was started just now has not seen all engines.
	if room < size && !unseen {
		return outcome.New(outcome.PromptTooLong, "a prompt of about %d tokens exceeds the %d engines of model %q together", c.tokens, known, c.model)
	}
	return outcome.Wrap(errEnginesMissing, outcome.NoServer, "a prompt of about %d tokens needs more than the %d of %d engines of model %q that can be used now",
		c.tokens, usable, known, c.model).WithRetryAfter(time.Second)
}

type candidate struct {
	vm       string
	kv       int
	reserved uint64
}

// groupCandidates returns the usable agents of a model, those with the least
// reserved memory first.
func (e *Entry) groupCandidates(model string) []candidate {
	config := e.member.Replica.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []candidate
	for vm, state := range e.agents {
		_, marked := config.Mark(vm)
		if !state.usable || marked || state.load.GetDraining() || state.load.GetBackendDown() || !slices.Contains(state.models(), model) {
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

// groupAttempts runs a completion that exceeds one engine. A broken group is
// formed again from prompt and emitted tokens while budget and time allow.
func (e *Entry) groupAttempts(ctx context.Context, r *run) (result, *link.Stream) {
	for {
		r.attempts++
		emitted := len(r.emitted)
		got := e.groupAttempt(ctx, r)
		switch got.verdict {
		case attemptEnded:
			return result{outcome: outcome.Completed, end: got.end}, nil
		case attemptStopped:
			return r.failure(got.err), nil
		case attemptNotRun:
			switch {
			case outcome.CodeOf(got.err) == outcome.PromptTooLong, errors.Is(got.err, errEnginesMissing) && !r.started():
				return r.failure(got.err), nil
			case errors.Is(got.err, errEnginesMissing):
				// As in pick: a started completion waits, and no engine was asked.
				r.attempts--
				if !pause(ctx, retryPause) {
					return r.failure(context.Cause(ctx)), nil
				}
				continue
			}
			if !pause(ctx, retryPause*time.Duration(r.attempts)) {
				return r.failure(context.Cause(ctx)), nil
			}
		}
		if err := e.mayRetry(ctx, r, got, emitted); err != nil {
			return r.failure(err), nil
		}
	}
}

// groupAttempt reserves all segments, runs them in order and passes the
// answer of the last one on. Every way out releases all segments.
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
		if err := e.reserve(ctx, r, m, i == len(members)-1, done); err != nil {
			if ctx.Err() != nil {
				return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
			}
			return attemptResult{verdict: attemptNotRun, err: err}
		}
	}
	r.accept()
	return e.runGroup(ctx, r, members)
}

// reserve asks one agent for the memory of its segment and waits for it.
func (e *Entry) reserve(ctx context.Context, r *run, m *groupMember, last bool, done <-chan struct{}) error {
	stream, lost, err := e.member.Node.Open(ctx, m.vm)
	if err != nil {
		return outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", m.vm)
	}
	m.stream, m.lost, m.attempt = stream, lost, uuid.NewString()
	request := &wire.SegmentReserve{RequestId: r.exchange.requestID, AttemptId: m.attempt, ClientAccount: r.exchange.account,
		Model: r.model, SegmentTokens: uint32(outcome.EstimateTokens(len(m.text))), RemainingMs: remaining(r.deadline),
		Weight: uint32(r.exchange.plan.EffectiveWeight()), Traceparent: observe.Traceparent(ctx), Offset: uint32(len(r.emitted))}
	if last {
		request.MaxTokens = uint32(r.max - len(r.emitted))
	}
	if err := send(ctx, lost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_Segment{Segment: request}}); err != nil {
		return outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", m.vm)
	}
	m.messages = make(chan *wire.AgentMessage, 16)
	go receive(stream, m.messages, done)
	limit := time.NewTimer(reserveLimit)
	defer limit.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-lost.Done():
		return outcome.Wrap(errSuspected, outcome.NoServer, "VM %s was lost", m.vm)
	case <-limit.C:
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
	r.mayRun = true
	anyLost, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range members {
		defer context.AfterFunc(m.lost, stop)()
	}
	var state []byte
	for i, m := range members {
		run := &wire.SegmentRun{State: state, Prompt: m.text}
		if err := send(ctx, anyLost, m.stream, &wire.EntryMessage{Body: &wire.EntryMessage_Segment{Segment: run}}); err != nil {
			return brokenOrStopped(ctx, m.vm, err)
		}
		if i == len(members)-1 {
			// The earlier segments have run, whatever the last agent says.
			return e.followMessages(ctx, anyLost, r, m, true)
		}
		got, next := awaitSegment(ctx, anyLost, m)
		if next == nil {
			return got
		}
		state = next
	}
	return broken("", errGroupRefused)
}

// awaitSegment waits for the state of a segment; nil if the attempt failed.
func awaitSegment(ctx, lost context.Context, m *groupMember) (attemptResult, []byte) {
	select {
	case <-ctx.Done():
		return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}, nil
	case <-lost.Done():
		return broken(m.vm, errSuspected), nil
	case message, ok := <-m.messages:
		switch {
		case !ok:
			return broken(m.vm, errStreamEnded), nil
		case message.GetSegment() != nil:
			return attemptResult{}, message.GetSegment().State
		}
		return attemptResult{verdict: attemptBroken, err: fromWire(message.GetEnd().GetError())}, nil
	}
}

// followMessages passes the answer of the last segment on.
func (e *Entry) followMessages(ctx, lost context.Context, r *run, m *groupMember, hadRun bool) attemptResult {
	for {
		select {
		case <-ctx.Done():
			return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
		case <-lost.Done():
			return broken(m.vm, errSuspected)
		case message, ok := <-m.messages:
			if !ok {
				return broken(m.vm, errStreamEnded)
			}
			if got, final := e.handle(ctx, r, m.vm, m.attempt, message, hadRun); final {
				return got
			}
		}
	}
}

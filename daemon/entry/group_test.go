package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/policy/choose"
)

// Guards against a completion that ends as complete without its text, because an
// agent sent a segment's state that is empty.
func TestSegmentWithoutStateFails(t *testing.T) {
	is := is.New(t)
	m := &groupMember{vm: "vm", messages: make(chan *wire.AgentMessage, 1)}
	m.messages <- &wire.AgentMessage{Body: &wire.AgentMessage_Segment{Segment: &wire.SegmentDone{}}}
	got, state := awaitSegment(context.Background(), context.Background(), m)
	is.Equal(state, nil)
	is.Equal(got.verdict, attemptFailed)
}

// Guards against a group whose agents fail and are still preferred for other work,
// because a failed attempt of a group is not counted against its agent.
func TestFailureInAGroupIsCounted(t *testing.T) {
	for name, message := range map[string]*wire.AgentMessage{
		"no state": {Body: &wire.AgentMessage_Segment{Segment: &wire.SegmentDone{}}},
		"failed":   {Body: &wire.AgentMessage_End{End: &wire.End{Outcome: wire.Outcome_OUTCOME_FAILED}}},
		"ended":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, r := newRun(t)
			r.max = 10
			for _, vm := range []string{"failing", "other"} {
				e.table.Upsert(choose.Agent{VM: vm, Models: []string{"m"}, KVTokens: 1000, PrefillTokensPerSecond: 1000})
			}
			m := &groupMember{vm: "failing", messages: make(chan *wire.AgentMessage, 1)}
			if message != nil {
				m.messages <- message
			}
			close(m.messages)
			got, _ := awaitSegment(context.Background(), context.Background(), m)
			is.Equal(e.recordFailure(r, got.vm), nil)
			for range 20 {
				vm, _, ok := e.table.Pick(time.Now(), choose.Request{Model: "m", Tokens: 10})
				is.True(ok)
				is.Equal(vm, "other")
			}
		})
	}
}

// Guards against a further attempt without tokens to generate, if a failed attempt
// has produced the last token and only the end of the answer is missing.
func TestLostEndOfACompleteAnswer(t *testing.T) {
	is := is.New(t)
	e, r := newRun(t)
	r.max, r.emitted = 2, []string{"a", "b"}
	end := e.recordFailure(r, "")
	is.Equal(end.GetOutcome(), wire.Outcome_OUTCOME_COMPLETED)
	is.Equal(end.GetCompletionTokens(), uint32(2))
}

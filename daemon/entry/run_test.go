package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/policy/choose"
)

// newRun returns an entry and a run that can handle messages without a
// connection.
func newRun(t *testing.T) (*Entry, *run) {
	t.Helper()
	m, err := newMetrics(noop.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	e := &Entry{metrics: m, table: choose.New(choose.Config{Seed: 1}), agents: map[string]*agentState{}}
	return e, &run{completion: &completion{exchange: &exchange{started: time.Now()}}, answer: newAnswer(), excluded: map[string]bool{}}
}

func tokenMessage(attempt string, offset uint32, texts ...string) *wire.AgentMessage {
	return &wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{AttemptId: attempt, Offset: offset, Texts: texts}}}
}

// Guards against duplicate tokens, tokens of a replaced attempt, and undetected
// missing tokens in an answer.
func TestTokensOnceAndInOrder(t *testing.T) {
	is := is.New(t)
	e, r := newRun(t)
	ctx := context.Background()
	for _, m := range []*wire.AgentMessage{
		tokenMessage("a", 0, "one ", "two "),
		tokenMessage("a", 1, "two ", "three "), // overlaps
		tokenMessage("old", 3, "wrong "),       // replaced attempt
		tokenMessage("a", 0, "one "),           // nothing new
		tokenMessage("a", 3, "four"),
	} {
		_, final := e.handleMessage(ctx, r, "vm", "a", m, false)
		is.True(!final)
	}
	is.Equal(strings.Join(r.emitted, ""), "one two three four")
	sent := ""
	for len(r.answer.tokens) > 0 {
		event := <-r.answer.tokens
		sent += strings.Join(event.texts, "")
	}
	is.Equal(sent, "one two three four")
	// Token 4 is missing.
	got, final := e.handleMessage(ctx, r, "vm", "a", tokenMessage("a", 5, "six"), false)
	is.True(final)
	is.Equal(got.verdict, attemptFailed)
	is.Equal(len(r.emitted), 4)
}

// Guards against an answer that counts as complete without its last tokens: the
// number of tokens in the agent's end must be that of the tokens received.
func TestEndMustMatchTokens(t *testing.T) {
	is := is.New(t)
	_, r := newRun(t)
	r.emitted = []string{"one"}
	end := &wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED, CompletionTokens: 2}
	is.Equal(attemptResultOf(r, "vm", end, false).verdict, attemptFailed)
	end.CompletionTokens = 1
	is.Equal(attemptResultOf(r, "vm", end, false).verdict, attemptCompleted)
}

// Guards against a map of agents that grows with every replaced VM.
func TestReplacedAgentsAreRemoved(t *testing.T) {
	is := is.New(t)
	e, _ := newRun(t)
	for vm, usable := range map[string]bool{"gone": false, "listed": false, "connected": true} {
		e.agents[vm] = &agentState{hello: &wire.Hello{Vm: vm}, usable: usable}
	}
	(*hooks)(e).VMsChanged([]cloud.VM{{ID: "listed"}})
	is.Equal(len(e.agents), 2)
	is.True(e.agents["gone"] == nil)
}

// Guards against a late message of an earlier attempt that ends or accepts a later one:
// the request would count as not run although it may have.
func TestMessagesOfOtherAttemptsAreIgnored(t *testing.T) {
	is := is.New(t)
	e, r := newRun(t)
	r.mayHaveRun = true
	for _, m := range []*wire.AgentMessage{
		{Body: &wire.AgentMessage_NotRun{NotRun: &wire.NotRun{AttemptId: "old"}}},
		{Body: &wire.AgentMessage_Accepted{Accepted: &wire.Accepted{AttemptId: "old"}}},
		{Body: &wire.AgentMessage_End{End: &wire.End{AttemptId: "old", Outcome: wire.Outcome_OUTCOME_COMPLETED}}},
	} {
		_, final := e.handleMessage(context.Background(), r, "vm", "a", m, false)
		is.True(!final)
	}
	is.True(r.mayHaveRun)
	is.True(!r.accepted)
	got, final := e.handleMessage(context.Background(), r, "vm", "a",
		&wire.AgentMessage{Body: &wire.AgentMessage_NotRun{NotRun: &wire.NotRun{AttemptId: "a"}}}, false)
	is.True(final)
	is.Equal(got.verdict, attemptNotRun)
}

// Guards against one prompt that ends the engine at each attempt being sent to engine after
// engine. An attempt that brought tokens shows that its prompt does not.
func TestFailuresWithoutATokenAreBounded(t *testing.T) {
	is := is.New(t)
	failed := attemptResult{verdict: attemptFailed}
	_, r := newRun(t)
	for range maxFailuresInARow - 1 {
		is.True(r.mayTryAgain(failed, false))
	}
	is.True(!r.mayTryAgain(failed, false))
	_, r = newRun(t)
	for range 3 * maxFailuresInARow {
		is.True(r.mayTryAgain(failed, true))
		is.True(r.mayTryAgain(failed, false))
		is.True(r.mayTryAgain(attemptResult{verdict: attemptNotRun}, false)) // a refusal is no failure
	}
}

package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// smallEngine has memory for 100,000 tokens, of which an entry uses 50,000 for a
// prompt larger than one engine: a prompt of 220,000 tokens needs five such engines.
var smallEngine = []string{"--kv-tokens=100000", "--step-fixed=2ms", "--step-per-prefill=2us"}

// Guards against prompts larger than one engine that are refused, truncated or
// mixed up, and against two of them that wait for each other's memory, since each
// needs more than half of the 6 engines. A prompt too long for all engines together
// must be refused.
func TestPromptLargerThanEngine(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 6, EngineFlags: smallEngine})
	var group errgroup.Group
	answers := make([]client.Answer, 3)
	texts := []string{prompt("first", 220_000), prompt("second", 220_000), prompt("short", 500)}
	for i, text := range texts {
		group.Go(func() error {
			a, err := caller(f, i%2).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 20, Stream: true, TimeoutMS: 60_000})
			answers[i] = a
			return err
		})
	}
	is.NoErr(group.Wait())
	for i, a := range answers {
		is.Equal(a.Outcome, "completed")
		is.Equal(a.Text, expected(texts[i], 20))
	}
	awaitMemoryFreed(t, f, 5*time.Second)
	tooLong, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: prompt("huge", 400_000), MaxTokens: 2})
	is.NoErr(err)
	is.Equal(tooLong.Code, "prompt_too_long")
	is.Equal(tooLong.Outcome, "not_run")
	is.NoErr(f.Stop())
}

// Guards against an answer that is lost when one of the agents that serve its
// prompt together is killed.
func TestGroupMemberKilled(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 5, EngineFlags: append([]string{"--step-fixed=20ms"}, smallEngine[:1]...)})
	text := prompt("group", 120_000)
	a, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: text, MaxTokens: 100, Stream: true}, 5, func(client.Answer) {
		f.Agents[0].KillNow()
	})
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	is.Equal(a.Text, expected(text, 100))
	is.NoErr(f.StartDaemon(f.Agents[0]))
	awaitMemoryFreed(t, f, 10*time.Second)
}

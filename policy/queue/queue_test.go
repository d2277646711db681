package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func job(id string, tokens int, timeout time.Duration) Job {
	// An answer of 100 tokens is added to the prompt.
	return Job{ID: id, Account: "a", Band: outcome.BandOf(tokens), PrefillTokens: tokens, KVTokens: tokens + 100, AnswerTokens: 100,
		Arrived: start, Deadline: start.Add(timeout)}
}

// Guards against a long document that delays a short question: the short job
// starts first although it arrived later.
func TestShortGoesFirst(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	is.NoErr(q.Push(start, job("long", 400_000, time.Hour)))
	is.NoErr(q.Push(start, job("short", 1_000, time.Minute)))
	g, ok := q.Next(start)
	is.True(ok)
	is.Equal(g.ID, "short")
	g, ok = q.Next(start)
	is.True(ok)
	is.Equal(g.ID, "long")
	is.Equal(g.Priority, PriorityLong)
	is.Equal(q.Load(start).KVReserved, 401_200) // both prompts and two answers of 100 tokens
	q.Finish(start, "long")
	q.Finish(start, "long") // has no effect
	q.Finish(start, "short")
	is.Equal(q.Load(start), Load{})
}

// Guards against refusals without the error code or the retry delay that callers
// need.
func TestPushRefusals(t *testing.T) {
	is := is.New(t)
	q := New(Config{MaxQueued: 1})
	is.Equal(outcome.CodeOf(q.Push(start, job("x", 2_000_000, time.Hour))), outcome.PromptTooLong)       // above defaultKVTokens
	is.Equal(outcome.CodeOf(q.Push(start, job("x", 500_000, time.Second))), outcome.DeadlineUnreachable) // prefill takes 25 s at the default 20,000 tokens/s
	is.NoErr(q.Push(start, job("x", 1_000, time.Minute)))
	err := q.Push(start, job("y", 1_000, time.Minute))
	is.Equal(outcome.CodeOf(err), outcome.Overloaded)
	is.True(outcome.From(err).RetryAfter > 0)
	is.Equal(len(q.Expired(start.Add(time.Minute))), 1)
}

// Guards against an observed speed that is distorted by long prefills, small
// samples or cancelled jobs.
func TestPrefillSpeedIsObservedFromShortJobs(t *testing.T) {
	is := is.New(t)
	q := New(Config{StepTokens: 1_000})
	now := start
	run := func(id string, tokens int, prefillTime time.Duration) {
		is.NoErr(q.Push(now, job(id, tokens, time.Hour)))
		_, ok := q.Next(now)
		is.True(ok)
		now = now.Add(prefillTime)
		q.RecordFirstToken(now, id)
		q.RecordFirstToken(now.Add(time.Hour), id) // has no effect
		q.Finish(now, id)
	}
	run("small", 1_000, time.Second)  // fewer than minSampleSteps
	run("long", 200_000, time.Hour/2) // not a short job
	for range minSamples {
		is.Equal(q.PrefillSpeed(), 0)
		run("short", 5_000, 500*time.Millisecond)
	}
	is.Equal(q.PrefillSpeed(), 10_000)
	is.NoErr(q.Push(now, job("cancelled", 5_000, time.Hour)))
	q.Next(now)
	q.Finish(now.Add(time.Minute), "cancelled") // without a first token
	is.Equal(q.PrefillSpeed(), 10_000)
}

// Guards against a long job that counts as urgent at once because most of its prompt
// is cached or its state was exported, so that short jobs wait behind it.
func TestCachedPromptTakesNoTime(t *testing.T) {
	is := is.New(t)
	q := New(Config{KVTokens: 405_000})
	long := job("long", 400_000, time.Hour)
	long.PrefillTokens = 1
	is.NoErr(q.Push(start, long))
	is.NoErr(q.Push(start, job("short", 8_000, time.Hour)))
	g, ok := q.Next(start)
	is.True(ok)
	is.Equal(g.ID, "short")
}

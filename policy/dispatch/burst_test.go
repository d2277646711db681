package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against short answers spread over as many engines as there are
// gateways, each with a few: the next one joins the fuller engine, and those
// with few become free for reading.
func TestShortAnswerJoinsTheFullerEngine(t *testing.T) {
	is := is.New(t)
	few := Load{Decoding: 2, ContextTokens: 12_000, EventGapMillis: 250}
	many := Load{Decoding: 11, ContextTokens: 66_000, EventGapMillis: 250}
	plan, ok := new(Chooser).Choose(testEngine(), short(), candidates(few, many, few))
	is.True(ok)
	is.Equal(plan.Primary, 1)
}

// Guards against quotes that miss their latency target because their engine
// was chosen for its many answers alone.
func TestShortAnswerLeavesABusyEngine(t *testing.T) {
	is := is.New(t)
	few := Load{Decoding: 2, ContextTokens: 12_000, EventGapMillis: 250}
	many := Load{Decoding: 11, ContextTokens: 66_000, EventGapMillis: 250, Prefilling: 4, Prefill: PromptPrefill(5000).Scale(4)}
	plan, ok := new(Chooser).Choose(testEngine(), short(), candidates(few, many, few))
	is.True(ok)
	is.True(plan.Primary != 1)
}

// Pattern: reviews arrive while all engines have answers in progress. Guards
// against a part of 1.5 s at an engine with eight quotes while others have one
// answer that allows long pauses: callers of quotes left after 2.5 s of
// silence.
func TestHelpersWithTheLeastHarm(t *testing.T) {
	is := is.New(t)
	quotes := Load{Decoding: 8, ContextTokens: 50_000, EventGapMillis: 250}
	one := Load{Decoding: 1, ContextTokens: 60_000, EventGapMillis: 600, Prefill: PromptPrefill(80_000)}
	loads := []Load{quotes, quotes, one, one, one}
	plan, ok := new(Chooser).Choose(testEngine(), Prompt{Tokens: 182_000, AnswerTokens: 840, TargetMillis: 3000, EventGapMillis: 1000, RemainingMillis: 12_000},
		candidates(loads...))
	is.True(ok)
	is.True(plan.InterferenceMillis > 0) // no engine is free of harm
	is.True(plan.Primary >= 2)
	for _, h := range plan.Helpers {
		is.True(h >= 2)
	}
}

// Pattern: the same. Guards against a long prompt that starts at once although
// it makes pauses too long, while engines become free within its time; and
// against one that waits for ever, or for nothing.
func TestLongPromptWaitsForAPlanWithoutHarm(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	harmful, harmless := Plan{FirstToken: 800e6, InterferenceMillis: 800}, Plan{FirstToken: 800e6}
	is.True(!e.AcceptsPlan(review(), harmful, 16, 0))
	is.True(e.AcceptsPlan(review(), harmless, 16, 0))
	is.True(e.AcceptsPlan(review(), harmful, 16, harmlessShare))
	is.True(e.AcceptsPlan(short(), harmful, 16, 0)) // short prompts do not wait for it
}

// Pattern: after a burst of quotes at four gateways, each of which prefers a
// quarter of the 16 engines, 11 quotes a second go on and a burst of reviews
// begins. Guards against short answers that stay on all engines which the
// burst has opened: none was left to read the reviews without harm.
func TestQuotesLeaveEnginesAfterTheirBurst(t *testing.T) {
	const (
		gateways       = 4
		engines        = 16
		opened         = 12 // by the burst, with six answers each
		answers        = 24 // in progress afterwards: 11 a second for 2.2 s
		rounds         = 400
		maxWithAnswers = 5 // one each that its gateway prefers, and one more
		answerTokens   = 6700
	)
	is := is.New(t)
	e, chooser := testEngine(), new(Chooser)
	loads := make([]Load, engines)
	var inProgress []int // engines of the answers, oldest first
	for i := range 6 * opened {
		inProgress = append(inProgress, i%opened)
		loads[i%opened] = loads[i%opened].Add(Load{Decoding: 1, ContextTokens: answerTokens, EventGapMillis: 250})
	}
	for round := range rounds {
		all := candidates(loads...)
		for i := range all {
			all[i].Preferred = i%gateways == round%gateways
		}
		plan, ok := chooser.Choose(e, short(), all)
		is.True(ok)
		inProgress = append(inProgress, plan.Primary)
		loads[plan.Primary] = loads[plan.Primary].Add(Load{Decoding: 1, ContextTokens: answerTokens, EventGapMillis: 250})
		for range min(2, len(inProgress)-answers) {
			ended := inProgress[0]
			inProgress = inProgress[1:]
			loads[ended].Decoding--
			loads[ended].ContextTokens -= answerTokens
			if loads[ended].Decoding == 0 {
				loads[ended] = Load{}
			}
		}
	}
	withAnswers := 0
	for _, l := range loads {
		if l.Decoding > 0 {
			withAnswers++
		}
	}
	if withAnswers > maxWithAnswers {
		t.Fatalf("%d of %d engines have short answers: %+v", withAnswers, engines, loads)
	}
}

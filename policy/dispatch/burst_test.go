package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against short answers that stay spread over as many engines as there
// are gateways: the next one has to go to the engine with the most answers, so
// that engines with few answers become free for prefill.
func TestShortAnswerJoinsFullerEngine(t *testing.T) {
	is := is.New(t)
	few := Load{Decoding: 2, ReservedTokens: 12_000, EventGapLimitMillis: 250}
	many := Load{Decoding: 11, ReservedTokens: 66_000, EventGapLimitMillis: 250}
	plan, ok := new(Chooser).Choose(testEngine(), shortPrompt(), candidates(few, many, few))
	is.True(ok)
	is.Equal(plan.Primary, 1)
}

// Guards against short answers that miss their latency target because their
// engine was chosen only for its many answers.
func TestShortAnswerAvoidsBusyEngine(t *testing.T) {
	is := is.New(t)
	few := Load{Decoding: 2, ReservedTokens: 12_000, EventGapLimitMillis: 250}
	many := Load{Decoding: 11, ReservedTokens: 66_000, EventGapLimitMillis: 250, Prefilling: 4, Prefill: PromptPrefill(5000).Scale(4)}
	plan, ok := new(Chooser).Choose(testEngine(), shortPrompt(), candidates(few, many, few))
	is.True(ok)
	is.True(plan.Primary != 1)
}

// Guards against a shard of 1.5 s on an engine with eight short answers while
// other engines have one answer with a long event gap limit. It occurs when
// long prompts arrive while all engines are decoding. The callers of the short
// answers disconnect after 2.5 s without an event.
func TestHelpersCauseLeastInterference(t *testing.T) {
	is := is.New(t)
	shortAnswers := Load{Decoding: 8, ReservedTokens: 50_000, EventGapLimitMillis: 250}
	longAnswer := Load{Decoding: 1, ReservedTokens: 60_000, EventGapLimitMillis: 600, Prefill: PromptPrefill(80_000)}
	loads := []Load{shortAnswers, shortAnswers, longAnswer, longAnswer, longAnswer}
	plan, ok := new(Chooser).Choose(testEngine(), Prompt{Tokens: 182_000, AnswerTokens: 840, TargetMillis: 3000, EventGapLimitMillis: 1000, RemainingMillis: 12_000},
		candidates(loads...))
	is.True(ok)
	is.True(plan.InterferenceMillis > 0) // every engine has answers with a limit
	is.True(plan.Primary >= 2)
	for _, h := range plan.Helpers {
		is.True(h >= 2)
	}
}

// Guards against a long prompt that starts at once with interference although
// engines may become free while it waits, against one that waits longer than
// interferenceWaitShare for such an engine, and against one that waits although
// its plan has no interference.
func TestLongPromptWaitsForPlanWithoutInterference(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	interfering, nonInterfering := Plan{FirstToken: 800e6, InterferenceMillis: 800}, Plan{FirstToken: 800e6}
	is.True(!e.AcceptsPlan(longPrompt(), interfering, 16, 0))
	is.True(e.AcceptsPlan(longPrompt(), nonInterfering, 16, 0))
	is.True(e.AcceptsPlan(longPrompt(), interfering, 16, interferenceWaitShare))
	is.True(e.AcceptsPlan(shortPrompt(), interfering, 16, 0)) // short prompts do not wait
}

// Guards against short answers that stay on all engines after a burst of short
// prompts, so that no engine can prefill a following burst of long prompts
// without interference. After the burst, 12 of the 16 engines have answers, and
// four gateways, each of which prefers a quarter of the engines, go on to send
// 11 short prompts a second in total.
func TestShortAnswersFreeEnginesAfterBurst(t *testing.T) {
	const (
		gateways       = 4
		engines        = 16
		burstEngines   = 12 // engines with six answers each after the burst
		answers        = 24 // in flight afterwards: 11 prompts/s * 2.2 s per answer
		rounds         = 400
		maxWithAnswers = 5 // one preferred engine of each gateway, and one more
		reservedTokens = 6700
	)
	is := is.New(t)
	e, chooser := testEngine(), new(Chooser)
	loads := make([]Load, engines)
	var inFlight []int // engine of each answer, oldest first
	for i := range 6 * burstEngines {
		inFlight = append(inFlight, i%burstEngines)
		loads[i%burstEngines] = loads[i%burstEngines].Add(Load{Decoding: 1, ReservedTokens: reservedTokens, EventGapLimitMillis: 250})
	}
	for round := range rounds {
		all := candidates(loads...)
		for i := range all {
			all[i].Preferred = i%gateways == round%gateways
		}
		plan, ok := chooser.Choose(e, shortPrompt(), all)
		is.True(ok)
		inFlight = append(inFlight, plan.Primary)
		loads[plan.Primary] = loads[plan.Primary].Add(Load{Decoding: 1, ReservedTokens: reservedTokens, EventGapLimitMillis: 250})
		for range min(2, len(inFlight)-answers) { // at most two answers end for each new one
			finished := inFlight[0]
			inFlight = inFlight[1:]
			loads[finished].Decoding--
			loads[finished].ReservedTokens -= reservedTokens
			if loads[finished].Decoding == 0 {
				loads[finished] = Load{}
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

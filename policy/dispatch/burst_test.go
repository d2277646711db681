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
	few := Load{Writers: 2, Context: 12_000, GapMillis: 250}
	many := Load{Writers: 11, Context: 66_000, GapMillis: 250}
	plan, ok := new(Chooser).Choose(testEngine(), short(), candidates(few, many, few))
	is.True(ok)
	is.Equal(plan.First, 1)
}

// Guards against quotes that miss their latency target because their engine
// was chosen for its many answers alone.
func TestShortAnswerLeavesABusyEngine(t *testing.T) {
	is := is.New(t)
	few := Load{Writers: 2, Context: 12_000, GapMillis: 250}
	many := Load{Writers: 11, Context: 66_000, GapMillis: 250, Waiting: 4, Reading: PromptWork(5000).Scale(4)}
	plan, ok := new(Chooser).Choose(testEngine(), short(), candidates(few, many, few))
	is.True(ok)
	is.True(plan.First != 1)
}

// Pattern: reviews arrive while all engines have answers in progress. Guards
// against a part of 1.5 s at an engine with eight quotes while others have one
// answer that allows long pauses: callers of quotes left after 2.5 s of
// silence.
func TestHelpersWithTheLeastHarm(t *testing.T) {
	is := is.New(t)
	quotes := Load{Writers: 8, Context: 50_000, GapMillis: 250}
	one := Load{Writers: 1, Context: 60_000, GapMillis: 600, Reading: PromptWork(80_000)}
	loads := []Load{quotes, quotes, one, one, one}
	plan, ok := new(Chooser).Choose(testEngine(), Prompt{Tokens: 182_000, Answer: 840, TargetMillis: 3000, GapMillis: 1000, LeftMillis: 12_000},
		candidates(loads...))
	is.True(ok)
	is.True(plan.Harm > 0) // no engine is free of harm
	is.True(plan.First >= 2)
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
	harmful, harmless := Plan{FirstToken: 800e6, Harm: 800}, Plan{FirstToken: 800e6}
	is.True(!e.Accepts(review(), harmful, 16, 0))
	is.True(e.Accepts(review(), harmless, 16, 0))
	is.True(e.Accepts(review(), harmful, 16, harmlessShare))
	is.True(e.Accepts(short(), harmful, 16, 0)) // short prompts do not wait for it
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
		loads[i%opened] = loads[i%opened].Add(Load{Writers: 1, Context: answerTokens, GapMillis: 250})
	}
	for round := range rounds {
		all := candidates(loads...)
		for i := range all {
			all[i].Home = i%gateways == round%gateways
		}
		plan, ok := chooser.Choose(e, short(), all)
		is.True(ok)
		inProgress = append(inProgress, plan.First)
		loads[plan.First] = loads[plan.First].Add(Load{Writers: 1, Context: answerTokens, GapMillis: 250})
		for range min(2, len(inProgress)-answers) {
			ended := inProgress[0]
			inProgress = inProgress[1:]
			loads[ended].Writers--
			loads[ended].Context -= answerTokens
			if loads[ended].Writers == 0 {
				loads[ended] = Load{}
			}
		}
	}
	withAnswers := 0
	for _, l := range loads {
		if l.Writers > 0 {
			withAnswers++
		}
	}
	if withAnswers > maxWithAnswers {
		t.Fatalf("%d of %d engines have short answers: %+v", withAnswers, engines, loads)
	}
}

package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testEngine is the engine of the users' smaller deployments.
func testEngine() *Engine {
	return &Engine{Slots: 16, MemoryTokens: 315_000, ChunkTokens: 2048, StepsPerPass: 51, StepMillis: 0.85, StepMillisPerSequence: 0.00425,
		StepMillisPerKContext: 0.00285, PrefillTokensPerMilli: 177, PairMillisPerMillion: 0.184, HelperHopMillis: 0.05}
}

func short() Prompt {
	return Prompt{Tokens: 5000, AnswerTokens: 1700, TargetMillis: 300, EventGapMillis: 250, RemainingMillis: 10_000}
}

func review() Prompt {
	return Prompt{Tokens: 154_000, AnswerTokens: 840, TargetMillis: 3000, EventGapMillis: 1000, RemainingMillis: 15_000}
}

func candidates(loads ...Load) []Candidate {
	out := make([]Candidate, len(loads))
	for i, l := range loads {
		out[i] = Candidate{Index: i, Load: l, Local: true, Preferred: true}
	}
	return out
}

// Guards against short answers on all engines, which leaves none that can read
// a long prompt without stretching their pauses.
func TestShortAnswersStayTogether(t *testing.T) {
	is := is.New(t)
	writing := Load{Decoding: 6, ContextTokens: 40_000, EventGapMillis: 250}
	plan, ok := new(Chooser).Choose(testEngine(), short(), candidates(Load{}, writing, Load{}))
	is.True(ok)
	is.Equal(plan.Primary, 1)
}

// Guards against parts of a long prompt on engines whose short answers would
// pause for longer than their callers allow (seen as late quotes in bursts of
// reviews).
func TestLongPromptSparesShortAnswers(t *testing.T) {
	is := is.New(t)
	writing := Load{Decoding: 8, ContextTokens: 50_000, EventGapMillis: 250}
	loads := []Load{writing, writing, writing, {}, {}, {}, {}}
	plan, ok := new(Chooser).Choose(testEngine(), review(), candidates(loads...))
	is.True(ok)
	is.True(plan.Primary >= 3)
	for _, h := range plan.Helpers {
		is.True(h >= 3)
	}
	is.True(len(plan.Helpers) > 0) // one engine alone takes 3 s
	is.True(plan.FirstToken < 3*time.Second)
}

// Guards against a choice without slot or memory.
func TestNoEngineWithRoom(t *testing.T) {
	is := is.New(t)
	full := Load{Decoding: 16, ContextTokens: 80_000, EventGapMillis: 250}
	_, ok := new(Chooser).Choose(testEngine(), short(), candidates(full, full))
	is.True(!ok)
}

// Guards against the refusal of prompts that no engine can store alone.
func TestPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	p := Prompt{Tokens: 520_000, AnswerTokens: 900, TargetMillis: 3000, EventGapMillis: 1000, RemainingMillis: 15_000}
	plan, ok := new(Chooser).Choose(testEngine(), p, candidates(make([]Load, 12)...))
	is.True(ok)
	is.Equal(len(plan.HelperTokens), len(plan.Helpers))
	held := 0
	for _, tokens := range plan.HelperTokens {
		held += tokens
		is.True(tokens <= testEngine().MemoryTokens-memoryMarginTokens)
	}
	is.True(p.Tokens+p.AnswerTokens-held <= testEngine().MemoryTokens-memoryMarginTokens)
}

// Guards against plans that overfill an engine, name one twice or store less
// than the prompt.
func TestPlansFitTheirEngines(t *testing.T) {
	e := testEngine()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "engines")
		loads := make([]Load, n)
		for i := range loads {
			loads[i] = Load{Decoding: rapid.IntRange(0, 17).Draw(t, "writers"), ContextTokens: rapid.IntRange(0, e.MemoryTokens).Draw(t, "context"),
				Helping: rapid.IntRange(0, 3).Draw(t, "helping"), Prefill: PrefillWork{Tokens: rapid.Float64Range(0, 50_000).Draw(t, "reading")},
				EventGapMillis: rapid.SampledFrom([]float64{0, 250, 600, 1000}).Draw(t, "gap")}
		}
		p := Prompt{Tokens: rapid.IntRange(1, 700_000).Draw(t, "tokens"), AnswerTokens: rapid.IntRange(1, 4000).Draw(t, "answer"),
			TargetMillis: 300, EventGapMillis: 250, RemainingMillis: 10_000}
		plan, ok := new(Chooser).Choose(e, p, candidates(loads...))
		if !ok {
			return
		}
		seen := map[int]bool{plan.Primary: true}
		rest := p.Tokens + p.AnswerTokens
		for i, h := range plan.Helpers {
			if seen[h] {
				t.Fatalf("engine %d is named twice", h)
			}
			seen[h] = true
			if plan.HelperTokens != nil {
				rest -= plan.HelperTokens[i]
				if plan.HelperTokens[i] > 0 && loads[h].ContextTokens+plan.HelperTokens[i] > e.MemoryTokens {
					t.Fatalf("helper %d stores %d tokens beside %d", h, plan.HelperTokens[i], loads[h].ContextTokens)
				}
			}
		}
		if first := loads[plan.Primary]; first.Decoding+first.Prefilling >= e.Slots || first.ContextTokens+rest > e.MemoryTokens {
			t.Fatalf("the first engine has no room: %+v, %d tokens", first, rest)
		}
		if len(plan.Helpers) > MaxHelpers {
			t.Fatalf("%d helpers", len(plan.Helpers))
		}
	})
}

// Pattern: a burst of reviews (x2.7) with a prompt of over 500,000 tokens at
// its start. Guards against the one prompt that makes a dozen others late.
func TestHugePromptWaitsForCalmEngines(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	huge := Prompt{Tokens: 521_000, TargetMillis: 3000}
	var calm, busy Utilization
	reading := candidates(make([]Load, 16)...)
	for i := range reading[:10] {
		reading[i].Load.Prefill = PromptPrefill(50_000)
	}
	for range 500 {
		calm.Observe(candidates(make([]Load, 16)...))
		busy.Observe(reading)
	}
	is.Equal(calm.CheckRefusal(e, huge, reading), nil)
	is.True(busy.CheckRefusal(e, huge, reading) != nil)
	is.Equal(busy.CheckRefusal(e, review(), reading), nil)
	is.Equal(busy.CheckRefusal(e, short(), reading), nil)
	fleet := candidates(make([]Load, 78)...)
	for i := range fleet {
		fleet[i].Load.Prefill = PromptPrefill(50_000)
	}
	is.Equal(busy.CheckRefusal(e, Prompt{Tokens: 330_000, TargetMillis: 3000}, fleet), nil) // a large fleet reads it in time
}

// Pattern: the last prompt of over 300,000 tokens of a burst of reviews comes
// back when the burst has just ended. Guards against its second and last
// refusal while the engines have little to read.
func TestHugePromptIsTakenInALull(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	huge := Prompt{Tokens: 335_000, TargetMillis: 3000}
	engines := candidates(make([]Load, 16)...)
	for i := range engines[:10] {
		engines[i].Load.Prefill = PromptPrefill(50_000)
	}
	var demand Utilization
	for range 100 {
		demand.Observe(engines)
	}
	is.True(demand.CheckRefusal(e, huge, engines) != nil)
	for i := range engines[:8] { // two still read
		engines[i].Load.Prefill = PrefillWork{}
	}
	is.Equal(demand.CheckRefusal(e, huge, engines), nil)
}

// Pattern: reviews arrive faster than the engines read them. Guards against
// queues inside the engines, where their order can no longer be changed, and
// against waiting quotes.
func TestLongPromptsWaitHere(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	is.True(e.MayStart(review(), 500, 0))
	is.True(!e.MayStart(review(), 3000, 0))
	is.True(e.MayStart(review(), 2000, 1)) // it has waited as long as it may
	is.True(!e.MayStart(review(), 700, 0))
	is.True(e.MayStart(Prompt{Tokens: 60_000, TargetMillis: 1500}, 700, 0)) // a moderate one goes first
	is.True(e.MayStart(short(), 3000, 0))
	large := Prompt{Tokens: 23_800, TargetMillis: 300, EventGapMillis: 250}
	is.True(e.MayStart(large, 3000, 0)) // a quote waited 1.9 s
}

// Guards against plans that ask an engine for help that helps as many others
// as it can; it refuses them.
func TestEngineHelpsBoundedly(t *testing.T) {
	is := is.New(t)
	loads := make([]Load, 6)
	loads[2].Helping, loads[3].Helping = 16, 16
	plan, ok := new(Chooser).Choose(testEngine(), review(), candidates(loads...))
	is.True(ok)
	is.True(len(plan.Helpers) > 0)
	for _, i := range plan.Helpers {
		is.True(i != 2 && i != 3)
	}
}

func TestBoardCountsWork(t *testing.T) {
	is := is.New(t)
	b, now := NewLoadTracker(), time.Unix(100, 0)
	j := b.Start("a", []string{"b"}, []int{4000}, Prompt{Tokens: 10_000, AnswerTokens: 500, EventGapMillis: 250}, 100*time.Millisecond, now)
	is.Equal(b.Load("a", now).Prefilling, 1)
	is.Equal(b.Load("a", now).ContextTokens, 6500)
	is.Equal(b.Load("b", now).ContextTokens, 4000)
	is.Equal(b.Load("b", now).Helping, 1)
	is.Equal(b.Load("b", now).Prefill.Tokens, 5000.0)
	is.Equal(b.Load("b", now.Add(50*time.Millisecond)).Prefill.Tokens, 2500.0)
	j.RecordFirstToken()
	is.Equal(b.Load("a", now), Load{Decoding: 1, ContextTokens: 6500, EventGapMillis: 250})
	j.End()
	j.End()
	is.Equal(b.Load("a", now), Load{})
	is.Equal(b.Load("b", now), Load{})
}

// Guards against the load of a dead peer, and against partial messages that
// erase the rest.
func TestBoardPeers(t *testing.T) {
	is := is.New(t)
	b, now := NewLoadTracker(), time.Unix(100, 0)
	b.SetPeer("p", map[string]Load{"a": {Decoding: 2, EventGapMillis: 600}, "b": {Decoding: 1}}, true, now)
	b.SetPeer("p", map[string]Load{"b": {}}, false, now)
	is.Equal(b.Load("a", now).Decoding, 2)
	is.Equal(b.Load("a", now).EventGapMillis, 600.0)
	is.Equal(b.Load("b", now).Decoding, 0)
	b.SetPeer("q", map[string]Load{"a": {Decoding: 1, EventGapMillis: 250}}, true, now)
	is.Equal(b.Load("a", now), Load{Decoding: 3, EventGapMillis: 250})
	b.SetPeer("q", map[string]Load{"c": {Prefilling: 1}}, true, now.Add(time.Second))
	is.Equal(b.Load("a", now), Load{Decoding: 2, EventGapMillis: 600})
	b.Expire(now.Add(peerLifetime + 2*peerLifetimeEach + time.Millisecond))
	is.Equal(b.Load("a", now).Decoding, 0)
	is.Equal(b.Load("c", now).Prefilling, 1)
}

// Guards against engines that seem full of the work of a gateway that was
// killed, and against a process that forgets all peers because it stood still
// itself.
func TestBoardForgetsSilentPeersOnly(t *testing.T) {
	is := is.New(t)
	b, now := NewLoadTracker(), time.Unix(100, 0)
	is.True(b.SetPeer("p", map[string]Load{"a": {Decoding: 16}}, true, now))
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		b.Expire(now)
	}
	is.Equal(b.Load("a", now).Decoding, 16)
	now = now.Add(100 * time.Millisecond)
	b.Expire(now)
	is.Equal(b.Load("a", now).Decoding, 0)

	is.True(!b.SetPeer("p", map[string]Load{"a": {Decoding: 3}}, false, now)) // more may be unknown
	is.True(b.SetPeer("p", map[string]Load{"a": {Decoding: 4}}, true, now))
	now = now.Add(3 * time.Second) // this process stood still
	b.Expire(now)
	is.Equal(b.Load("a", now).Decoding, 4)
}

// Guards against peers of a large installation that are forgotten between two
// of their datagrams, which are 0.5 ms for each peer apart.
func TestPeersOfALargeInstallationLiveLonger(t *testing.T) {
	is := is.New(t)
	b, now := NewLoadTracker(), time.Unix(100, 0)
	for i := range 800 {
		b.SetPeer(string(rune('a'+i)), map[string]Load{"a": {Decoding: 1}}, true, now)
	}
	for range 12 { // three datagrams are lost
		now = now.Add(100 * time.Millisecond)
		b.Expire(now)
	}
	is.Equal(b.Load("a", now).Decoding, 800)
}

func BenchmarkChoose(b *testing.B) {
	e := testEngine()
	loads := make([]Load, 78)
	for i := range loads {
		loads[i] = Load{Decoding: i % 16, ContextTokens: 4000 * (i % 16), EventGapMillis: 250}
	}
	all := candidates(loads...)
	chooser := new(Chooser)
	b.ReportAllocs()
	for b.Loop() {
		chooser.Choose(e, review(), all)
	}
}

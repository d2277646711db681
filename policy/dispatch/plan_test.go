package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testEngine returns an engine with 16 slots and memory for 315,000 tokens. It
// prefills a short prompt in 31 ms and a long one in 3 s.
func testEngine() *Engine {
	return &Engine{Slots: 16, MemoryTokens: 315_000, ChunkTokens: 2048, StepsPerPass: 51, StepMillis: 0.85, StepMillisPerSequence: 0.00425,
		StepMillisPerThousandContextTokens: 0.00285, PrefillTokensPerMilli: 177, PairMillisPerMillion: 0.184, HelperStepMillis: 0.05}
}

func shortPrompt() Prompt {
	return Prompt{Tokens: 5000, AnswerTokens: 1700, TargetMillis: 300, EventGapMillis: 250, RemainingMillis: 10_000}
}

func longPrompt() Prompt {
	return Prompt{Tokens: 154_000, AnswerTokens: 840, TargetMillis: 3000, EventGapMillis: 1000, RemainingMillis: 15_000}
}

func candidates(loads ...Load) []Candidate {
	out := make([]Candidate, len(loads))
	for i, l := range loads {
		out[i] = Candidate{Index: i, Load: l, Local: true, Preferred: true}
	}
	return out
}

// Guards against spreading the answers of short prompts over all engines, so that
// a long prompt on any engine exceeds the event gap limit of some answer.
func TestShortPromptsShareEngines(t *testing.T) {
	is := is.New(t)
	decoding := Load{Decoding: 6, ContextTokens: 40_000, EventGapMillis: 250}
	plan, ok := new(Chooser).Choose(testEngine(), shortPrompt(), candidates(Load{}, decoding, Load{}))
	is.True(ok)
	is.Equal(plan.Primary, 1)
}

// Guards against shards of a long prompt on engines that generate the answers of
// short prompts: the shards make these answers exceed their event gap limits. In
// bursts of long prompts such answers are late.
func TestLongPromptAvoidsEnginesOfShortPrompts(t *testing.T) {
	is := is.New(t)
	decoding := Load{Decoding: 8, ContextTokens: 50_000, EventGapMillis: 250}
	loads := []Load{decoding, decoding, decoding, {}, {}, {}, {}}
	plan, ok := new(Chooser).Choose(testEngine(), longPrompt(), candidates(loads...))
	is.True(ok)
	is.True(plan.Primary >= 3)
	for _, h := range plan.Helpers {
		is.True(h >= 3)
	}
	is.True(len(plan.Helpers) > 0) // one engine alone takes 3 s
	is.True(plan.FirstToken < 3*time.Second)
}

// Guards against a plan for an engine without a free slot or memory.
func TestNoEngineHasCapacity(t *testing.T) {
	is := is.New(t)
	full := Load{Decoding: 16, ContextTokens: 80_000, EventGapMillis: 250}
	_, ok := new(Chooser).Choose(testEngine(), shortPrompt(), candidates(full, full))
	is.True(!ok)
}

// Guards against the refusal of prompts that no engine can store alone.
func TestPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	p := Prompt{Tokens: 520_000, AnswerTokens: 900, TargetMillis: 3000, EventGapMillis: 1000, RemainingMillis: 15_000}
	plan, ok := new(Chooser).Choose(testEngine(), p, candidates(make([]Load, 12)...))
	is.True(ok)
	is.Equal(len(plan.HelperTokens), len(plan.Helpers))
	helperTokens := 0
	for _, tokens := range plan.HelperTokens {
		helperTokens += tokens
		is.True(tokens <= testEngine().MemoryTokens-memoryMarginTokens)
	}
	is.True(p.Tokens+p.AnswerTokens-helperTokens <= testEngine().MemoryTokens-memoryMarginTokens)
}

// Guards against plans that exceed the slots or the memory of an engine, choose
// an engine twice, or reserve less memory than prompt and answer need.
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
		remaining := p.Tokens + p.AnswerTokens
		for i, h := range plan.Helpers {
			if seen[h] {
				t.Fatalf("engine %d is chosen twice", h)
			}
			seen[h] = true
			if plan.HelperTokens != nil {
				remaining -= plan.HelperTokens[i]
				if plan.HelperTokens[i] > 0 && loads[h].ContextTokens+plan.HelperTokens[i] > e.MemoryTokens {
					t.Fatalf("helper %d has no memory for %d tokens beside %d", h, plan.HelperTokens[i], loads[h].ContextTokens)
				}
			}
		}
		if primary := loads[plan.Primary]; primary.Decoding+primary.Prefilling >= e.Slots || primary.ContextTokens+remaining > e.MemoryTokens {
			t.Fatalf("the primary engine with load %+v has no free slot or no memory for %d tokens", primary, remaining)
		}
		if len(plan.Helpers) > MaxHelpers {
			t.Fatalf("the plan has %d helpers, more than MaxHelpers", len(plan.Helpers))
		}
	})
}

// Guards against one prompt of over 500,000 tokens that makes a dozen other
// requests late. It occurs when such a prompt arrives at the start of a burst
// of long prompts at 2.7 times their usual rate.
func TestOversizedPromptIsRefusedUnderLoad(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	oversized := Prompt{Tokens: 521_000, TargetMillis: 3000}
	var idle, busy Utilization
	busyEngines := candidates(make([]Load, 16)...)
	for i := range busyEngines[:10] {
		busyEngines[i].Load.Prefill = PromptPrefill(50_000)
	}
	for range 500 { // long enough for the mean to settle
		idle.Observe(candidates(make([]Load, 16)...))
		busy.Observe(busyEngines)
	}
	is.Equal(idle.CheckRefusal(e, oversized, busyEngines), nil)
	is.True(busy.CheckRefusal(e, oversized, busyEngines) != nil) // 10 of 16 engines are busy, a share above peakShare
	is.Equal(busy.CheckRefusal(e, longPrompt(), busyEngines), nil)
	is.Equal(busy.CheckRefusal(e, shortPrompt(), busyEngines), nil)
	fleet := candidates(make([]Load, 78)...)
	for i := range fleet {
		fleet[i].Load.Prefill = PromptPrefill(50_000)
	}
	is.Equal(busy.CheckRefusal(e, Prompt{Tokens: 330_000, TargetMillis: 3000}, fleet), nil) // a large fleet prefills it in time
}

// Guards against refusing also the retry of an oversized prompt, which is not
// retried again, while the engines have little pending prefill. It occurs when a
// prompt of over 300,000 tokens is retried just after the end of a burst of long
// prompts.
func TestOversizedPromptIsAdmittedAtLowLoad(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	oversized := Prompt{Tokens: 335_000, TargetMillis: 3000}
	engines := candidates(make([]Load, 16)...)
	for i := range engines[:10] {
		engines[i].Load.Prefill = PromptPrefill(50_000)
	}
	var utilization Utilization
	for range 100 { // long enough for the mean to settle
		utilization.Observe(engines)
	}
	is.True(utilization.CheckRefusal(e, oversized, engines) != nil)
	for i := range engines[:8] { // 2 of 16 engines still have pending prefill, below lowLoadShare
		engines[i].Load.Prefill = PrefillWork{}
	}
	is.Equal(utilization.CheckRefusal(e, oversized, engines), nil)
}

// Guards against queues inside the engines, where the order of requests can no
// longer be changed, when long prompts arrive faster than the engines prefill
// them; and against short prompts that wait too.
func TestLongPromptsWaitForBacklog(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	is.True(e.MayStart(longPrompt(), 500, 0)) // a backlog of 500 ms, no waiting time passed
	is.True(!e.MayStart(longPrompt(), 3000, 0))
	is.True(e.MayStart(longPrompt(), 2000, 1)) // all of its waiting time has passed
	is.True(!e.MayStart(longPrompt(), 700, 0))
	is.True(e.MayStart(Prompt{Tokens: 60_000, TargetMillis: 1500}, 700, 0)) // a prompt with a target of 1.5 s has a higher limit than a long one
	is.True(e.MayStart(shortPrompt(), 3000, 0))
	large := Prompt{Tokens: 23_800, TargetMillis: 300, EventGapMillis: 250}
	is.True(e.MayStart(large, 3000, 0)) // a larger short prompt must not wait either; one waited 1.9 s for the backlog
}

// Guards against plans with a helper that already has the maximum number of
// shards: it refuses the request.
func TestHelperShardsAreBounded(t *testing.T) {
	is := is.New(t)
	loads := make([]Load, 6)
	loads[2].Helping, loads[3].Helping = 16, 16 // above maxHelperShards
	plan, ok := new(Chooser).Choose(testEngine(), longPrompt(), candidates(loads...))
	is.True(ok)
	is.True(len(plan.Helpers) > 0)
	for _, i := range plan.Helpers {
		is.True(i != 2 && i != 3)
	}
}

func TestLoadTrackerCountsOwnRequests(t *testing.T) {
	// Guards against load that remains after the end of a request or is subtracted
	// twice, and against memory of helpers that is counted at the primary engine.
	is := is.New(t)
	tracker, now := NewLoadTracker(), time.Unix(100, 0)
	j := tracker.Start("a", []string{"b"}, []int{4000}, Prompt{Tokens: 10_000, AnswerTokens: 500, EventGapMillis: 250}, 100*time.Millisecond, now)
	is.Equal(tracker.Load("a", now).Prefilling, 1)
	is.Equal(tracker.Load("a", now).ContextTokens, 6500) // prompt and answer less the 4,000 tokens on b
	is.Equal(tracker.Load("b", now).ContextTokens, 4000)
	is.Equal(tracker.Load("b", now).Helping, 1)
	is.Equal(tracker.Load("b", now).Prefill.Tokens, 5000.0)                          // half of the prompt
	is.Equal(tracker.Load("b", now.Add(50*time.Millisecond)).Prefill.Tokens, 2500.0) // after half of the expected time
	j.RecordFirstToken()
	is.Equal(tracker.Load("a", now), Load{Decoding: 1, ContextTokens: 6500, EventGapMillis: 250})
	j.End()
	j.End() // has no effect
	is.Equal(tracker.Load("a", now), Load{})
	is.Equal(tracker.Load("b", now), Load{})
}

// Guards against load of a failed peer that is still counted, and against
// partial updates that erase the rest of a peer's load.
func TestLoadTrackerCountsPeers(t *testing.T) {
	is := is.New(t)
	tracker, now := NewLoadTracker(), time.Unix(100, 0)
	tracker.SetPeer("p", map[string]Load{"a": {Decoding: 2, EventGapMillis: 600}, "b": {Decoding: 1}}, true, now)
	tracker.SetPeer("p", map[string]Load{"b": {}}, false, now)
	is.Equal(tracker.Load("a", now).Decoding, 2)
	is.Equal(tracker.Load("a", now).EventGapMillis, 600.0)
	is.Equal(tracker.Load("b", now).Decoding, 0)
	tracker.SetPeer("q", map[string]Load{"a": {Decoding: 1, EventGapMillis: 250}}, true, now)
	is.Equal(tracker.Load("a", now), Load{Decoding: 3, EventGapMillis: 250})
	tracker.SetPeer("q", map[string]Load{"c": {Prefilling: 1}}, true, now.Add(time.Second))
	is.Equal(tracker.Load("a", now), Load{Decoding: 2, EventGapMillis: 600})
	tracker.Expire(now.Add(peerLifetime + 2*peerLifetimePerPeer + time.Millisecond)) // p expires; q has sent 1 s later
	is.Equal(tracker.Load("a", now).Decoding, 0)
	is.Equal(tracker.Load("c", now).Prefilling, 1)
}

// Guards against engines that seem full because the requests of a failed gateway
// are still counted, and against a process that drops the load of all peers
// because it was paused itself.
func TestLoadTrackerExpiresUnresponsivePeersOnly(t *testing.T) {
	is := is.New(t)
	tracker, now := NewLoadTracker(), time.Unix(100, 0)
	is.True(tracker.SetPeer("p", map[string]Load{"a": {Decoding: 16}}, true, now))
	for range 5 { // 500 ms, just within the lifetime of 502 ms
		now = now.Add(100 * time.Millisecond)
		tracker.Expire(now)
	}
	is.Equal(tracker.Load("a", now).Decoding, 16)
	now = now.Add(100 * time.Millisecond)
	tracker.Expire(now)
	is.Equal(tracker.Load("a", now).Decoding, 0)

	is.True(!tracker.SetPeer("p", map[string]Load{"a": {Decoding: 3}}, false, now)) // p has expired, so a partial update is rejected
	is.True(tracker.SetPeer("p", map[string]Load{"a": {Decoding: 4}}, true, now))
	now = now.Add(3 * time.Second) // this process was paused
	tracker.Expire(now)
	is.Equal(tracker.Load("a", now).Decoding, 4)
}

// Guards against load of live peers that expires between two of their datagrams
// in a large installation. A peer sends one every 0.5 ms * number of peers,
// with 800 peers every 400 ms.
func TestPeerLifetimeGrowsWithPeers(t *testing.T) {
	is := is.New(t)
	tracker, now := NewLoadTracker(), time.Unix(100, 0)
	for i := range 800 {
		tracker.SetPeer(string(rune('a'+i)), map[string]Load{"a": {Decoding: 1}}, true, now)
	}
	for range 12 { // 1.2 s, in which three datagrams are lost
		now = now.Add(100 * time.Millisecond)
		tracker.Expire(now)
	}
	is.Equal(tracker.Load("a", now).Decoding, 800)
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
		chooser.Choose(e, longPrompt(), all)
	}
}

package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
)

// Guards against results that differ between equal runs, and against a policy
// that misses its targets at a load with peaks above the capacity or is hardly
// better than the naive baseline.
func TestPolicyMeetsTargetsAndIsDeterministic(t *testing.T) {
	is := is.New(t)
	s := Scenario{Seed: 1, Servers: 15, Length: 40 * time.Second, BaseLoad: 0.22, PeakFactor: 5, FailingShare: 0.125, Strategy: Policy}
	r, repeated := Run(s), Run(s)
	for b := range outcome.BandCount {
		is.True(r.FirstToken[b].Equals(repeated.FirstToken[b]))
	}
	is.Equal(r.UsefulTokens, repeated.UsefulTokens)
	is.True(float64(r.PeakInTime) >= 0.99*float64(r.PeakShort))
	is.Equal(r.Finished[outcome.Long], r.Arrived[outcome.Long])
	s.NoLong = true
	withoutLong := Run(s)
	p95 := func(r *Result) float64 { return float64(r.FirstToken[outcome.Short].ValueAtQuantile(95)) }
	is.True(p95(r) <= 1.10*p95(withoutLong))
	s.NoLong, s.Strategy = false, Naive
	is.True(p95(Run(s)) > 3*p95(r))
}

// Guards against an ideal fleet that ignores the time of decoding or the limit of
// memory. Either must lower the share of requests in time when it is the
// bottleneck, and the share must be 1 at low load.
func TestIdealShareCountsGenerationAndMemory(t *testing.T) {
	is := is.New(t)
	s := Scenario{Servers: 1, Length: time.Second}
	burst := func(n, tokens, answer int) []*request {
		var requests []*request
		for range n {
			requests = append(requests, &request{band: outcome.Short, tokens: tokens, answer: answer, atPeak: true, prefixGroup: -1})
		}
		return requests
	}
	is.Equal(idealInTimeShare(s, burst(4, 1_000, 10)), 1.0)
	is.True(idealInTimeShare(s, burst(60, 1_000, 10)) < 0.5) // the prefill takes 20 ms each, 1.2 s in total
	// 100 decoding sequences add 10 ms to each step of the later requests.
	generating := func(answer int) float64 {
		requests := burst(100, 1, answer)
		for range 40 {
			requests = append(requests, &request{arrival: 100 * time.Millisecond, band: outcome.Short, tokens: 1_000, answer: 1, atPeak: true, prefixGroup: -1})
		}
		return idealInTimeShare(s, requests)
	}
	is.True(generating(1) > generating(1_000))
	// The first request has memory reserved until its long answer ends.
	holding := func(answer int) float64 {
		first := &request{band: outcome.Short, tokens: 1, answer: answer, prefixGroup: -1}
		return idealInTimeShare(s, append([]*request{first}, burst(4, 1_000, 10)...))
	}
	is.True(holding(1_000) > holding(engineKVTokens-1_000))
}

// Guards against a load that differs from the scenario in its total, or in the
// share of its tokens that belong to long prompts.
func TestLongTokenShareOfTrace(t *testing.T) {
	is := is.New(t)
	s := Scenario{Seed: 1, Servers: 25, Length: 600 * time.Second, BaseLoad: 0.5, PeakFactor: 1, LongTokenShare: 0.5}
	long, all := 0, 0
	for _, r := range generateTrace(s) {
		all += r.tokens
		if r.tokens >= minLong {
			long += r.tokens
		}
	}
	share := float64(long) / float64(all)
	is.True(share > 0.45 && share < 0.55)
	load := float64(all) / (s.Length.Seconds() * float64(s.Servers*enginePrefill))
	is.True(load > 0.45 && load < 0.55)
}

package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
)

// Guards against figures that change from run to run, and against a policy
// that loses to the naive baseline or misses its targets on a small load.
func TestPolicyMeetsTargetsAndIsDeterministic(t *testing.T) {
	is := is.New(t)
	s := Scenario{Seed: 1, Servers: 15, Length: 40 * time.Second, Base: 0.22, Swing: 5, Failing: 0.125, Strategy: Policy}
	r, again := Run(s), Run(s)
	for b := range outcome.BandCount {
		is.True(r.FirstToken[b].Equals(again.FirstToken[b]))
	}
	is.Equal(r.Useful, again.Useful)
	is.True(float64(r.PeakInTime) >= 0.99*float64(r.PeakShort))
	is.Equal(r.Finished[outcome.Long], r.Arrived[outcome.Long])
	s.NoLong = true
	alone := Run(s)
	p95 := func(r *Result) float64 { return float64(r.FirstToken[outcome.Short].ValueAtQuantile(95)) }
	is.True(p95(r) <= 1.10*p95(alone))
	s.NoLong, s.Strategy = false, Naive
	is.True(p95(Run(s)) > 3*p95(r))
}

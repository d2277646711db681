package faults

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against faults that differ between two runs with the same seed.
func TestSeedRepeatsFaults(t *testing.T) {
	is := is.New(t)
	sequence := func(seed uint64) (out [64]Kind) {
		i := New()
		is.NoErr(i.Set(Plan{Seed: seed, Rules: []Rule{{Fault: Refuse, Probability: 0.5}}}, Refuse))
		for n := range out {
			out[n] = i.Choose("put", "k").Fault
		}
		return out
	}
	is.Equal(sequence(1), sequence(1))
	is.True(sequence(1) != sequence(2))
}

// Guards against rules that apply to calls that they do not match, and against
// plans with faults that the stand-in does not support.
func TestRuleCounts(t *testing.T) {
	is, i := is.New(t), New()
	is.NoErr(i.Set(Plan{Rules: []Rule{{Fault: Hold, Operation: "put", KeyPrefix: "a", Skip: 1, Count: 1}}}, Hold))
	var got []Kind
	for _, call := range [][2]string{{"put", "a1"}, {"get", "a1"}, {"put", "b"}, {"put", "a2"}, {"put", "a3"}} {
		got = append(got, i.Choose(call[0], call[1]).Fault)
	}
	is.Equal(got, []Kind{None, None, None, Hold, None})
	is.Equal(i.Injected(), map[Kind]int{Hold: 1})
	is.True(errors.Is(i.Set(Plan{Rules: []Rule{{Fault: Hold}}}, Refuse), ErrInvalidPlan))
	is.True(errors.Is(i.Set(Plan{Outage: Hold}, Hold), ErrInvalidPlan))
}

package choose

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func twoAgents() *Table {
	t := New(Config{})
	for _, vm := range []string{"a", "b"} {
		t.Upsert(Agent{VM: vm, DataCentre: "dc1", Models: []string{"m"}, KVTokens: 1_000_000, PrefillTokensPerSecond: 10_000})
	}
	return t
}

// Guards against choices that ignore queued work, sent work or failures.
func TestPickAvoidsLoadAndFailures(t *testing.T) {
	is := is.New(t)
	table := twoAgents()
	request := Request{Model: "m", Tokens: 1_000, DataCentre: "dc1"}
	table.Report(start, "a", Load{PrefillTokens: [outcome.BandCount]int{10_000, 0, 0}})
	vm, expected, ok := table.Pick(start, request)
	is.True(ok)
	is.Equal(vm, "b")
	is.Equal(expected, 100*time.Millisecond)
	table.Sent(start, "b", outcome.Short, 50_000)
	vm, _, _ = table.Pick(start, request)
	is.Equal(vm, "a")
	table.Failed(start, "a")
	vm, _, _ = table.Pick(start, request)
	is.Equal(vm, "b")
	table.SetUsable("b", false)
	vm, _, ok = table.Pick(start, request) // only the held one is left
	is.True(ok)
	is.Equal(vm, "a")
}

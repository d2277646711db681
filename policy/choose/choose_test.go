package choose

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

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
	is.Equal(expected, 100*time.Millisecond) // 1,000 tokens at 10,000 tokens/s
	table.AddSentWork(start, "b", outcome.Short, 50_000)
	vm, _, _ = table.Pick(start, request)
	is.Equal(vm, "a")
	table.RecordFailure(start, "a") // from here on it is in hold-down
	vm, _, _ = table.Pick(start, request)
	is.Equal(vm, "b")
	table.SetUsable("b", false)
	vm, _, ok = table.Pick(start, request) // only the agent in hold-down is left
	is.True(ok)
	is.Equal(vm, "a")
}

// Guards against errors of the indexes: if all agents are considered, Pick must
// agree with a direct search over a reference model of the same calls.
func TestPickMatchesDirectSearch(t *testing.T) {
	type reference struct {
		usable        bool
		holdDownUntil time.Time
		tokens        int           // work of the short band
		holdDown      time.Duration // after the next failure
	}
	rapid.Check(t, func(t *rapid.T) {
		table, now, agents := New(Config{MaxScanAll: 100}), start, map[string]*reference{}
		vms := []string{"a", "b", "c", "d", "e"}
		draw := func() string { return rapid.SampledFrom(vms).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"upsert": func(t *rapid.T) {
				vm := draw()
				table.Upsert(Agent{VM: vm, DataCentre: "dc", Models: []string{"m"}, KVTokens: 450_000, PrefillTokensPerSecond: 1_000})
				if agents[vm] == nil {
					agents[vm] = &reference{usable: true, holdDown: defaultHoldDown}
				}
			},
			"remove": func(t *rapid.T) { vm := draw(); table.Remove(vm); delete(agents, vm) },
			"usable": func(t *rapid.T) {
				vm, usable := draw(), rapid.Bool().Draw(t, "usable")
				table.SetUsable(vm, usable)
				if a := agents[vm]; a != nil {
					a.usable = usable
				}
			},
			"report": func(t *rapid.T) {
				vm, tokens := draw(), rapid.IntRange(0, 9_000).Draw(t, "tokens")
				table.Report(now, vm, Load{PrefillTokens: [outcome.BandCount]int{tokens, 50_000, 0}})
				if a := agents[vm]; a != nil {
					a.tokens = tokens
				}
			},
			"sent": func(t *rapid.T) {
				vm, tokens := draw(), rapid.IntRange(0, 9_000).Draw(t, "tokens")
				table.AddSentWork(now, vm, outcome.Short, tokens)
				if a := agents[vm]; a != nil {
					a.tokens += tokens
				}
			},
			"time": func(t *rapid.T) {
				seconds := rapid.IntRange(1, 4).Draw(t, "seconds")
				now = now.Add(time.Duration(seconds) * time.Second)
				for _, a := range agents {
					a.tokens = max(0, a.tokens-1_000*seconds) // 1,000 tokens/s
				}
			},
			"failed": func(t *rapid.T) {
				vm := draw()
				table.RecordFailure(now, vm)
				if a := agents[vm]; a != nil && !now.Before(a.holdDownUntil) {
					a.holdDownUntil = now.Add(a.holdDown)
					a.holdDown = min(2*a.holdDown, defaultMaxHoldDown)
				}
			},
			"": func(t *rapid.T) {
				vm, expected, ok := table.Pick(now, Request{Model: "m", Tokens: 1_000, DataCentre: "dc"})
				best, usable := time.Duration(-1), 0
				for _, a := range agents {
					wait := time.Duration(a.tokens+1_000) * time.Millisecond
					if a.usable {
						usable++
						if !now.Before(a.holdDownUntil) && (best < 0 || wait < best) {
							best = wait
						}
					}
				}
				switch {
				case ok != (usable > 0):
					t.Fatalf("Pick returned ok %v with %d usable agents", ok, usable)
				case ok && !agents[vm].usable:
					t.Fatalf("picked %s, which is not usable", vm)
				case best >= 0 && (expected-best).Abs() > time.Millisecond:
					t.Fatalf("expected time %v, direct search found %v", expected, best)
				}
			},
		})
	})
}

// Guards against entries that send requests with one key to different agents,
// against keys that are spread unevenly, and against keys that move between the
// other agents when one is removed.
func TestPickServiceIsStable(t *testing.T) {
	is := is.New(t)
	tables := []*Table{New(Config{Seed: 1}), New(Config{Seed: 2})}
	insertions := [][]string{{"a", "b", "c"}, {"c", "a", "b"}} // the order must not matter
	for i, table := range tables {
		for _, vm := range insertions[i] {
			table.Upsert(Agent{VM: vm, Service: "orders"})
		}
	}
	count, assigned := map[string]int{}, map[string]string{} // keys by agent, agent by key
	for i := range 3_000 {
		key := strconv.Itoa(i)
		vm, ok := tables[0].PickService(start, "orders", key)
		other, _ := tables[1].PickService(start, "orders", key)
		is.True(ok)
		is.Equal(vm, other)
		count[vm]++
		assigned[key] = vm
	}
	for _, n := range count {
		is.True(n > 900 && n < 1_100) // a third of the keys is 1,000
	}
	tables[0].Remove("b")
	for key, vm := range assigned {
		if current, _ := tables[0].PickService(start, "orders", key); vm != "b" {
			is.Equal(current, vm)
		}
	}
}

// Guards against cached prefixes that are ignored, and against a choice of an
// agent for its cached prefix although its queue takes longer than the prefix
// saves.
func TestCachedPrefixWithinBoundedLoad(t *testing.T) {
	is := is.New(t)
	table := twoAgents()
	table.CachedPrefixes("b", []uint64{7, 8})
	request := Request{Model: "m", Tokens: 4_000, DataCentre: "dc1", Prefixes: []uint64{7, 8, 9}}
	for range 10 {
		vm, expected, _ := table.Pick(start, request)
		is.Equal(vm, "b")
		is.Equal(expected, time.Duration(4_000-2*prefixBlockTokens)*100*time.Microsecond)
	}
	table.AddSentWork(start, "b", outcome.Short, 3_000) // more than the 2,048 cached tokens save
	vm, _, _ := table.Pick(start, request)
	is.Equal(vm, "a")
	table.CachedPrefixes("b", nil)
	is.Equal(len(table.prefixAgents), 0)
}

// Guards against a cached prefix that is ignored because a longer one is cached only
// by agents that cannot take the request: of another model, not usable or excluded.
func TestShorterCachedPrefix(t *testing.T) {
	for name, c := range map[string]struct {
		agent  Agent
		usable bool
		vm     string // excluded
	}{
		"other model": {Agent{VM: "c", Models: []string{"other"}}, true, ""},
		"not usable":  {Agent{VM: "c", Models: []string{"m"}}, false, ""},
		"excluded":    {Agent{VM: "c", Models: []string{"m"}}, true, "c"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := twoAgents()
			c.agent.DataCentre, c.agent.KVTokens, c.agent.PrefillTokensPerSecond = "dc1", 450_000, 10_000
			table.Upsert(c.agent)
			table.SetUsable("c", c.usable)
			table.CachedPrefixes("b", []uint64{7})
			table.CachedPrefixes("c", []uint64{7, 8})
			request := Request{Model: "m", Tokens: 4_000, DataCentre: "dc1", Prefixes: []uint64{7, 8},
				Exclude: func(vm string) bool { return vm == c.vm }}
			vm, expected, _ := table.Pick(start, request)
			is.Equal(vm, "b")
			is.Equal(expected, time.Duration(4_000-prefixBlockTokens)*100*time.Microsecond)
		})
	}
}

// Guards against short requests that wait for memory on an engine whose memory
// long requests have filled, and against requests that are refused because the
// only agent reports full memory.
func TestPickAvoidsFullMemoryForShort(t *testing.T) {
	is := is.New(t)
	table := twoAgents()
	table.Report(start, "a", Load{KVReserved: 995_000}) // of 1,000,000
	table.AddSentWork(start, "b", outcome.Short, 400)   // 40 ms, less than MemoryPenalty
	pick := func(band outcome.Band, tokens int) string {
		vm, _, ok := table.Pick(start, Request{Model: "m", Band: band, Tokens: tokens, DataCentre: "dc1"})
		is.True(ok)
		return vm
	}
	is.Equal(pick(outcome.Short, 1_000), "b")
	is.Equal(pick(outcome.Medium, 1_000), "a")
	table.AddSentWork(start, "b", outcome.Short, 200) // 60 ms in total, more than MemoryPenalty
	is.Equal(pick(outcome.Short, 1_000), "a")
	table.Remove("b")
	is.Equal(pick(outcome.Short, 1_000), "a")
}

// Guards against requests that queue at an engine that has become slow, and
// against requests that move between engines of equal speed because observed
// speeds differ a little.
func TestPickUsesObservedSlowness(t *testing.T) {
	is := is.New(t)
	table := twoAgents()
	request := Request{Model: "m", Tokens: 1_000, DataCentre: "dc1"}
	table.AddSentWork(start, "b", outcome.Short, 200) // expected times: 100 ms on a, 120 ms on b
	table.SetPrefillSpeed(start, "unknown", 1)        // no agent
	table.SetPrefillSpeed(start, "a", 8_000)          // ignored, as it is above slowSpeedShare; else a would take 125 ms
	table.SetPrefillSpeed(start, "b", 20_000)         // ignored, as it is above the stated speed
	vm, expected, _ := table.Pick(start, request)
	is.Equal(vm, "a")
	is.Equal(expected, 100*time.Millisecond)
	table.SetPrefillSpeed(start, "a", 5_000) // 200 ms
	vm, _, _ = table.Pick(start, request)
	is.Equal(vm, "b")
	table.SetPrefillSpeed(start, "a", 9_000) // recovered
	vm, _, _ = table.Pick(start, request)
	is.Equal(vm, "a")
}

package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
)

const (
	testAgents      = 1_200
	testDataCentres = 10
	testSpeed       = 40_000 // tokens/s
)

// loadedTable returns a table of n loaded agents with cached prefixes.
func loadedTable(n int, config Config) *Table {
	table := New(config)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		vm := fmt.Sprintf("vm-%04d", i)
		table.Upsert(Agent{VM: vm, DataCentre: fmt.Sprint("dc", i%testDataCentres), Models: []string{"m"}, KVTokens: 450_000,
			PrefillTokensPerSecond: testSpeed})
		table.Report(start, vm, Load{PrefillTokens: [outcome.BandCount]int{random.IntN(10_000), random.IntN(100_000), 0}})
		prefixes := make([]uint64, 40)
		for k := range prefixes {
			prefixes[k] = random.Uint64N(1_000)
		}
		table.CachedPrefixes(vm, prefixes)
	}
	return table
}

func benchmarkPick(b *testing.B, n int, config Config) {
	table := loadedTable(n, config)
	request := Request{Model: "m", Tokens: 4_000, DataCentre: "dc3", Prefixes: []uint64{1, 2, 5_000, 5_001},
		Exclude: func(vm string) bool { return vm == "vm-0007" }}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		vm, _, _ := table.Pick(now, request)
		table.AddSentWork(now, vm, outcome.Short, request.Tokens)
	}
}

// BenchmarkPick measures one choice and the recording of the sent work.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{25, 250, testAgents} {
		b.Run(fmt.Sprint("sampled/", n), func(b *testing.B) { benchmarkPick(b, n, Config{}) })
		b.Run(fmt.Sprint("all/", n), func(b *testing.B) { benchmarkPick(b, n, Config{MaxScanAll: n}) })
	}
}

// Guards against allocations per choice, which at full load would cost more in
// garbage collection than the choice itself.
func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := loadedTable(testAgents, Config{})
	request := Request{Model: "m", Tokens: 4_000, DataCentre: "dc3", Prefixes: []uint64{1, 2, 5_000}}
	is.Equal(testing.AllocsPerRun(1_000, func() { table.Pick(start, request) }), 0.0)
}

// Guards against samples that are too small to find agents with little load: the
// mean expected time must stay below 1.5 times that of a scan of all agents.
func TestSamplingIsCloseToFullScan(t *testing.T) {
	is := is.New(t)
	wait := func(config Config) time.Duration {
		table := loadedTable(testAgents, config)
		var sum time.Duration
		for range 5_000 {
			vm, expected, ok := table.Pick(start, Request{Model: "m", Tokens: 4_000, DataCentre: "dc3"})
			is.True(ok)
			table.AddSentWork(start, vm, outcome.Short, 4_000)
			sum += expected
		}
		return sum / 5_000
	}
	sampled, scanned := wait(Config{}), wait(Config{MaxScanAll: testAgents})
	t.Logf("mean expected time: %v sampled, %v full scan", sampled, scanned)
	is.True(sampled < scanned*3/2)
}

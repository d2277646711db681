package main

import (
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/internal/sim"
)

const percent = 100

// fleetSizes are the numbers of servers of the two simulated fleets. The ablation
// uses the first one.
var fleetSizes = []int{25, 15}

var strategies = []sim.Strategy{sim.Naive, sim.LeastOutstanding, sim.Policy}

// printComparison prints the tables of one scenario and returns the results in
// the order of strategies.
func printComparison(out io.Writer, s sim.Scenario) []*sim.Result {
	fmt.Fprintf(out, "\n%d servers, seed %d, load %.2f with peaks of %.2f, %.3f of the servers fail at peaks\n\n",
		s.Servers, s.Seed, s.BaseLoad, s.BaseLoad*s.PeakFactor, s.FailingShare)
	fmt.Fprintln(out, "| Strategy | Band | Arrived | Refused | Failed | Finished | p50 ms | p95 ms | p99 ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	var results []*sim.Result
	for _, s.Strategy = range strategies { // sets the strategy of the scenario
		r := sim.Run(s)
		results = append(results, r)
		for b := range outcome.BandCount {
			h := r.FirstToken[b]
			fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %.0f | %.0f | %.0f |\n", s.Strategy, outcome.Band(b), r.Arrived[b],
				r.Refused[b], r.Failed[b], r.Finished[b], ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(95)), ms(h.ValueAtQuantile(99)))
		}
	}
	fmt.Fprintln(out, "\n| Strategy | Short p95 to the same load without long | Peak short in 0.52 s | Bound | Peak short refused | Long finished | Retries | Preempted | Wasted in failures | Wasted in preemption |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for i, r := range results {
		s.Strategy, s.NoLong = strategies[i], true
		withoutLong := sim.Run(s)
		fmt.Fprintf(out, "| %s | %.2f | %.2f%% | %.2f%% | %d | %.1f%% | %d | %d | %.2f%% | %.2f%% |\n", s.Strategy, slowdown(r, withoutLong),
			inTime(r), percent*r.IdealInTimeShare, r.PeakRefused, longFinished(r), r.Retries, r.Preempted, wasted(r, r.WastedByFailures), wasted(r, r.WastedByPreemption))
	}
	return results
}

// variant is the policy with one rule disabled or changed. The ablation table
// compares the variants, which shows the effect of each rule.
type variant struct {
	name   string
	change func(*sim.Rules)
}

// Values that disable a rule; zero would select its default.
const (
	unlimited    = math.MaxInt32
	almostNoTime = time.Nanosecond
	almostZero   = 1e-9
)

var variants = []variant{
	{"all rules", func(*sim.Rules) {}},
	{"no fairness between accounts", func(r *sim.Rules) { r.NoFairness = true }},
	{"no prefill window", func(r *sim.Rules) { r.Queue.PrefillWindow = unlimited }},
	{"no bound on long prefills", func(r *sim.Rules) { r.Queue.MaxLongPrefills = unlimited }},
	{"no bound on long memory", func(r *sim.Rules) { r.Queue.LongKVShare = 1 }},
	{"no quiet time", func(r *sim.Rules) { r.Queue.ShortQuiet = almostNoTime }},
	{"no ageing", func(r *sim.Rules) { // each of the three makes the latest start of a job earlier
		r.Queue.UrgencyFactor, r.Queue.TokenTime, r.Queue.DrainTime = almostZero, almostNoTime, almostNoTime
	}},
	{"no preemption", func(r *sim.Rules) { r.NoPreemption = true }},
	{"full memory breaks only ties", func(r *sim.Rules) { r.Choose.MemoryPenalty = almostNoTime }},
	{"no account of sent work", func(r *sim.Rules) { r.NoSentWork = true }},
	{"no hold-down", func(r *sim.Rules) { r.NoHoldDown = true }},
	{"no observed speed", func(r *sim.Rules) { r.NoObservedSpeed = true }},
	{"no prefix hints", func(r *sim.Rules) { r.NoPrefixHints = true }},
	{"all agents scanned", func(r *sim.Rules) { r.Choose.MaxScanAll = unlimited }},
	{"no reserve for short", func(r *sim.Rules) { r.Queue.ShortKVShare = almostZero }},
	{"no shedder", func(r *sim.Rules) { r.NoShedder = true }},
	{"no wait for the retry budget", func(r *sim.Rules) { r.NoRetryBudgetWait = true }},
	{"no retry budget", func(r *sim.Rules) { r.NoRetryBudget = true }},
}

// ablationColumns are the columns of the ablation table with their formats.
// meanFigures returns its figures in the same order.
var ablationColumns = []struct{ name, format string }{
	{"Short p50 ms", "%.0f"}, {"Short p95 ms", "%.0f"}, {"Short p99 ms", "%.0f"}, {"Small accounts short p95 ms", "%.0f"},
	{"Slowdown", "%.3f"}, {"Peak short in 0.52 s", "%.2f%%"}, {"Small accounts medium p95 ms", "%.0f"}, {"Medium p95 ms", "%.0f"},
	{"Medium finished", "%.1f%%"}, {"Long p50 ms", "%.0f"}, {"Long finished", "%.1f%%"}, {"Refused", "%.1f"}, {"Failed", "%.1f"},
	{"Retries", "%.0f"}, {"Wasted", "%.2f%%"},
}

// Indexes in ablationColumns of the columns that are plotted.
const (
	columnInTime       = 5
	columnLongFinished = 10
)

// printAblation prints the ablation table and returns its figures by variant and
// column.
func printAblation(out io.Writer, s sim.Scenario, seeds int) [][]float64 {
	fmt.Fprintf(out, "\nAblation: %d servers, load %.2f with peaks of %.2f, means over %d seeds from %d\n\n",
		s.Servers, s.BaseLoad, s.BaseLoad*s.PeakFactor, seeds, s.Seed)
	header, rule := "| Variant |", "|---|"
	for _, c := range ablationColumns {
		header, rule = header+" "+c.name+" |", rule+"---|"
	}
	fmt.Fprintf(out, "%s\n%s\n", header, rule)
	rows := make([][]float64, len(variants))
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i, v := range variants {
		s := s
		v.change(&s.Rules)
		group.Go(func() {
			slots <- struct{}{}
			rows[i] = meanFigures(s, seeds)
			<-slots
		})
	}
	group.Wait()
	for i, v := range variants {
		fmt.Fprintf(out, "| %s |", v.name)
		for k, c := range ablationColumns {
			fmt.Fprintf(out, " "+c.format+" |", rows[i][k])
		}
		fmt.Fprintln(out)
	}
	return rows
}

// maxParallelRuns is the number of simulations that run at the same time. Each
// has its own state, so the figures do not depend on it.
const maxParallelRuns = 4

// meanFigures returns the figures of ablationColumns, averaged over the seeds.
func meanFigures(s sim.Scenario, seeds int) []float64 {
	sum := make([]float64, len(ablationColumns))
	first := s.Seed
	for i := range seeds {
		s.Seed, s.NoLong = first+uint64(i), false
		r := sim.Run(s)
		s.NoLong = true
		withoutLong := sim.Run(s)
		short := r.FirstToken[outcome.Short]
		for k, v := range []float64{ms(short.ValueAtQuantile(50)), ms(short.ValueAtQuantile(95)), ms(short.ValueAtQuantile(99)),
			ms(r.SmallAccounts[outcome.Short].ValueAtQuantile(95)), slowdown(r, withoutLong), inTime(r),
			ms(r.SmallAccounts[outcome.Medium].ValueAtQuantile(95)), ms(r.FirstToken[outcome.Medium].ValueAtQuantile(95)),
			finished(r, outcome.Medium), ms(r.FirstToken[outcome.Long].ValueAtQuantile(50)), longFinished(r),
			float64(r.Refused[0] + r.Refused[1] + r.Refused[2]),
			float64(r.Failed[0] + r.Failed[1] + r.Failed[2]), float64(r.Retries), wasted(r, r.WastedByFailures+r.WastedByPreemption)} {
			sum[k] += v / float64(seeds)
		}
	}
	return sum
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }

func slowdown(r, withoutLong *sim.Result) float64 {
	// The 95th percentile of the time to first token of short requests, in
	// multiples of that at the same load without long prompts.
	return float64(r.FirstToken[outcome.Short].ValueAtQuantile(95)) / float64(withoutLong.FirstToken[outcome.Short].ValueAtQuantile(95))
}

func inTime(r *sim.Result) float64 {
	// The percentage of the admitted short requests at peaks that got the first
	// token within sim.FirstTokenTarget.
	return percent * float64(r.PeakInTime) / float64(max(r.PeakShort, 1))
}

func finished(r *sim.Result, b outcome.Band) float64 {
	// The percentage of the requests that arrived.
	return percent * float64(r.Finished[b]) / float64(max(r.Arrived[b], 1))
}

func longFinished(r *sim.Result) float64 { return finished(r, outcome.Long) }

func wasted(r *sim.Result, tokens int) float64 {
	// The tokens as a percentage of the tokens of finished requests.
	return percent * float64(tokens) / float64(max(r.UsefulTokens, 1))
}

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A shift of demand between two models: of 8 engines in 2 data centres, 6 have
// model a and 2 have model b. The demand for the two models is exchanged for 5
// minutes.
const (
	shiftEngines      = 8
	shiftSpeed        = 10_000 // prefill tokens/s of an engine
	shiftHighRate     = 40_000 // prefill tokens/s
	shiftLowRate      = 8_000
	shiftStart        = 2 * time.Minute
	shiftEnd          = 7 * time.Minute
	shiftRunEnd       = 10 * time.Minute
	shiftLoadTime     = 20 * time.Second
	shiftLoadInterval = 5 * time.Second // between two loads that may start
	shiftStep         = 100 * time.Millisecond
	shiftMaxWait      = 500 * time.Millisecond // longest wait that counts as served
)

type shiftResult struct {
	worst     time.Duration // longest wait for model b
	recovered time.Duration // from the shift until the wait for b stays within shiftMaxWait
	loads     int           // number of loads started
}

// runDemandShift runs the shift with a planner, or with a static placement if p
// is nil.
func runDemandShift(p *Planner) shiftResult {
	f := &simulatedFleet{loadTime: shiftLoadTime, ready: map[string]time.Time{}}
	for i := range shiftEngines {
		model := "a"
		if i < 2 {
			model = "b"
		}
		f.engines = append(f.engines, engineOf(fmt.Sprintf("e%d", i), fmt.Sprintf("dc-%d", i%2), model))
		f.engines[i].PrefillTokensPerSecond = shiftSpeed
	}
	meter, result, nextLoad := NewMeter(), shiftResult{}, start // a load may start from nextLoad on
	for at := time.Duration(0); at < shiftRunEnd; at += shiftStep {
		now := start.Add(at)
		f.finishLoads(now)
		rates := map[string]int{"a": shiftHighRate, "b": shiftLowRate}
		if at >= shiftStart && at < shiftEnd {
			rates = map[string]int{"a": shiftLowRate, "b": shiftHighRate}
		}
		for model, rate := range rates {
			wait := f.sendRequests(meter, now, model, rate)
			if model == "b" && at < shiftEnd {
				result.worst = max(result.worst, wait)
				if wait > shiftMaxWait {
					result.recovered = at + shiftStep - shiftStart
				}
			}
		}
		for i := range f.engines {
			f.engines[i].PendingTokens = max(f.engines[i].PendingTokens-int(shiftSpeed*shiftStep.Seconds()), 0)
		}
		if p == nil || at%time.Second != 0 {
			continue
		}
		for _, c := range p.Decide(now, View{Models: allowed("a", "b"), Demand: meter.Demand(now), Engines: f.engines}) {
			if c.Kind == Load && now.Before(nextLoad) {
				continue
			}
			if c.Kind == Load {
				nextLoad = now.Add(shiftLoadInterval)
			}
			f.apply(now, []Command{c})
		}
	}
	result.loads = f.loads
	return result
}

// sendRequests sends the requests of one step, of 400 tokens each, to the
// shortest queue of the model's engines and returns the wait of the last one.
func (f *simulatedFleet) sendRequests(meter *Meter, now time.Time, model string, rate int) (wait time.Duration) {
	const tokens = 400
	for range int(float64(rate)*shiftStep.Seconds()) / tokens {
		meter.RecordRequest(now, model, tokens)
		best := -1
		for i, e := range f.engines {
			for _, placed := range e.Placed {
				if placed.Name == model && !placed.Loading && (best < 0 || e.PendingTokens < f.engines[best].PendingTokens) {
					best = i
				}
			}
		}
		f.engines[best].PendingTokens += tokens
		wait = time.Duration(float64(f.engines[best].PendingTokens) / shiftSpeed * float64(time.Second))
	}
	return wait
}

// Guards against a placement that does not follow a shift of demand between
// models, or that uses more loads for it than needed.
func TestDemandShift(t *testing.T) {
	is := is.New(t)
	static, placed := runDemandShift(nil), runDemandShift(New(Config{}))
	t.Logf("static: worst wait %v, served again after %v", static.worst, static.recovered)
	t.Logf("placed: worst wait %v, served again after %v, %d loads", placed.worst, placed.recovered, placed.loads)
	is.True(static.recovered > 4*time.Minute) // only when the shift of 5 minutes ends
	is.True(placed.recovered < time.Minute)
	is.True(placed.loads <= shiftEngines)
}

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Figures of the swing: 8 engines in 2 data centres; model a is on 6 of them
// and b on 2. The demand of both is exchanged for 5 minutes.
const (
	swingEngines   = 8
	swingSpeed     = 10_000 // prefill tokens per second of an engine
	swingHigh      = 40_000 // tokens per second
	swingLow       = 8_000
	swingStart     = 2 * time.Minute
	swingEnd       = 7 * time.Minute
	swingRunEnd    = 10 * time.Minute
	swingLoadTime  = 20 * time.Second
	swingSlotEvery = 5 * time.Second // rate of the weight store
	swingStep      = 100 * time.Millisecond
	swingBound     = 500 * time.Millisecond // time to first token that counts as served
)

type swingResult struct {
	worst     time.Duration // worst time to first token of model b
	recovered time.Duration // from the swing until b stays within swingBound
	loads     int
}

// runSwing plays the swing with a planner, or with a static placement if nil.
func runSwing(p *Planner) swingResult {
	f := &fleetState{loadTime: swingLoadTime, ready: map[string]time.Time{}}
	for i := range swingEngines {
		model := "a"
		if i < 2 {
			model = "b"
		}
		f.engines = append(f.engines, engineOf(fmt.Sprintf("e%d", i), fmt.Sprintf("dc-%d", i%2), model))
		f.engines[i].PrefillTokensPerSecond = swingSpeed
	}
	meter, result, slot := NewMeter(), swingResult{}, start
	for at := time.Duration(0); at < swingRunEnd; at += swingStep {
		now := start.Add(at)
		f.tick(now)
		rates := map[string]int{"a": swingHigh, "b": swingLow}
		if at >= swingStart && at < swingEnd {
			rates = map[string]int{"a": swingLow, "b": swingHigh}
		}
		for model, rate := range rates {
			wait := f.arrive(meter, now, model, rate)
			if model == "b" && at < swingEnd {
				result.worst = max(result.worst, wait)
				if wait > swingBound {
					result.recovered = at + swingStep - swingStart
				}
			}
		}
		for i := range f.engines {
			f.engines[i].QueuedTokens = max(f.engines[i].QueuedTokens-int(swingSpeed*swingStep.Seconds()), 0)
		}
		if p == nil || at%time.Second != 0 {
			continue
		}
		for _, c := range p.Decide(now, View{Models: allowed("a", "b"), Demand: meter.Demand(now), Engines: f.engines}) {
			if c.Kind == Load && now.Before(slot) {
				continue
			}
			if c.Kind == Load {
				slot = now.Add(swingSlotEvery)
			}
			f.apply(now, []Command{c})
		}
	}
	result.loads = f.loads
	return result
}

// arrive sends the requests of one step, of 400 tokens each, to the shortest
// queue of the model's engines and returns the wait of the last one.
func (f *fleetState) arrive(meter *Meter, now time.Time, model string, rate int) (wait time.Duration) {
	const tokens = 400
	for range int(float64(rate)*swingStep.Seconds()) / tokens {
		meter.Request(now, model, tokens)
		best := -1
		for i, e := range f.engines {
			for _, placed := range e.Placed {
				if placed.Name == model && !placed.Loading && (best < 0 || e.QueuedTokens < f.engines[best].QueuedTokens) {
					best = i
				}
			}
		}
		f.engines[best].QueuedTokens += tokens
		wait = time.Duration(float64(f.engines[best].QueuedTokens) / swingSpeed * float64(time.Second))
	}
	return wait
}

// Guards against a placement that does not follow a swing of the demand, or
// that spends more loads on it than needed.
func TestSwing(t *testing.T) {
	is := is.New(t)
	static, placed := runSwing(nil), runSwing(New(Config{}))
	t.Logf("static: worst wait %v, served again after %v", static.worst, static.recovered)
	t.Logf("placed: worst wait %v, served again after %v, %d loads", placed.worst, placed.recovered, placed.loads)
	is.True(static.recovered > 4*time.Minute) // not before the swing ends
	is.True(placed.recovered < time.Minute)
	is.True(placed.loads <= swingEngines)
}

package place

import (
	"math"
	"time"
)

// Demand is the decayed arrival rate of a model's requests.
type Demand struct {
	// Requests per second.
	Requests float64
	// PrefillTokens per second.
	PrefillTokens float64
}

const (
	// decayTime is the time constant of the rates: long enough to smooth
	// single requests, short enough to see a swing within seconds.
	decayTime = 10 * time.Second
	// minDemand in requests per second counts as demand. A single request
	// counts for about 46 s.
	minDemand = 0.001
)

// Meter measures the demand that one entry sees.
type Meter struct {
	rates map[string]*rate
}

type rate struct {
	Demand
	at time.Time
}

// NewMeter returns a meter without demand.
func NewMeter() *Meter { return &Meter{rates: map[string]*rate{}} }

// Request records a request for a model with its prompt tokens.
func (m *Meter) Request(now time.Time, model string, tokens int) {
	r := m.rates[model]
	if r == nil {
		r = &rate{at: now}
		m.rates[model] = r
	}
	r.decay(now)
	r.Requests += 1 / decayTime.Seconds()
	r.PrefillTokens += float64(tokens) / decayTime.Seconds()
}

// Demand returns the present rates of the models in demand.
func (m *Meter) Demand(now time.Time) map[string]Demand {
	demand := map[string]Demand{}
	for model, r := range m.rates {
		r.decay(now)
		if r.Requests < minDemand {
			delete(m.rates, model)
			continue
		}
		demand[model] = r.Demand
	}
	return demand
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	r.Requests *= factor
	r.PrefillTokens *= factor
	r.at = now
}

package place

import (
	"math"
	"time"
)

// Demand is the rate at which the requests of a model arrive, averaged with
// exponential decay.
type Demand struct {
	// Requests is the rate in requests per second.
	Requests float64
	// PrefillTokens is the rate in prefill tokens per second.
	PrefillTokens float64
}

const (
	// decayTime is the time constant of the rates: long enough to smooth single
	// requests, short enough to follow a change of demand within seconds.
	decayTime = 10 * time.Second
	// minDemand is the rate in requests per second from which a model has demand.
	// The rate of 0.1 of a single request decays to it in about 46 s.
	minDemand = 0.001
)

// Meter measures the demand at one entry.
type Meter struct {
	rates map[string]*rate
}

type rate struct {
	Demand
	updated time.Time
}

// NewMeter returns a meter without demand.
func NewMeter() *Meter { return &Meter{rates: map[string]*rate{}} }

// RecordRequest records a request for a model with its prompt length in tokens.
func (m *Meter) RecordRequest(now time.Time, model string, tokens int) {
	r := m.rates[model]
	if r == nil {
		r = &rate{updated: now}
		m.rates[model] = r
	}
	r.decay(now)
	r.Requests += 1 / decayTime.Seconds()
	r.PrefillTokens += float64(tokens) / decayTime.Seconds()
}

// Demand returns the current rates of the models with demand and drops the
// others.
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
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	r.Requests *= factor
	r.PrefillTokens *= factor
	r.updated = now
}

// Package pace learns how much longer than their model servers take now. Requests that look
// alike cost servers different amounts of work, and a server may have just started, or have
// requests that this process does not know of: the time until it answers tells both.
//
// For each server the tracker keeps the mean of log(actual time / expected time), with weights
// that fall with age, and a few observations without a difference as a prior: one slow answer
// changes little, and without answers the estimate returns to the model.
package pace

import (
	"math"
	"time"
)

const (
	// decayTime is the time in which the weight of an observation falls to 1/e.
	decayTime = 3 * time.Second
	// priorWeight is the number of observations that the model itself counts as.
	priorWeight = 2
	// maxFactor bounds one observation in both directions, so that a single request that
	// waited behind others does not decide.
	maxFactor = 8
	// maxServers bounds the servers of which something is known. Those without an
	// observation for forgetTime are dropped when it is reached.
	maxServers = 4096
	forgetTime = 10 * decayTime
)

// Tracker holds the estimates. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*evidence
}

// evidence is the decayed sum of the observations of a server as of a time.
type evidence struct {
	weight, sum float64 // of observations, and of their logarithms
	at          time.Time
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker { return &Tracker{servers: map[string]*evidence{}} }

// Observe records that a server took actual for what its model expects to take expected. It
// is ignored unless both are above 0.
func (t *Tracker) Observe(server string, expected, actual time.Duration, now time.Time) {
	if expected <= 0 || actual <= 0 {
		return
	}
	e := t.servers[server]
	if e == nil {
		if len(t.servers) >= maxServers {
			t.dropOld(now)
		}
		if len(t.servers) >= maxServers {
			return
		}
		e = &evidence{at: now}
		t.servers[server] = e
	}
	e.decay(now)
	limit := math.Log(maxFactor)
	e.weight++
	e.sum += min(max(math.Log(float64(actual)/float64(expected)), -limit), limit)
}

// Factor returns how many times as long as its model a server is estimated to take; 1 if
// nothing is known of it.
func (t *Tracker) Factor(server string, now time.Time) float64 {
	e := t.servers[server]
	if e == nil {
		return 1
	}
	e.decay(now)
	return math.Exp(e.sum / (e.weight + priorWeight))
}

// Forget drops what is known of a server.
func (t *Tracker) Forget(server string) { delete(t.servers, server) }

func (e *evidence) decay(now time.Time) {
	passed := now.Sub(e.at)
	if passed <= 0 {
		return
	}
	left := math.Exp(-float64(passed) / float64(decayTime))
	e.weight, e.sum, e.at = e.weight*left, e.sum*left, now
}

func (t *Tracker) dropOld(now time.Time) {
	for server, e := range t.servers {
		if now.Sub(e.at) > forgetTime {
			delete(t.servers, server)
		}
	}
}

package standin2

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[7] = runLimit }

const (
	limitClients = 42
	// longTimeout and shortTimeout are timeouts of the streaming route, in milliseconds. The
	// streams take 4 s.
	longTimeout, shortTimeout = 15_000, 3000
)

// runLimit lets the operator shorten the timeout of the streaming route. The streams sent after
// that last longer. Their servers stop work at the time that they are given.
func runLimit(f *fleet, trouble bool) bool {
	o := serverOptions{Slots: 16, Drain: 3 * time.Second, Linger: time.Second, StepMillis: 1.31, StepCount: 51, ReadPerSecond: 177_000, Unframed: true}
	gateways, _ := f.startFleet(leaveEngines, o, true, grownBounds)
	if trouble {
		config := configuration(2, true, o.StepMillis, o.StepCount)
		config["routeTable"].([]any)[0].(map[string]any)["timeoutMs"] = shortTimeout
		f.configure(config)
		f.note("operator: the timeout of the route is %d ms from now on", shortTimeout)
	}
	time.Sleep(2 * time.Duration(grownBounds.configDeadlineMillis) * time.Millisecond)
	var mu sync.Mutex
	var results []*result
	var group sync.WaitGroup
	for i := range limitClients {
		c := f.dial(gateways[i%len(gateways)])
		group.Go(func() {
			defer func() { _ = c.Close() }()
			r := f.request(c, fmt.Sprintf("client%d", i+1), "POST", "/ask/x", longTimeout*time.Millisecond, fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 1460,%d\r\n", leaveTokens))
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	return f.checkOrder(results, trouble)
}

// checkOrder reports whether a stream ended as complete before its last piece, or, without a
// disruption, whether an answer is missing.
func (f *fleet) checkOrder(results []*result, trouble bool) bool {
	short := 0
	for _, r := range results {
		if r.complete && r.status == 200 && len(r.events) < r.total {
			f.note("check: the answer to %s ended as complete after event %d of %d", r.id, r.events[len(r.events)-1], r.total)
			short++
		}
		if !trouble && (!r.complete || len(r.events) != r.total) {
			f.note("check: %s has no whole answer without a disruption", r.id)
			short++
		}
	}
	f.note("check: %d of %d answers ended as complete before their last event", short, len(results))
	return short > 0
}

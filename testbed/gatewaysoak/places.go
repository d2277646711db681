package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

const (
	// evacuationBound is how long after its evacuation a data centre may get requests. It is
	// checked only while the store and the gateways are healthy.
	evacuationBound = 3 * time.Second
	// meanEvacuationInterval is the mean time from an evacuation to the next one, and
	// maxEvacuation the longest time that one lasts beyond evacuationBound.
	meanEvacuationInterval = 4 * time.Second
	maxEvacuation          = 2 * time.Second
	// coldTime is how long a server is cold after its start under load. coldRate is how many
	// requests a second it bears, and maxColdRequests how many it may get in one second.
	coldTime        = 2 * time.Second
	coldRate        = 20
	maxColdRequests = coldRate*1.5 + 5
)

// placeChecks checks that gateways keep away from evacuated data centres, and that cold
// servers get few requests from all gateways together.
type placeChecks struct {
	mu          sync.Mutex
	dataCentres map[string]string      // by server
	coldUntil   map[string]time.Time   // by server
	arrivals    map[string][]time.Time // of the last second at cold servers
	// evacuated holds when the store acknowledged evacuations that have not ended.
	evacuated map[string]time.Time
}

func newPlaceChecks() *placeChecks {
	return &placeChecks{dataCentres: map[string]string{}, coldUntil: map[string]time.Time{}, arrivals: map[string][]time.Time{}, evacuated: map[string]time.Time{}}
}

// recordStart records that a server starts, and how long it is cold.
func (c *placeChecks) recordStart(server, dataCentre string, cold time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataCentres[server] = dataCentre
	c.coldUntil[server] = time.Now().Add(cold)
}

// recordArrival records that a request has reached a server. It returns an error if the
// server is cold and gets too many.
func (c *placeChecks) recordArrival(arrival fleetsim.Run) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if arrival.At.After(c.coldUntil[arrival.Server]) {
		return nil
	}
	recent := append(c.arrivals[arrival.Server], arrival.At)
	for arrival.At.Sub(recent[0]) >= time.Second {
		recent = recent[1:]
	}
	c.arrivals[arrival.Server] = recent
	if len(recent) > maxColdRequests {
		return fmt.Errorf("request %s is number %d that reached the cold server %s within a second", arrival.RequestID, len(recent), arrival.Server)
	}
	return nil
}

// checkRun returns an error for a run in a data centre that was evacuated too long ago. Time
// before healthySince does not count.
func (c *placeChecks) checkRun(run fleetsim.Run, healthySince time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	dataCentre := c.dataCentres[run.Server]
	acked, evacuated := c.evacuated[dataCentre]
	if late := run.At.Sub(acked); evacuated && acked.After(healthySince) && late > evacuationBound {
		return fmt.Errorf("request %s ran at server %s in %s %v after the evacuation of that data centre", run.RequestID, run.Server, dataCentre, late)
	}
	return nil
}

// setEvacuated records that the store has acknowledged an evacuation, or is about to
// acknowledge its end.
func (c *placeChecks) setEvacuated(dataCentre string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if evacuated {
		c.evacuated[dataCentre] = time.Now()
	} else {
		delete(c.evacuated, dataCentre)
	}
}

// injectEvacuations evacuates a data centre now and then until ctx ends. The draws do not
// depend on those of other faults.
func (r *run) injectEvacuations(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	for {
		gap := time.Duration(random.Int64N(int64(2 * meanEvacuationInterval)))
		place := []string{dataCentre, secondDataCentre}[random.IntN(2)]
		d := evacuationBound + time.Duration(random.Int64N(int64(maxEvacuation)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		r.mu.Lock()
		r.report.Faults["data centre evacuated"]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.options.Out, "%8.3f data centre evacuated (%s, %v)\n", time.Since(r.started).Seconds(), place, d.Round(time.Millisecond))
		if err := r.store.Evacuate(place); err != nil {
			r.addViolation("evacuate %s: %w", place, err)
			return
		}
		r.places.setEvacuated(place, true)
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
		r.places.setEvacuated(place, false)
		r.store.EndEvacuation(place)
	}
}

// dataCentre returns the data centre of a server.
func (b *server) dataCentre() string {
	if b.index%2 == 0 {
		return dataCentre
	}
	return secondDataCentre
}

// evacuationLookups is the number of lookups to each gateway by which checkEvacuation sees
// which data centres are in use.
const evacuationLookups = 15

// checkEvacuation evacuates the data centre of the gateways, whose plain servers they prefer,
// while one gateway cannot reach the store and another one is killed, and checks that all of
// them leave its servers in time, and that these are used again in time.
func (r *run) checkEvacuation(ctx context.Context) {
	cutOff, killed := r.gateways[0], r.gateways[len(r.gateways)-1]
	cutOff.storeMu.Lock()
	defer cutOff.storeMu.Unlock()
	if err := cutOff.store.Cut(); err != nil {
		r.addViolation("cut a link: %w", err)
		return
	}
	defer func() {
		if err := cutOff.store.EndFaults(); err != nil {
			r.addViolation("end the faults of a link: %w", err)
		}
	}()
	if err := r.store.Evacuate(dataCentre); err != nil {
		r.addViolation("evacuate %s: %w", dataCentre, err)
		return
	}
	acked := time.Now()
	if err := killed.restart(syscall.SIGKILL); err != nil {
		r.addViolation("restart %s: %w", killed.name, err)
		return
	}
	time.Sleep(time.Until(acked.Add(evacuationBound)))
	if killed != cutOff {
		readyCtx, cancel := context.WithTimeout(ctx, settleTime)
		defer cancel()
		if err := killed.awaitReady(readyCtx); err != nil {
			r.addViolation("while a data centre is evacuated: %w", err)
		}
	}
	if n := r.lookupsIn(ctx, dataCentre); n > 0 {
		r.addViolation("%d lookups ran in %s while it was evacuated", n, dataCentre)
	}
	r.store.EndEvacuation(dataCentre)
	for ended := time.Now(); r.lookupsIn(ctx, dataCentre) == 0; {
		if time.Since(ended) > evacuationBound {
			r.addViolation("no lookup ran in %s after its evacuation", dataCentre)
			return
		}
		time.Sleep(evacuationBound / 10)
	}
}

// lookupsIn sends lookups to each gateway and returns how many of them ran in a data centre.
func (r *run) lookupsIn(ctx context.Context, place string) int {
	began := time.Now()
	for _, g := range r.gateways {
		c := r.newCaller(2000 + g.index)
		for range evacuationLookups {
			c.sendRequest(ctx, g, lookupKind)
		}
		c.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.runs {
		for _, execution := range runs {
			if execution.At.After(began) && r.places.isIn(execution.Server, place) {
				n++
			}
		}
	}
	return n
}

// isIn reports whether a server is in a data centre.
func (c *placeChecks) isIn(server, place string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dataCentres[server] == place
}

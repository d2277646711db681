package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

const (
	// pauseSlack is the time after a refusal with Retry-After from which on at most
	// maxRequestsInPause requests of the gateway may reach the server until the end of the
	// pause.
	pauseSlack         = 500 * time.Millisecond
	maxRequestsInPause = 2
	// meanReportInterval is the mean time between the starts of two reports of servers.
	meanReportInterval = 2500 * time.Millisecond
	// maxReportedPause is the longest pause that a server asks for.
	maxReportedPause = 2 * time.Second
)

// reportChecks checks that gateways do as servers say in their answers: that they leave,
// or want no requests for a while.
type reportChecks struct {
	mu      sync.Mutex
	sent    map[string]sentRequest
	leaving map[gatewayServer]time.Time // when a gateway first passed it on
	pauses  map[gatewayServer][]*reportedPause
	// frozen holds the latest freeze of each gateway process.
	frozen map[*instance]time.Time
}

// gatewayServer is a gateway process and a server.
type gatewayServer struct {
	process *instance
	server  string
}

type sentRequest struct {
	process *instance
	at      time.Time
}

// reportedPause is a pause that a server has asked a gateway for.
type reportedPause struct {
	from, until time.Time
	requests    int // that reached the server from pauseSlack on
}

func newReportChecks() *reportChecks {
	return &reportChecks{sent: map[string]sentRequest{}, leaving: map[gatewayServer]time.Time{}, pauses: map[gatewayServer][]*reportedPause{}, frozen: map[*instance]time.Time{}}
}

// recordSent records that a request is sent to a gateway process.
func (c *reportChecks) recordSent(id string, process *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = sentRequest{process, time.Now()}
}

// recordLeaving records that a gateway has passed on the answer to a request, in which a
// server says that it leaves.
func (c *reportChecks) recordLeaving(id, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := gatewayServer{c.sent[id].process, server}
	if _, known := c.leaving[key]; !known {
		c.leaving[key] = time.Now()
	}
}

// recordFreeze records that a gateway process was frozen until now.
func (c *reportChecks) recordFreeze(process *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen[process] = time.Now()
}

// recordArrival records that a request has reached a server, and the report in its answer.
// It returns an error if the server should not have got the request.
func (c *reportChecks) recordArrival(arrival fleetsim.Run, report fleetsim.SelfReport) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, known := c.sent[arrival.RequestID]
	if !known {
		return nil // a probe
	}
	key := gatewayServer{request.process, arrival.Server}
	frozen := c.frozen[request.process]
	for _, p := range c.pauses[key] {
		if arrival.At.Before(p.from.Add(pauseSlack)) || arrival.At.After(p.until) || frozen.After(p.from) {
			continue
		}
		if p.requests++; p.requests > maxRequestsInPause {
			return fmt.Errorf("request %s is number %d that reached server %s while it wanted none", arrival.RequestID, p.requests, arrival.Server)
		}
	}
	if seconds, err := strconv.ParseFloat(report.RetryAfter, 64); report.Refuses && err == nil {
		until := arrival.At.Add(time.Duration(seconds * float64(time.Second)))
		c.pauses[key] = append(c.pauses[key], &reportedPause{from: arrival.At, until: until})
	}
	passedOn, leaves := c.leaving[key]
	if late := request.at.Sub(passedOn); leaves && late > drainBound && !frozen.After(passedOn) {
		return fmt.Errorf("request %s reached server %s, sent %v after its gateway had passed on that it leaves", arrival.RequestID, arrival.Server, late)
	}
	return nil
}

// handleArrival checks a request that has reached a server.
func (r *run) handleArrival(arrival fleetsim.Run, report fleetsim.SelfReport) {
	if err := r.reports.recordArrival(arrival, report); err != nil {
		r.addViolation("%w", err)
	}
	if err := r.places.recordArrival(arrival); err != nil {
		r.addViolation("%w", err)
	}
}

// report returns what a server says of itself now. Every other server tells its load.
func (b *server) report() fleetsim.SelfReport {
	if report := b.reported.Load(); report != nil {
		return *report
	}
	return b.usualReport()
}

func (b *server) usualReport() fleetsim.SelfReport {
	return fleetsim.SelfReport{TellsLoad: b.index%2 == 1}
}

// injectReports makes random servers say that they leave, or that they want no requests,
// until ctx ends. The draws do not depend on those of injectFaults.
func (r *run) injectReports(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1))
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * meanReportInterval)))):
		}
		b := r.servers[random.IntN(len(r.servers))]
		d := time.Duration(random.Int64N(int64(maxReportedPause)))
		inject, name := r.letLeave, "server reports that it leaves"
		if random.Float64() < 0.5 {
			inject, name = r.letPause, "server wants no requests"
		}
		r.mu.Lock()
		r.report.Faults[name]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.options.Out, "%8.3f %s (%d, %v)\n", time.Since(r.started).Seconds(), name, b.index, d.Round(time.Millisecond))
		group.Go(func() {
			if err := inject(b, d); err != nil {
				r.addViolation("inject fault %q: %w", name, err)
			}
		})
	}
}

// letLeave makes a server say that it leaves, though the store lists it as ready. After
// some time it ends and another one takes its place.
func (r *run) letLeave(b *server, d time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.usualReport()
	report.Leaving = true
	b.reported.Store(&report)
	time.Sleep(drainBound + d)
	b.sim.Crash()
	r.store.Unregister(b.sim)
	b.reported.Store(nil)
	if err := r.startServer(b); err != nil {
		return err
	}
	return r.register(b, fleetsim.Live)
}

// letPause makes a server refuse all requests for a while, with the rest of that time as
// Retry-After.
func (r *run) letPause(b *server, d time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.usualReport()
	report.Refuses, report.RetryAfter = true, strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	b.reported.Store(&report)
	time.Sleep(d)
	b.reported.Store(nil)
	return nil
}

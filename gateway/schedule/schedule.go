// Package schedule assigns requests to backend servers. A request for a model
// engine waits until an engine has a free slot and enough memory; requests wait
// in the order of their latency deadlines. A request for a plain service is
// assigned at once to the server with the fewest requests in flight.
//
// Lock order: Scheduler.mu before the lock of the registry and those that the functions of a
// Request take.
package schedule

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/policy/coldstart"
	"camphorwick.dev/policy/dispatch"
	"camphorwick.dev/policy/pace"
	"camphorwick.dev/policy/selfreport"
	"camphorwick.dev/policy/suspect"
)

const (
	// retryInterval is the time between retries of placement for waiting
	// requests. It is needed because a request may become placeable without an
	// event that triggers placement: the loads of a lost peer expire, prefill
	// advances, and the limits for a placement change with the time waited.
	retryInterval = 20 * time.Millisecond
	// sampleInterval is the time between samples of the engines' loads.
	sampleInterval = 100 * time.Millisecond
	// maxScan bounds the waiting requests that placeWaiting tries to place at
	// once.
	maxScan = 24
	// remoteCost is the cost of a server of a plain service in another data
	// centre, in requests in flight.
	remoteCost = 1
	// minRemainingShare is the share of a request's total time that must remain
	// when it is placed; it may spend the rest in the queue.
	minRemainingShare = 0.35
	// eventTimeoutShare is the share of the caller's event timeout that may
	// pass before placement; the rest is left for the first event.
	eventTimeoutShare = 0.85
	// intervalSmoothing is the smoothing factor of the mean interval between
	// placements, on which the expected wait is based.
	intervalSmoothing = 0.1
	// tieBreakMillis is the range of the random penalty that breaks ties
	// between equal engines, so that gateways don't all choose the same
	// helpers.
	tieBreakMillis = 4
	// minRetryAfter and maxRetryAfter bound the delay in Retry-After.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Request is a request to be placed.
type Request struct {
	Service string
	// Engine is nil for plain services.
	Engine *dispatch.Engine
	Prompt dispatch.Prompt
	// LatencyTarget is the target for the time to the first byte.
	LatencyTarget time.Duration
	// Arrived is when the request arrived; at Deadline the caller gives up.
	Arrived, Deadline time.Time
	// EventTimeout is how long after Arrived the caller waits for the next
	// event; 0 means until Deadline.
	EventTimeout time.Duration
	// Resumed is set if the caller already has a part of the answer.
	Resumed bool
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Exclude lists servers that have failed or refused the request.
	Exclude []string
	// ColdRequestsPerSecond is how many requests a second a cold server of the service bears,
	// of all gateways together; 0 for no limit.
	ColdRequestsPerSecond float64
	// Regions are the lists of regions, of the route and of the account, to which the request
	// is restricted. An empty list does not restrict it.
	Regions [][]string
	// Duration returns how long the request may take if it is placed now. It is called only
	// when the gateway stops, with the lock of the scheduler held; nil for a request that may
	// be cut.
	Duration func(now time.Time) Duration
}

// NoServerError means that the service has no usable server.
type NoServerError struct{ Service string }

func (e *NoServerError) Error() string { return fmt.Sprintf("service %q has no server", e.Service) }

// TooLargeError means that a prompt and its answer exceed the total memory of
// the engines that may store them together. Tokens is the memory that they need,
// Memory that of one engine, in tokens.
type TooLargeError struct{ Tokens, Memory int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("prompt and answer need %d tokens, more than the engines (%d tokens each) can store together", e.Tokens, e.Memory)
}

// OverloadError means that the request cannot be served within its time.
type OverloadError struct {
	// Waiting is the number of requests ahead in the queue when the request
	// arrived.
	Waiting int
	// Wait is the expected time in the queue, or the time spent there if the
	// request was queued before it was refused.
	Wait time.Duration
	// RetryAfter is the delay after which the caller may send the request again.
	RetryAfter time.Duration
	// Refusal is set if the prompt was refused because it is too long for
	// engines under load. Waiting and Wait are 0 then.
	Refusal *dispatch.Refusal
}

func (e *OverloadError) Error() string {
	if r := e.Refusal; r != nil {
		return fmt.Sprintf("prompt refused under load: it needs %.1f s of prefill, and the share of engines in prefill is %.2f (mean of the last seconds %.2f)",
			r.PrefillMillis/1000, r.PrefillingShare, r.MeanShare)
	}
	return fmt.Sprintf("not placed in time: %d requests ahead in the queue, expected or elapsed wait %v", e.Waiting, e.Wait)
}

// Scheduler assigns requests. It is safe for concurrent use.
type Scheduler struct {
	registry   *registry.Registry
	dataCentre string

	mu              sync.Mutex
	loadTracker     *dispatch.LoadTracker
	chooser         dispatch.Chooser
	failureTrackers map[string]*suspect.Tracker // by service
	reports         *selfreport.Tracker
	utilization     map[string]*dispatch.Utilization // by service
	waiting         []*waiter                        // in the order of the last placeWaiting, newer ones at the end
	// placementInterval is the smoothed time between placements while requests
	// wait.
	placementInterval time.Duration
	lastPlaced        time.Time
	candidates        []dispatch.Candidate // result of the last sampleCandidates, reused by the next
	options           options              // result of the last usable, reused by the next
	preferences       preferences
	locality          locality
	cold              *coldstart.Limiter
	pace              *pace.Tracker
	answerPace        answerPace
	stopAt            time.Time // end of a gateway that stops; zero while it runs
	// Regions are the regions of the data centres; without any, requests are not restricted
	// to regions. It must not be changed after the first request.
	Regions map[string]string
	// OnEject is called without the lock when a server has failed so often that
	// it is ejected: it gets no requests for a time while others are available.
	OnEject func(service, id string)
	// OnPeerSuspect is called with the lock held when a server becomes
	// suspected because of a report of a peer: it gets requests only if the
	// other servers are much busier.
	OnPeerSuspect func(peer, service, id string)
	// OnReport is called with the lock held when a server has reported a change of itself
	// to this process or to the named peer, and when a pause that it asked for has ended.
	OnReport func(service string, c selfreport.Change, peer string)
	// OnPlaced is called with the lock held when a prompt was placed.
	OnPlaced func()
	// OnFirstToken is called with the lock held when an engine has sent the first token of a
	// prompt that was placed on it alone.
	OnFirstToken func(FirstToken)
}

// New returns a scheduler for the gateway on a VM in dataCentre.
func New(r *registry.Registry, vm, dataCentre string) *Scheduler {
	return &Scheduler{registry: r, dataCentre: dataCentre, preferences: newPreferences(vm, dataCentre), cold: coldstart.NewLimiter(vm, time.Now()), pace: pace.NewTracker(), answerPace: newAnswerPace(), loadTracker: dispatch.NewLoadTracker(),
		failureTrackers: map[string]*suspect.Tracker{}, reports: selfreport.NewTracker(rand.Float64), utilization: map[string]*dispatch.Utilization{},
		OnEject: func(string, string) {}, OnPeerSuspect: func(string, string, string) {}, OnReport: func(string, selfreport.Change, string) {}, OnPlaced: func() {}, OnFirstToken: func(FirstToken) {}}
}

// Acquire waits until the request may be sent. The error is a NoServerError, a
// TooLargeError, an OverloadError, a StoppingError or the cause of ctx.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Assignment, error) {
	now := time.Now()
	s.mu.Lock()
	a, err := s.place(r, now)
	if a != nil || err != nil {
		s.mu.Unlock()
		return a, err
	}
	if err := s.checkExpectedWait(r, now); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: r, result: make(chan result, 1)}
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	timer := time.NewTimer(r.latestStart().Sub(now))
	defer timer.Stop()
	select {
	case got := <-w.result:
		return got.assignment, got.err
	case <-ctx.Done():
		return s.cancelWait(w, context.Cause(ctx))
	case <-timer.C:
		return s.cancelWait(w, &OverloadError{Wait: time.Since(now), RetryAfter: minRetryAfter})
	}
}

// Run retries the placement of waiting requests periodically until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	lastSample := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		s.mu.Lock()
		if now.Sub(lastSample) >= sampleInterval {
			lastSample = now
			s.loadTracker.Expire(now)
			s.expireReports(now)
			s.observeUtilization(now)
		}
		s.placeWaiting(now)
		s.mu.Unlock()
	}
}

// place assigns r if a server can take it now; it returns nil, nil if r has to
// wait. mu is held.
func (s *Scheduler) place(r Request, now time.Time) (*Assignment, error) {
	if err := s.checkStop(&r, now); err != nil {
		return nil, err
	}
	a, err := s.placeOnUsable(r, now)
	if a == nil || !s.mustEndInTime(&r) {
		return a, err
	}
	if err := s.checkEnd(s.plannedTime(&r, a), now); err != nil {
		a.job.End()
		return nil, err
	}
	return a, nil
}

// placeOnUsable is place, but for the end of a gateway that stops. mu is held.
func (s *Scheduler) placeOnUsable(r Request, now time.Time) (*Assignment, error) {
	servers, err := s.usable(&r, now)
	if err == nil {
		servers, err = s.withoutSlow(&r, servers, now)
	}
	if err != nil || len(servers) == 0 {
		return nil, err
	}
	if r.Engine == nil {
		return s.placePlain(r, servers, now), nil
	}
	r.Prompt.RemainingMillis = float64(r.Deadline.Sub(now)) / float64(time.Millisecond)
	if local := s.localEngines(servers); local < len(servers) {
		a, err := s.placePrompt(r, servers[:local], now)
		var large *TooLargeError
		if a != nil || err != nil && !errors.As(err, &large) || err == nil && !r.mayLeaveDataCentre(now) {
			return a, err
		}
	}
	return s.placePrompt(r, servers, now)
}

// placePrompt assigns a prompt to some of the given engines; it returns nil, nil if it has
// to wait. mu is held.
func (s *Scheduler) placePrompt(r Request, servers []option, now time.Time) (*Assignment, error) {
	if need := r.Prompt.Tokens + r.Prompt.AnswerTokens; need > r.Engine.MemoryTokens*min(len(servers), dispatch.MaxHelpers+1) {
		return nil, &TooLargeError{Tokens: need, Memory: r.Engine.MemoryTokens}
	}
	s.sampleCandidates(servers, now)
	utilization := s.utilizationOf(r.Service)
	if !utilization.Known() {
		utilization.Observe(s.candidates)
	}
	if refusal := utilization.CheckRefusal(r.Engine, r.Prompt, s.candidates); refusal != nil {
		return nil, &OverloadError{Refusal: refusal, RetryAfter: maxRetryAfter}
	}
	if !r.Engine.MayStart(r.Prompt, r.Engine.BacklogMillis(s.candidates), r.waitedShare(now)) {
		return nil, nil
	}
	plan, ok := s.chooser.Choose(r.Engine, r.Prompt, s.candidates)
	// The last argument is the elapsed share of the latency target; waitedShare
	// above is that of the time until the latest start.
	if !ok || !r.Engine.AcceptsPlan(r.Prompt, plan, len(servers), min(1, float64(now.Sub(r.Arrived))/float64(max(r.LatencyTarget, 1)))) {
		return nil, nil
	}
	a := &Assignment{scheduler: s, Server: servers[plan.Primary].server, Expected: plan.FirstToken, service: r.Service, placed: now,
		Load: s.candidates[plan.Primary].Load, engine: r.Engine, contextTokens: contextTokens(s.candidates[plan.Primary].Load, r.Prompt)}
	ids := make([]string, 0, len(plan.Helpers))
	for _, i := range plan.Helpers {
		a.Helpers = append(a.Helpers, servers[i].server)
		ids = append(ids, servers[i].server.ID)
	}
	a.HelperTokens = plan.HelperTokens
	s.recordCold(&r, a.Server, now)
	a.job = s.loadTracker.Start(a.Server.ID, ids, plan.HelperTokens, r.Prompt, plan.FirstToken, now)
	s.OnPlaced()
	return a, nil
}

// sampleCandidates sets s.candidates to the servers with their current loads. mu
// is held.
func (s *Scheduler) sampleCandidates(servers []option, now time.Time) {
	s.candidates = s.candidates[:0]
	for i := range servers {
		o := &servers[i]
		penalty := rand.Float64()*tieBreakMillis + o.failureCost*failurePenaltyMillis
		if o.avoided {
			penalty += suspectPenaltyMillis
		}
		s.candidates = append(s.candidates, dispatch.Candidate{Index: i, Load: s.loadTracker.Load(o.server.ID, now),
			Local: o.server.DataCentre == s.dataCentre, Preferred: s.preferences.prefers(o.server), PenaltyMillis: penalty})
	}
}

func (s *Scheduler) utilizationOf(service string) *dispatch.Utilization {
	u := s.utilization[service]
	if u == nil {
		u = &dispatch.Utilization{}
		s.utilization[service] = u
	}
	return u
}

// observeUtilization records the current utilization of the engines of all
// services that have received prompts. mu is held.
func (s *Scheduler) observeUtilization(now time.Time) {
	for service, u := range s.utilization {
		engines := s.options.reset(s.registry.Servers(service))
		s.sampleCandidates(engines[:s.localEngines(engines)], now) // the loads of the others are not known
		u.Observe(s.candidates)
	}
}

// placePlain assigns r to the server with the fewest requests in flight, to which what
// is known of its failures and of its own reports adds. Equal servers are chosen at random,
// so that one that has had no requests for a while gets some also under low load. mu is
// held.
func (s *Scheduler) placePlain(r Request, servers []option, now time.Time) *Assignment {
	var best *registry.Server
	bestCost := 0.0
	first := rand.IntN(len(servers))
	for i := range servers {
		o := &servers[(first+i)%len(servers)]
		// Streams count as decoding from the first event on, all other requests of
		// plain services as prefilling until they end.
		load := s.loadTracker.Load(o.server.ID, now)
		cost := float64(load.Prefilling+load.Decoding) + o.unknownRequests + o.failureCost
		if o.server.DataCentre != s.dataCentre {
			cost += remoteCost
		}
		if o.avoided {
			cost += suspectCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = o.server, cost
		}
	}
	a := &Assignment{scheduler: s, Server: best, service: r.Service, placed: now}
	s.recordCold(&r, best, now)
	a.job = s.loadTracker.Start(best.ID, nil, nil, dispatch.Prompt{}, 0, now)
	return a
}

func (s *Scheduler) tracker(service string) *suspect.Tracker {
	t := s.failureTrackers[service]
	if t == nil {
		t = suspect.NewTracker()
		s.failureTrackers[service] = t
	}
	return t
}

// SetGateways replaces the list of gateways, which includes this one.
func (s *Scheduler) SetGateways(gateways []Gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preferences.set(gateways)
	s.locality = newLocality(gateways, s.dataCentre)
	vms := make([]string, 0, len(gateways))
	for _, g := range gateways {
		vms = append(vms, g.VM)
	}
	s.cold.SetGateways(vms)
}

package schedule

import (
	"slices"
	"time"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/policy/dispatch"
	"camphorwick.dev/policy/suspect"
)

// Assignment allows one request to be sent to a server. End must be called.
// Helpers are the engines that prefill a shard of the prompt for the server.
type Assignment struct {
	Server  *registry.Server
	Helpers []*registry.Server
	// HelperTokens are the tokens that each helper stores in reserved memory;
	// nil if no helper does.
	HelperTokens []int
	// Expected is the estimated time to the first token; 0 for plain services.
	Expected time.Duration
	// Load is the load of the server before this request.
	Load dispatch.Load

	scheduler *Scheduler
	job       *dispatch.Job
	service   string
	placed    time.Time
	engine    *dispatch.Engine // nil for plain services
	// contextTokens are the tokens in the contexts of the server with this request.
	contextTokens int
}

// RecordFirstToken records that the server has begun to answer, so that it is no
// longer suspected.
func (a *Assignment) RecordFirstToken() {
	s, now := a.scheduler, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a.job.RecordFirstToken()
	s.tracker(a.service).MarkReachable(a.Server.ID, now)
	if a.Expected > 0 && len(a.Helpers) == 0 { // the slowest of several engines decides otherwise
		actual := now.Sub(a.placed)
		s.OnFirstToken(FirstToken{Expected: a.Expected, Learned: time.Duration(float64(a.Expected) * s.pace.Factor(a.Server.ID, now)), Actual: actual})
		s.pace.Observe(a.Server.ID, a.Expected, actual, now)
	}
}

// FirstToken is the time from the placement of a prompt on one engine to its first token.
type FirstToken struct {
	// Expected is the estimate by the engine's model, Learned the same with what was learned
	// of the engine before, Actual the time that it took.
	Expected, Learned, Actual time.Duration
}

// ServerEndsAsPlanned reports whether the process of the server may end as planned. A server
// whose registration was removed only just now may also have crashed.
func (a *Assignment) ServerEndsAsPlanned() bool {
	return a.scheduler.registry.EndsAsPlanned(a.Server, time.Now())
}

// Observe records the result of the attempt at its server. The server is ejected
// if its attempts fail too often.
func (a *Assignment) Observe(r suspect.AttemptResult) {
	s := a.scheduler
	s.mu.Lock()
	now := time.Now()
	tracker := s.tracker(a.service)
	tracker.ObserveDuration(a.Server.ID, r, now.Sub(a.placed), now)
	ejected := tracker.Observe(a.Server.ID, r, now)
	s.mu.Unlock()
	if ejected {
		s.OnEject(a.service, a.Server.ID)
	}
}

// suspectDuration is how long a server stays suspected that has not answered
// for several times the expected time to first token.
const suspectDuration = time.Second

// SuspectUnresponsive records that the server has not answered for several
// times the expected time to first token. It reports whether the server is newly
// suspected.
func (a *Assignment) SuspectUnresponsive() bool {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker(a.service).ReportUnreachable(a.Server.ID, suspectDuration, time.Now())
}

// RecordHelperFailure records that the request was refused because of the
// helper at address and returns that helper; nil if no helper has this address.
func (a *Assignment) RecordHelperFailure(address string) *registry.Server {
	i := slices.IndexFunc(a.Helpers, func(h *registry.Server) bool { return h.Address == address })
	if i < 0 {
		return nil
	}
	s, helper := a.scheduler, a.Helpers[i]
	s.mu.Lock()
	ejected := s.tracker(a.service).Observe(helper.ID, suspect.Unreachable, time.Now())
	s.mu.Unlock()
	if ejected {
		s.OnEject(a.service, helper.ID)
	}
	return helper
}

// End records that the request no longer uses its server, and places waiting
// requests.
func (a *Assignment) End() {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	a.job.End()
	s.placeWaiting(time.Now())
}

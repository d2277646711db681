package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/policy/selfreport"
)

const (
	// failurePenaltyMillis is the penalty of an engine for each request that its recent
	// failures count as (suspect.Tracker.FailureCost).
	failurePenaltyMillis = 50
	// leavingRetryAfter is the Retry-After while all servers of a service leave. It is not
	// known when others will be there.
	leavingRetryAfter = 500 * time.Millisecond
	// retrySpreadShare is the random part that is added to the Retry-After of a service
	// that wants no requests, so that its callers do not return together. It is at least
	// minRetrySpread.
	retrySpreadShare = 0.25
	minRetrySpread   = 250 * time.Millisecond
)

// UnavailableError means that no server of a service takes requests now, by what the
// servers have reported of themselves.
type UnavailableError struct {
	Service string
	// Leaving is the number of servers that end, Paused that of servers that want no
	// requests for some time.
	Leaving, Paused int
	// Wait is the time until the first of the pauses ends; 0 without a pause.
	Wait time.Duration
	// RetryAfter is the delay after which the caller may send the request again. It is
	// longer than Wait.
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no server of service %q takes requests: %d leave, %d want none, the first of them for another %v", e.Service, e.Leaving, e.Paused, e.Wait.Round(time.Millisecond))
}

// unavailableError returns the error for a request that no server takes. mu is held.
func (s *Scheduler) unavailableError(r *Request, now time.Time) *UnavailableError {
	e := &UnavailableError{Service: r.Service}
	for _, server := range s.registry.Servers(r.Service) {
		state := s.reports.State(reportedServer(server), now)
		switch {
		case slices.Contains(r.Exclude, server.ID), state.Usable():
		case state.Leaving:
			e.Leaving++
		default:
			e.Paused++
			if wait := state.PausedUntil.Sub(now); e.Wait == 0 || wait < e.Wait {
				e.Wait = wait
			}
		}
	}
	wait := e.Wait
	if e.Paused == 0 {
		wait = leavingRetryAfter
	}
	spread := max(time.Duration(float64(wait)*retrySpreadShare), minRetrySpread)
	e.RetryAfter = max(wait, minRetryAfter) + rand.N(spread)
	return e
}

// reportedServer identifies a server in the tracker of reports.
func reportedServer(s *registry.Server) selfreport.Server {
	return selfreport.Server{ID: s.ID, Address: s.Address, Started: s.Started}
}

// ownRequests returns the number of requests of this process on a server. mu is held.
func (s *Scheduler) ownRequests(id string, now time.Time) int {
	l := s.loadTracker.OwnLoad(id, now)
	return l.Prefilling + l.Decoding
}

// ObserveReport records what the server of the assignment says of itself in the head of
// an answer.
func (a *Assignment) ObserveReport(r *selfreport.Report) {
	if r.Empty() {
		return
	}
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeReport(a.Server, r, time.Now())
}

// MaySend reports whether the server and the helpers may still get the request, by what they
// have reported of themselves and by the evacuations since it was assigned.
func (a *Assignment) MaySend() bool {
	s, now := a.scheduler, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reports.State(reportedServer(a.Server), now).Usable() || s.registry.Evacuated(a.Server) {
		return false
	}
	for _, helper := range a.Helpers {
		if !s.reports.State(reportedServer(helper), now).Usable() || s.registry.Evacuated(helper) {
			return false
		}
	}
	return true
}

// ObserveReport records what the registered server with the given ID and address says of
// itself. It is ignored if there is none.
func (s *Scheduler) ObserveReport(id, address string, r selfreport.Report) {
	server := s.registry.Server(id)
	if server == nil || server.Address != address {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeReport(server, &r, time.Now())
}

// observeReport records a report. If it changes which servers may be used, requests that
// wait are placed or refused. mu is held.
func (s *Scheduler) observeReport(server *registry.Server, r *selfreport.Report, now time.Time) {
	load := s.loadTracker.Load(server.ID, now)
	changes := s.reports.Observe(reportedServer(server), r, load.Prefilling+load.Decoding, now)
	for _, c := range changes {
		s.OnReport(server.Service, c, "")
	}
	if len(changes) > 0 {
		s.placeWaiting(now)
	}
}

// expireReports drops old reports and passes on which pauses have ended. mu is held.
func (s *Scheduler) expireReports(now time.Time) {
	for _, c := range s.reports.Expire(now) {
		service := ""
		if server := s.registry.Server(c.Server.ID); server != nil {
			service = server.Service
		}
		s.OnReport(service, c, "")
	}
}

// EachLeaving calls f for each server that has lately reported to this process that it
// leaves, with the age of the report.
func (s *Scheduler) EachLeaving(f func(id string, age time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.EachLeaving(time.Now(), func(server selfreport.Server, age time.Duration) { f(server.ID, age) })
}

// HintLeaving records the report of a peer that a server has said age ago that it leaves.
// A server that has registered again since the peer knew it cannot be told from that one,
// so the report only makes the server be avoided for a while.
func (s *Scheduler) HintLeaving(peer, id string, age time.Duration) {
	server := s.registry.Server(id)
	if server == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reports.HintLeaving(reportedServer(server), age, time.Now()) {
		s.OnReport(server.Service, selfreport.Change{Server: reportedServer(server), Event: selfreport.LeavingHint, Age: age}, peer)
	}
}

// ServerReport is what is known of a server by its own reports.
type ServerReport struct {
	Server selfreport.Server
	State  selfreport.State
	// Age is the time since the last report of the server or of a peer about it.
	Age time.Duration
}

// ServerReports returns the servers whose reports change how they are used now.
func (s *Scheduler) ServerReports() []ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ServerReport
	s.reports.Each(time.Now(), func(server selfreport.Server, state selfreport.State, age time.Duration) {
		out = append(out, ServerReport{server, state, age})
	})
	return out
}

// Forget drops the failure history of a server that has restarted or was removed.
func (s *Scheduler) Forget(service, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Another writer may register servers of any number of services.
	if tracker := s.failureTrackers[service]; tracker != nil {
		tracker.Forget(id)
	}
	s.cold.Forget(id)
	s.pace.Forget(id)
}

// ForgetReports drops what a server that was removed has reported of itself, unless its
// process may still be there.
func (s *Scheduler) ForgetReports(server *registry.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.Forget(reportedServer(server))
}

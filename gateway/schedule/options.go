package schedule

import (
	"slices"
	"time"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/policy/selfreport"
)

// option is a server that may get a request, with what speaks against it.
type option struct {
	server *registry.Server
	// unknownRequests are requests on the server that only it has reported.
	unknownRequests float64
	// failureCost is what its recent failures count for, in requests in flight.
	failureCost float64
	// avoided is set if a peer could not reach the server or has heard that it leaves, or
	// if it does not answer this process.
	avoided bool
}

// options holds lists of servers, whose memory is used again.
type options struct {
	healthy, ejected []option
}

// reset returns a list of all servers of a service, of which nothing else is known.
func (o *options) reset(servers []*registry.Server) []option {
	o.healthy = o.healthy[:0]
	for _, server := range servers {
		o.healthy = append(o.healthy, option{server: server})
	}
	return o.healthy
}

// usable returns the servers that may get r, or the ejected ones if there are no
// others. It returns none, and no error, if those that remain have as many requests as
// they may get for now. The error is a NoServerError or an UnavailableError. The list is
// valid until the next call. mu is held.
func (s *Scheduler) usable(r *Request, now time.Time) ([]option, error) {
	tracker, o := s.tracker(r.Service), &s.options
	o.healthy, o.ejected = o.healthy[:0], o.ejected[:0]
	limited, unavailable := false, false
	for _, server := range s.registry.Servers(r.Service) {
		if slices.Contains(r.Exclude, server.ID) || !s.isAllowed(r, server) {
			continue
		}
		var state selfreport.State
		if !s.reports.Empty() {
			state = s.reports.State(reportedServer(server), now)
		}
		if !state.Usable() {
			unavailable = true
			continue
		}
		if state.MaxInFlight > 0 && s.ownRequests(server.ID, now) >= state.MaxInFlight {
			limited = true
			continue
		}
		if s.isCold(r, server, now) && !s.cold.Allows(server.ID, r.ColdRequestsPerSecond, now) {
			limited = true
			continue
		}
		status := tracker.Status(server.ID, now)
		usable := option{server, state.UnknownRequests, status.FailureCost, status.Suspected || state.LeavingHint}
		if status.Ejected {
			o.ejected = append(o.ejected, usable)
		} else {
			o.healthy = append(o.healthy, usable)
		}
	}
	switch {
	case len(o.healthy) > 0:
		return o.healthy, nil
	case len(o.ejected) > 0:
		return o.ejected, nil
	case limited:
		return nil, nil
	case unavailable:
		return nil, s.unavailableError(r, now)
	}
	return nil, &NoServerError{Service: r.Service}
}

// isCold reports whether the requests to a server are limited because it is cold. mu is held.
func (s *Scheduler) isCold(r *Request, server *registry.Server, now time.Time) bool {
	return r.ColdRequestsPerSecond > 0 && now.Before(s.registry.ColdUntil(server.ID))
}

// recordCold records that a server gets r, if it is cold. mu is held.
func (s *Scheduler) recordCold(r *Request, server *registry.Server, now time.Time) {
	if s.isCold(r, server, now) {
		s.cold.Record(server.ID, now)
	}
}

// isAllowed reports whether the request may go to the region of a server.
func (s *Scheduler) isAllowed(r *Request, server *registry.Server) bool {
	if len(s.Regions) == 0 {
		return true
	}
	for _, regions := range r.Regions {
		if len(regions) > 0 && !slices.Contains(regions, s.Regions[server.DataCentre]) {
			return false
		}
	}
	return true
}

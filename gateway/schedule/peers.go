package schedule

import (
	"time"

	"camphorwick.dev/policy/dispatch"
)

const (
	// suspectPenaltyMillis is the penalty of an engine that a peer cannot
	// reach: it takes 1.5 s to detect an unresponsive engine. suspectCost is
	// the same for plain services, in requests in flight.
	suspectPenaltyMillis = 1500
	suspectCost          = 8
	// maxReportedShare is the share of a service's servers that a peer may
	// report as unreachable. A peer that reports more has most likely lost its
	// own network.
	maxReportedShare = 0.34
)

// OwnLoads calls f for each server with requests in flight from this process.
func (s *Scheduler) OwnLoads(f func(id string, l dispatch.Load)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadTracker.EachOwnLoad(time.Now(), f)
}

// Unreachable calls f for each server that is ejected because this process
// could not reach it.
func (s *Scheduler) Unreachable(f func(service, id string, ejectedFor time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for service, tracker := range s.trackers {
		tracker.Unreachable(now, func(id string, ejectedFor time.Duration) { f(service, id, ejectedFor) })
	}
}

// UnreachableServer is a server that a peer could not reach.
type UnreachableServer struct {
	Service, ID string
	// EjectedFor is the remaining time for which the peer ejects the server.
	EjectedFor time.Duration
}

// ReportUnreachable records the servers that a peer could not reach.
func (s *Scheduler) ReportUnreachable(peer string, list []UnreachableServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	counts := map[string]int{}
	for _, u := range list {
		counts[u.Service]++
	}
	for _, u := range list {
		if float64(counts[u.Service]) > maxReportedShare*float64(len(s.registry.Servers(u.Service))) {
			continue
		}
		if s.tracker(u.Service).ReportUnreachable(u.ID, u.EjectedFor, now) {
			s.OnPeerSuspect(peer, u.Service, u.ID)
		}
	}
}

// SetPeer records the loads that a peer has on servers, all of them or those
// that changed. It reports whether all loads of the peer are known now.
func (s *Scheduler) SetPeer(name string, loads map[string]dispatch.Load, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known := s.loadTracker.SetPeer(name, loads, complete, now)
	s.drainQueue(now)
	return known
}

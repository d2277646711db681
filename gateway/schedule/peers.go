package schedule

import (
	"time"

	"camphorwick.dev/policy/dispatch"
)

const (
	// suspectPenaltyMillis is the penalty of a suspected engine: the time of
	// 1.5 s to detect that an engine is unresponsive. suspectCost is the cost of a
	// suspected server of a plain service, in requests in flight.
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
// could not reach it, with the remaining time of the ejection.
func (s *Scheduler) Unreachable(f func(service, id string, remaining time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for service, tracker := range s.failureTrackers {
		tracker.Unreachable(now, func(id string, remaining time.Duration) { f(service, id, remaining) })
	}
}

// UnreachableServer is a server that a peer could not reach.
type UnreachableServer struct {
	Service, ID string
	// Remaining is the remaining time of the ejection by the peer.
	Remaining time.Duration
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
		if s.tracker(u.Service).ReportUnreachable(u.ID, u.Remaining, now) {
			s.OnPeerSuspect(peer, u.Service, u.ID)
		}
	}
}

// SetPeer records the loads that a peer has on servers: all of them if complete
// is set, otherwise those that changed. It reports whether all loads of the peer
// are known now.
func (s *Scheduler) SetPeer(name string, loads map[string]dispatch.Load, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known := s.loadTracker.SetPeer(name, loads, complete, now)
	s.placeWaiting(now)
	return known
}

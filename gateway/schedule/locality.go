package schedule

import "time"

const (
	// LargeInstallation is the number of other gateways from which a gateway knows the loads
	// of the servers in its own data centre only. It then places prompts there as long as
	// these can take them in time.
	LargeInstallation = 40
	// minLocalEngines is the number of engines from which those of the own data centre can
	// be used alone, and minLocalShare the least number of them for each gateway there, as
	// a share of that in the whole installation.
	minLocalEngines = 8
	minLocalShare   = 0.5
	// remoteWaitShare is the share of its latency target that a prompt waits for an engine
	// of its own data centre.
	remoteWaitShare = 0.25
)

// locality says whether prompts stay in the own data centre.
type locality struct {
	gateways, local int // numbers of gateways, and of those in the own data centre
}

func newLocality(gateways []Gateway, dataCentre string) locality {
	l := locality{gateways: len(gateways)}
	for _, g := range gateways {
		if g.DataCentre == dataCentre {
			l.local++
		}
	}
	return l
}

// applies reports whether prompts stay among the local engines, of so many in all.
func (l locality) applies(localEngines, engines int) bool {
	if l.gateways <= LargeInstallation || localEngines < minLocalEngines || localEngines == engines {
		return false
	}
	return float64(localEngines)*float64(l.gateways) >= minLocalShare*float64(engines)*float64(l.local)
}

// localEngines moves the engines of the own data centre to the front and returns their
// number, or that of all engines if the prompt may go to any of them. mu is held.
func (s *Scheduler) localEngines(servers []option) int {
	n := 0
	for i := range servers {
		if servers[i].server.DataCentre == s.dataCentre {
			servers[n], servers[i] = servers[i], servers[n]
			n++
		}
	}
	if !s.locality.applies(n, len(servers)) {
		return len(servers)
	}
	return n
}

// mayLeaveDataCentre reports whether a prompt that no local engine can take has waited
// long enough to go to another data centre.
func (r *Request) mayLeaveDataCentre(now time.Time) bool {
	return float64(now.Sub(r.Arrived)) >= remoteWaitShare*float64(r.LatencyTarget)
}

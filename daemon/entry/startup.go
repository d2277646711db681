package entry

import (
	"log/slog"
	"sync"
	"time"
)

// maxAgentWait bounds how long a starting entry is not ready because sessions with
// agents are missing. The platform's list may have agents that have ended, and with
// all agents away the entry must still say so to its callers.
const maxAgentWait = 3 * time.Second

// startup decides when a starting entry has the sessions that its callers need. Once
// it has them, sessions that end later do not make the entry unready.
type startup struct {
	mu    sync.Mutex // guards the fields
	since time.Time  // of the first check
	ended bool
	log   *slog.Logger
}

// wait reports whether the entry must still wait for agents. listed is false as long
// as the agents are not known.
func (s *startup) wait(now time.Time, agents []string, listed bool, usable func(vm string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	var missing []string
	for _, vm := range agents {
		if !usable(vm) {
			missing = append(missing, vm)
		}
	}
	s.ended = listed && len(missing) == 0 || now.Sub(s.since) >= maxAgentWait
	if s.ended {
		s.log.Info("wait for agents ended", "agents", len(agents), "listed", listed, "missing", missing)
	}
	return !s.ended
}

// hasAgents reports whether the sessions with agents are open, or were waited for long
// enough.
func (e *Entry) hasAgents() bool {
	agents, listed := e.member.AgentTargets()
	return !e.startup.wait(time.Now(), agents, listed, e.isUsable)
}

// isUsable reports whether there is a session with an agent.
func (e *Entry) isUsable(vm string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.agents[vm]
	return state != nil && state.usable
}

package entry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an entry that is ready before it has sessions with its agents and
// refuses its first callers, and against one that is never ready, or no longer, because
// an agent is away.
func TestStartupWaitsForAgents(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	usable := map[string]bool{}
	check := func(s *startup, after time.Duration, listed bool, agents ...string) bool {
		return s.wait(start.Add(after), agents, listed, func(vm string) bool { return usable[vm] })
	}
	newStartup := func() *startup { return &startup{log: slog.New(slog.DiscardHandler)} }
	s := newStartup()
	is.True(check(s, 0, false))                                // the list was not read
	is.True(check(s, time.Second, true, "agent-1", "agent-2")) // no session
	usable["agent-1"] = true
	is.True(check(s, time.Second, true, "agent-1", "agent-2"))
	usable["agent-2"] = true
	is.True(!check(s, time.Second, true, "agent-1", "agent-2"))
	usable["agent-2"] = false
	is.True(!check(s, 2*time.Second, true, "agent-1", "agent-2"))

	none := newStartup()
	is.True(!check(none, 0, true)) // no agents
	away := newStartup()
	is.True(check(away, 0, true, "agent-3"))
	is.True(check(away, maxAgentWait-1, true, "agent-3"))
	is.True(!check(away, maxAgentWait, true, "agent-3"))
}

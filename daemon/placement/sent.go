package placement

import (
	"strings"
	"time"

	"camphorwick.dev/policy/place"
)

// addSentCommands adds to a view what the agents' reports do not show yet: the
// effects of commands that were just carried out, and that engines get no
// commands for a while after a failure. Otherwise, a decision between a command
// and the next report would repeat the command.
func (p *Planner) addSentCommands(now time.Time, v place.View) place.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, until := range p.blockedUntil {
		if !now.Before(until) {
			delete(p.blockedUntil, vm)
		}
	}
	engines := make([]place.Engine, len(v.Engines))
	for i, e := range v.Engines {
		if _, blocked := p.blockedUntil[e.VM]; blocked {
			e.Blocked = true
		}
		engines[i] = e
	}
	v.Engines = engines
	for s, sent := range p.sent {
		i := engineIndex(engines, s.vm)
		if i < 0 || now.Sub(sent.sentAt) > reportTimeout || reportShows(engines[i], sent.command) {
			delete(p.sent, s)
			continue
		}
		engines[i].Placed = applyCommand(engines[i].Placed, sent.command)
	}
	return v
}

func engineIndex(engines []place.Engine, vm string) int {
	for i := range engines {
		if engines[i].VM == vm {
			return i
		}
	}
	return -1
}

// reportShows reports whether an engine's report shows the effect of a command.
func reportShows(e place.Engine, c place.Command) bool {
	for _, placed := range e.Placed {
		if placed.Name == placedName(c) {
			return c.Kind == place.Load && (c.Version == "" || placed.Version == c.Version)
		}
	}
	return c.Kind == place.Unload
}

// applyCommand returns the models of an engine after a command.
func applyCommand(list []place.Placed, c place.Command) []place.Placed {
	name := placedName(c)
	var result []place.Placed
	for _, placed := range list {
		if placed.Name != name && (c.Kind == place.Load || !strings.HasPrefix(placed.Name, name+"/")) {
			result = append(result, placed)
		}
	}
	if c.Kind == place.Load {
		result = append(result, place.Placed{Name: name, Version: c.Version, Loading: true})
	}
	return result
}

package placement

import (
	"strings"
	"time"

	"camphorwick.dev/policy/place"
)

// overlay adds to a view what its reports do not show yet: commands that were
// just carried out, and engines that are held back after a failure. Without
// it, a decision between a command and its report would repeat the command.
func (p *Planner) overlay(now time.Time, v place.View) place.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, until := range p.failed {
		if !now.Before(until) {
			delete(p.failed, vm)
		}
	}
	engines := make([]place.Engine, len(v.Engines))
	for i, e := range v.Engines {
		if _, held := p.failed[e.VM]; held {
			e.Held = true
		}
		engines[i] = e
	}
	v.Engines = engines
	for s, sent := range p.sent {
		i := indexOf(engines, s.vm)
		if i < 0 || now.Sub(sent.at) > reportLimit || shown(engines[i], sent.command) {
			delete(p.sent, s)
			continue
		}
		engines[i].Placed = applied(engines[i].Placed, sent.command)
	}
	return v
}

func indexOf(engines []place.Engine, vm string) int {
	for i := range engines {
		if engines[i].VM == vm {
			return i
		}
	}
	return -1
}

// shown reports whether the report of an agent includes a command.
func shown(e place.Engine, c place.Command) bool {
	for _, placed := range e.Placed {
		if placed.Name == nameOf(c) {
			return c.Kind == place.Load && (c.Version == "" || placed.Version == c.Version)
		}
	}
	return c.Kind == place.Unload
}

// applied returns what an engine has after a command.
func applied(list []place.Placed, c place.Command) []place.Placed {
	name := nameOf(c)
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

package place

import "strings"

// victim returns the model that an engine can give up for another one, or "".
// Models that no plan allows go first, then those without demand, then those
// with more engines than their target. An engine keeps the only model that is
// in use, a model in demand keeps the engines of its target, and models that
// the configuration does not list stay. It is called for full engines, which
// have at least two models, so one is left.
func (r *round) victim(e *engine) string {
	best, bestRank := "", rankKeep
	for _, placed := range e.bases() {
		if rank := r.rank(e, placed); rank < bestRank {
			best, bestRank = placed.Name, rank
		}
	}
	return best
}

// Ranks of a model on an engine; the lowest is given up first.
const (
	rankForbidden = iota
	rankIdle
	rankSurplus
	rankKeep
)

func (r *round) rank(e *engine, placed Placed) int {
	name := placed.Name
	model, managed := r.models[name]
	switch {
	case !managed || placed.Loading || r.onlyInUse(e, name):
		return rankKeep
	case !model.Allowed:
		return rankForbidden
	case !r.inDemand(name):
		return rankIdle
	case r.served(name) > r.targets[name] && r.sparesSite(e, name):
		return rankSurplus
	}
	return rankKeep
}

// onlyInUse reports whether the model is the only one on the engine that is
// loaded and in demand.
func (r *round) onlyInUse(e *engine, name string) bool {
	if !r.inDemand(name) {
		return false
	}
	for _, other := range e.bases() {
		if other.Name != name && !other.Loading && r.inDemand(other.Name) {
			return false
		}
	}
	return true
}

// sparesSite reports whether a model keeps two data centres, or as many as it
// has or should have, without this engine.
func (r *round) sparesSite(e *engine, name string) bool {
	with, without := map[string]bool{}, map[string]bool{}
	for _, holder := range r.holders(name) {
		with[holder.DataCentre] = true
		if holder != e {
			without[holder.DataCentre] = true
		}
	}
	return len(without) >= min(len(with), minEngines, r.targets[name])
}

func (r *round) load(e *engine, m Model, a Adapter) {
	c := Command{Kind: Load, VM: e.VM, Model: m.Name, Version: m.Version, Role: m.Role}
	name := m.Name
	if a.Name != "" {
		name = AdapterName(m.Name, a.Name)
		c.Adapter, c.Version, c.Role = a.Name, a.Version, ""
	}
	r.commands = append(r.commands, c)
	r.loads++
	e.busy = true
	if e.find(name) == nil {
		e.Placed = append(append([]Placed(nil), e.Placed...), Placed{Name: name, Version: c.Version, Loading: true})
	}
}

func (r *round) unload(e *engine, model string) {
	r.commands = append(r.commands, Command{Kind: Unload, VM: e.VM, Model: model})
	e.busy = true
	var left []Placed
	for _, placed := range e.Placed {
		if placed.Name != model && !strings.HasPrefix(placed.Name, model+"/") {
			left = append(left, placed)
		}
	}
	e.Placed = left
}

// complete commands the version and the adapters that engines of a model in
// demand lack. Of a changed version, one engine at a time is loaded anew.
func (r *round) complete(m Model) {
	if !m.Allowed || !r.inDemand(m.Name) {
		return
	}
	for _, e := range r.holders(m.Name) {
		if e.busy || r.loads >= r.config.MaxLoads {
			continue
		}
		if a, ok := missingAdapter(e, m); ok {
			r.load(e, m, a)
			continue
		}
		if m.Version != "" && e.find(m.Name).Version != m.Version && !r.changing(m) {
			r.load(e, m, Adapter{})
		}
	}
}

// changing reports whether an engine of the model has a command or a load.
func (r *round) changing(m Model) bool {
	for _, e := range r.holders(m.Name) {
		if e.busy {
			return true
		}
	}
	return false
}

func missingAdapter(e *engine, m Model) (Adapter, bool) {
	for _, a := range m.Adapters {
		placed := e.find(AdapterName(m.Name, a.Name))
		if placed == nil || a.Version != "" && placed.Version != a.Version {
			return a, true
		}
	}
	return Adapter{}, false
}

// removeForbidden unloads models that no plan allows, one engine per model and
// decision. The last model of an engine stays.
func (r *round) removeForbidden() {
	for name, m := range r.models {
		if m.Allowed {
			continue
		}
		for _, e := range r.holders(name) {
			if !e.busy && len(e.bases()) > 1 && !r.onlyInUse(e, name) {
				r.unload(e, name)
				break
			}
		}
	}
}

// AdapterName returns the name under which requests ask for an adapter.
func AdapterName(model, adapter string) string { return model + "/" + adapter }

// BaseName returns the model of a name that may be that of an adapter.
func BaseName(name string) string {
	model, _, _ := strings.Cut(name, "/")
	return model
}

func isAdapter(name string) bool { return strings.Contains(name, "/") }

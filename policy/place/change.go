package place

import (
	"maps"
	"slices"
	"strings"
)

// modelToUnload returns the model that an engine can unload to make room for
// another one, or "". Models that no plan allows go first, then those without
// demand, then those with more engines than their target. Models that the
// configuration does not list stay, and so does the only model in use on the
// engine. modelToUnload is called for full engines, which have at least two
// models, so one is left.
func (r *decision) modelToUnload(e *plannedEngine) string {
	best, bestRank := "", rankKeep
	for _, placed := range e.baseModels() {
		if rank := r.rank(e, placed); rank < bestRank {
			best, bestRank = placed.Name, rank
		}
	}
	return best
}

// Ranks of a model on an engine; the model with the lowest rank is unloaded
// first. A forbidden model is one that no plan allows, an idle one has no
// demand, and a surplus one has more engines than its target.
const (
	rankForbidden = iota
	rankIdle
	rankSurplus
	rankKeep
)

func (r *decision) rank(e *plannedEngine, placed Placed) int {
	name := placed.Name
	model, managed := r.models[name]
	switch {
	case !managed || placed.Loading || r.isOnlyModelInUse(e, name):
		return rankKeep
	case !model.Allowed:
		return rankForbidden
	case !r.hasDemand(name):
		return rankIdle
	case r.loadedCount(name) > r.targets[name] && r.keepsDataCentres(e, name):
		return rankSurplus
	}
	return rankKeep
}

// isOnlyModelInUse reports whether the model has demand and no other loaded model
// on the engine has.
func (r *decision) isOnlyModelInUse(e *plannedEngine, name string) bool {
	if !r.hasDemand(name) {
		return false
	}
	for _, other := range e.baseModels() {
		if other.Name != name && !other.Loading && r.hasDemand(other.Name) {
			return false
		}
	}
	return true
}

// keepsDataCentres reports whether a model is still in two data centres if this
// engine unloads it, or in as many as it is in now, or as many as its target if
// one of these is fewer.
func (r *decision) keepsDataCentres(e *plannedEngine, name string) bool {
	with, without := map[string]bool{}, map[string]bool{}
	for _, host := range r.hosts(name) {
		with[host.DataCentre] = true
		if host != e {
			without[host.DataCentre] = true
		}
	}
	return len(without) >= min(len(with), minEngines, r.targets[name])
}

func (r *decision) commandLoad(e *plannedEngine, m Model, a Adapter) {
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

func (r *decision) commandUnload(e *plannedEngine, model string) {
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

// loadMissingVersionsAndAdapters loads the versions and adapters that are
// missing on the engines of a model with demand. A changed version is loaded on
// one engine at a time.
func (r *decision) loadMissingVersionsAndAdapters(m Model) {
	if !m.Allowed || !r.hasDemand(m.Name) {
		return
	}
	for _, e := range r.hosts(m.Name) {
		if e.busy || r.loads >= r.config.MaxLoads {
			continue
		}
		if a, ok := missingAdapter(e, m); ok {
			r.commandLoad(e, m, a)
			continue
		}
		if m.Version != "" && e.find(m.Name).Version != m.Version && !r.changeInProgress(m) {
			r.commandLoad(e, m, Adapter{})
		}
	}
}

// changeInProgress reports whether an engine of the model is busy.
func (r *decision) changeInProgress(m Model) bool {
	for _, e := range r.hosts(m.Name) {
		if e.busy {
			return true
		}
	}
	return false
}

func missingAdapter(e *plannedEngine, m Model) (Adapter, bool) {
	for _, a := range m.Adapters {
		placed := e.find(AdapterName(m.Name, a.Name))
		if placed == nil || a.Version != "" && placed.Version != a.Version {
			return a, true
		}
	}
	return Adapter{}, false
}

// removeForbidden unloads models that no plan allows, from one engine per model
// and decision. The last model of an engine stays.
func (r *decision) removeForbidden() {
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		if r.models[name].Allowed {
			continue
		}
		for _, e := range r.hosts(name) {
			if !e.busy && len(e.baseModels()) > 1 && !r.isOnlyModelInUse(e, name) {
				r.commandUnload(e, name)
				break
			}
		}
	}
}

// AdapterName returns the name with which requests select an adapter.
func AdapterName(model, adapter string) string { return model + "/" + adapter }

// BaseName returns the model of a name that may name an adapter.
func BaseName(name string) string {
	model, _, _ := strings.Cut(name, "/")
	return model
}

func isAdapter(name string) bool { return strings.Contains(name, "/") }

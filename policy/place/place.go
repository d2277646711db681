// Package place decides which engine should serve which model. Loading weights
// takes long and the platform limits how many loads may start, so a decision
// changes few placements at a time, applies hysteresis, and prefers commands that
// bring a model without an engine into service.
//
// A Planner performs no I/O, takes the time as an argument and is not safe for
// concurrent use.
package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is the kind of a command. The values are those of the field Kind of
// backend.Command.
type Kind string

// Kinds of commands.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Model is a model that the fleet may serve.
type Model struct {
	Name string
	// Version is the desired version; "" accepts the version that is loaded.
	Version string
	// Adapters are loaded on each engine that serves the model.
	Adapters []Adapter
	// Role is the role that an engine gets with the load of the model, a name that
	// the engine knows. "" leaves the role of the engine unchanged.
	Role string
	// Allowed reports whether some plan may use the model or one of its adapters.
	Allowed bool
}

// Adapter is a set of weights that an engine loads in addition to a model. ""
// as version accepts any.
type Adapter struct {
	Name, Version string
}

// Placed is a model or adapter on an engine, as its agent reports it.
type Placed struct {
	// Name is the name of the model, or "model/adapter".
	Name string
	// Version is "" if the agent does not know it.
	Version string
	// Loading reports whether the load is in progress.
	Loading bool
}

// Engine is an engine that commands can reach.
type Engine struct {
	VM         string
	DataCentre string
	Placed     []Placed
	// PendingTokens are the prefill tokens that wait or run there.
	PendingTokens int
	// PrefillTokensPerSecond is the speed of the engine.
	PrefillTokensPerSecond int
	// Draining reports whether the engine is being taken out of service. Such an
	// engine gets no commands and does not count as serving a model.
	Draining bool
	// Blocked reports whether the engine gets no commands for now, although it
	// counts as serving its models.
	Blocked bool
}

// View is what a planner knows of the fleet.
type View struct {
	Models []Model
	// Demand is the demand by model name, summed over the entries.
	Demand  map[string]Demand
	Engines []Engine
}

// Command is one load or unload of a model or an adapter on an engine.
type Command struct {
	Kind Kind
	VM   string
	// Adapter is "" for a command that concerns the model itself. Version is that
	// of the model or of the adapter. Version and Role are "" for an unload.
	Model, Version, Adapter, Role string
}

// Config sets the limits and delays of a Planner. Zero fields get the defaults.
type Config struct {
	// MaxLoads is the maximum number of loads in progress in the fleet.
	MaxLoads int
	// ModelsPerEngine is the number of models that fit on one engine. It is at
	// least 2, because an engine loads a new model before it unloads the only
	// other one.
	ModelsPerEngine int
	// ScaleUpDelay is how long a model must need more engines before its target
	// rises.
	ScaleUpDelay time.Duration
	// ScaleDownDelay is how long a model must need fewer engines before its
	// target falls.
	ScaleDownDelay time.Duration
}

// Defaults of Config.
const (
	defaultMaxLoads        = 4
	defaultModelsPerEngine = 2
	defaultScaleUpDelay    = 2 * time.Second
	defaultScaleDownDelay  = time.Minute
)

// The target of a model rises if the prefill utilisation of its engines is above
// highUtilisation, and falls if it is below lowUtilisation. Between the two it
// stays, so that it does not follow small changes of demand.
const (
	highUtilisation = 0.7
	lowUtilisation  = 0.4
)

const (
	// minEngines is the minimum number of engines of a model with demand, so that
	// it stays available when one data centre fails.
	minEngines = 2
	// requestOverheadTokens is the cost of decoding the answer of a request, in
	// prefill tokens. It is added to the tokens of the prompt, because decoding
	// takes a share of each engine step.
	requestOverheadTokens = 256
)

// Planner decides on commands and keeps the targets of the models between
// decisions.
type Planner struct {
	config  Config
	targets map[string]*target // by model name
}

// target is the number of engines that a model should have.
type target struct {
	engines int
	// aboveSince is the time since which the model has needed more engines than
	// the target, and belowSince that since which it has needed fewer; zero if it
	// does not now.
	aboveSince, belowSince time.Time
}

// New returns a planner without targets.
func New(c Config) *Planner {
	if c.MaxLoads <= 0 {
		c.MaxLoads = defaultMaxLoads
	}
	c.ModelsPerEngine = max(c.ModelsPerEngine, defaultModelsPerEngine)
	if c.ScaleUpDelay <= 0 {
		c.ScaleUpDelay = defaultScaleUpDelay
	}
	if c.ScaleDownDelay <= 0 {
		c.ScaleDownDelay = defaultScaleDownDelay
	}
	return &Planner{config: c, targets: map[string]*target{}}
}

// Decide returns the next commands, most urgent first: loads of models without an
// engine, further loads and the unloads that make room for them, missing versions
// and adapters, and unloads of models that no plan allows.
func (p *Planner) Decide(now time.Time, v View) []Command {
	r := newDecision(p, v)
	models := slices.Clone(v.Models)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(r.tokenDemand(b.Name), r.tokenDemand(a.Name)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		r.targets[m.Name] = p.target(now, m, r)
	}
	r.capTargets(models)
	for _, m := range models {
		if r.targets[m.Name] > 0 && len(r.hosts(m.Name)) == 0 {
			r.addEngine(m)
		}
	}
	for _, m := range models {
		for len(r.hosts(m.Name)) < r.targets[m.Name] && r.addEngine(m) {
			// addEngine has commanded a load, which counts as a host from now on.
		}
		r.addSecondDataCentre(m)
	}
	for _, m := range models {
		r.loadMissingVersionsAndAdapters(m)
	}
	if !r.lacksEngines {
		r.removeForbidden()
	}
	return r.commands
}

// target updates and returns the number of engines that a model should have.
func (p *Planner) target(now time.Time, m Model, r *decision) int {
	t := p.targets[m.Name]
	if t == nil {
		// A new planner keeps the engines that the model has, as far as it needs
		// them.
		t = &target{engines: min(len(r.hosts(m.Name)), r.enginesNeeded(m, lowUtilisation))}
		p.targets[m.Name] = t
	}
	neededAtHighUtilisation, neededAtLowUtilisation := r.enginesNeeded(m, highUtilisation), r.enginesNeeded(m, lowUtilisation)
	switch {
	case neededAtHighUtilisation > t.engines:
		t.belowSince = time.Time{}
		if t.aboveSince.IsZero() {
			t.aboveSince = now
		}
		// A model without engines gets them without delay.
		if t.engines == 0 || now.Sub(t.aboveSince) >= p.config.ScaleUpDelay {
			t.engines, t.aboveSince = neededAtHighUtilisation, time.Time{}
		}
	case neededAtLowUtilisation < t.engines:
		t.aboveSince = time.Time{}
		if t.belowSince.IsZero() {
			t.belowSince = now
		}
		if now.Sub(t.belowSince) >= p.config.ScaleDownDelay {
			t.engines, t.belowSince = neededAtLowUtilisation, time.Time{}
		}
	default:
		t.aboveSince, t.belowSince = time.Time{}, time.Time{}
	}
	return t.engines
}

// decision is the state of one call of Decide.
type decision struct {
	config    Config
	view      View
	targets   map[string]int   // by model name
	models    map[string]Model // by name
	engines   []*plannedEngine // that are not draining, sorted by VM
	meanSpeed float64          // mean prefill speed of these engines in tokens/s
	loads     int              // loads in progress or commanded
	commands  []Command
	// lacksEngines reports whether addEngine was called because a model has too
	// few engines.
	lacksEngines bool
}

// plannedEngine is an engine with the commands of this decision applied.
type plannedEngine struct {
	Engine
	// busy reports whether the engine gets no further command: it is blocked,
	// loads a model or has a command of this decision.
	busy bool
}

func newDecision(p *Planner, v View) *decision {
	r := &decision{config: p.config, view: v, targets: map[string]int{}, models: map[string]Model{}}
	for _, m := range v.Models {
		r.models[m.Name] = m
	}
	for _, e := range v.Engines {
		working := &plannedEngine{Engine: e, busy: e.Blocked}
		for _, placed := range e.Placed {
			if placed.Loading {
				r.loads++
				working.busy = true
			}
		}
		if e.Draining {
			continue
		}
		r.engines = append(r.engines, working)
		r.meanSpeed += float64(max(e.PrefillTokensPerSecond, 1))
	}
	slices.SortFunc(r.engines, func(a, b *plannedEngine) int { return cmp.Compare(a.VM, b.VM) })
	r.meanSpeed /= math.Max(float64(len(r.engines)), 1)
	return r
}

// tokenDemand returns the demand for a model in prefill tokens per second.
func (r *decision) tokenDemand(model string) float64 {
	d := r.view.Demand[model]
	return d.PrefillTokens + d.Requests*requestOverheadTokens
}

// hasDemand reports whether requests for the model arrive at the rate minDemand
// or more.
func (r *decision) hasDemand(model string) bool { return r.view.Demand[model].Requests >= minDemand }

// enginesNeeded returns the number of engines that a model needs for its demand
// if their prefill utilisation is to be at most the given one.
func (r *decision) enginesNeeded(m Model, utilisation float64) int {
	if !m.Allowed || !r.hasDemand(m.Name) || len(r.engines) == 0 {
		return 0
	}
	n := int(math.Ceil(r.tokenDemand(m.Name) / (r.meanSpeed * utilisation)))
	return min(max(n, minEngines), len(r.engines))
}

// capTargets reduces the targets until their sum fits on the engines. The model
// with the least demand per engine is reduced first and keeps at least one
// engine.
func (r *decision) capTargets(models []Model) {
	sum := 0
	for _, n := range r.targets {
		sum += n
	}
	for ; sum > len(r.engines)*r.config.ModelsPerEngine; sum-- {
		lowest := ""
		for _, m := range models {
			n := r.targets[m.Name]
			if n > 1 && (lowest == "" || r.tokenDemandPerEngine(m.Name) < r.tokenDemandPerEngine(lowest)) {
				lowest = m.Name
			}
		}
		if lowest == "" {
			return
		}
		r.targets[lowest]--
	}
}

func (r *decision) tokenDemandPerEngine(model string) float64 {
	return r.tokenDemand(model) / float64(max(r.targets[model], 1))
}

// hosts returns the engines that serve a model or load it.
func (r *decision) hosts(model string) []*plannedEngine {
	var list []*plannedEngine
	for _, e := range r.engines {
		if e.find(model) != nil {
			list = append(list, e)
		}
	}
	return list
}

// loadedCount returns the number of engines that have loaded a model.
func (r *decision) loadedCount(model string) int {
	n := 0
	for _, e := range r.hosts(model) {
		if !e.find(model).Loading {
			n++
		}
	}
	return n
}

func (e *plannedEngine) find(name string) *Placed {
	for i := range e.Placed {
		if e.Placed[i].Name == name {
			return &e.Placed[i]
		}
	}
	return nil
}

// baseModels returns the models on the engine, without adapters.
func (e *plannedEngine) baseModels() []Placed {
	var list []Placed
	for _, placed := range e.Placed {
		if !isAdapter(placed.Name) {
			list = append(list, placed)
		}
	}
	return list
}

// addEngine commands a load of a model on one more engine, or an unload that
// makes room for it. It returns true only if it commanded a load.
func (r *decision) addEngine(m Model) bool {
	r.lacksEngines = true
	if r.loads >= r.config.MaxLoads {
		return false
	}
	e, modelToUnload := r.chooseEngine(m, nil)
	switch {
	case e == nil:
		return false
	case modelToUnload != "":
		r.commandUnload(e, modelToUnload)
		return false // a later decision loads the model, when the agent has reported the unload
	}
	r.commandLoad(e, m, Adapter{})
	return true
}

// addSecondDataCentre loads a model whose engines are all in one data centre on
// an engine in another one, or unloads a model to make room there.
func (r *decision) addSecondDataCentre(m Model) {
	hosts := r.hosts(m.Name)
	if r.targets[m.Name] < minEngines || len(hosts) == 0 || r.loads >= r.config.MaxLoads {
		return
	}
	first := hosts[0].DataCentre
	elsewhere := func(e *plannedEngine) bool { return e.DataCentre != first }
	if slices.ContainsFunc(hosts, elsewhere) {
		return
	}
	if e, modelToUnload := r.chooseEngine(m, elsewhere); e != nil && modelToUnload == "" {
		r.commandLoad(e, m, Adapter{})
	} else if e != nil {
		r.commandUnload(e, modelToUnload)
	}
}

// chooseEngine returns the best engine for one more copy of a model, or nil, and
// the model to unload there first, or "". If eligible is not nil, only engines
// for which it returns true are considered.
func (r *decision) chooseEngine(m Model, eligible func(*plannedEngine) bool) (best *plannedEngine, modelToUnload string) {
	perDataCentre := map[string]int{}
	for _, e := range r.hosts(m.Name) {
		perDataCentre[e.DataCentre]++
	}
	// The best engine is in the data centre with the fewest engines of the model.
	// Among these, one that needs no unload is preferred, then the one with the
	// fewest models, then the one with the least pending prefill.
	compare := func(a, b *plannedEngine, unloadA, unloadB string) int {
		return cmp.Or(cmp.Compare(perDataCentre[a.DataCentre], perDataCentre[b.DataCentre]), cmp.Compare(boolToInt(unloadA != ""), boolToInt(unloadB != "")),
			cmp.Compare(len(a.baseModels()), len(b.baseModels())), cmp.Compare(a.PendingTokens, b.PendingTokens), cmp.Compare(a.VM, b.VM))
	}
	for _, e := range r.engines {
		if e.busy || e.find(m.Name) != nil || eligible != nil && !eligible(e) {
			continue
		}
		unload := ""
		if len(e.baseModels()) >= r.config.ModelsPerEngine {
			if unload = r.modelToUnload(e); unload == "" {
				continue
			}
		}
		if best == nil || compare(e, best, unload, modelToUnload) < 0 {
			best, modelToUnload = e, unload
		}
	}
	return best, modelToUnload
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

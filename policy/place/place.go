// Package place decides which engine should serve which model. Loading weights
// takes long and the platform limits how many loads may start, so the decision
// changes little at a time and with hysteresis, and prefers commands that
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

// Kind is the kind of a command; the values are those of backend.Order.
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
	// Role of the engines that serve the model; "" leaves their role.
	Role string
	// Allowed says that some plan may use the model or one of its adapters.
	Allowed bool
}

// Adapter is an adapter of a model; "" as version accepts any.
type Adapter struct {
	Name, Version string
}

// Placed is a model or adapter on an engine, as its agent reports it.
type Placed struct {
	// Name is that of the model, or "model/adapter".
	Name string
	// Version is "" if the agent does not know it.
	Version string
	// Loading says that the load has begun and not ended.
	Loading bool
}

// Engine is an engine that commands can reach.
type Engine struct {
	VM         string
	DataCentre string
	Placed     []Placed
	// QueuedTokens are the prefill tokens that wait or run there.
	QueuedTokens int
	// PrefillTokensPerSecond is the speed of the engine.
	PrefillTokensPerSecond int
	// Draining engines get no commands and do not count as serving a model.
	Draining bool
	// Held engines get no commands for now, but count.
	Held bool
}

// View is what a planner knows of the fleet.
type View struct {
	Models []Model
	// Demand by model name, summed over the entries.
	Demand  map[string]Demand
	Engines []Engine
}

// Command is a desired state of one engine.
type Command struct {
	Kind                          Kind
	VM                            string
	Model, Version, Adapter, Role string
}

// Config tunes a Planner. Zero fields get the defaults.
type Config struct {
	// MaxLoads is the largest number of loads in progress in the fleet.
	MaxLoads int
	// ModelsPerEngine is the number of models that fit on one engine, at
	// least 2: an engine gets its next model before it loses the last one.
	ModelsPerEngine int
	// UpHold is how long a model must need more engines before it gets them.
	UpHold time.Duration
	// DownHold is how long a model must need fewer engines before its target
	// falls.
	DownHold time.Duration
}

// Defaults of Config.
const (
	defaultMaxLoads        = 4
	defaultModelsPerEngine = 2
	defaultUpHold          = 2 * time.Second
	defaultDownHold        = time.Minute
)

// Utilisation of engines by prefill at which the target rises and falls. The
// gap between them keeps a target from following small changes of demand.
const (
	highUtilisation = 0.7
	lowUtilisation  = 0.4
)

const (
	// minEngines is the number of engines of a model in demand, so that one
	// data centre may fail.
	minEngines = 2
	// requestTokens is the prefill work in tokens that a request costs beside
	// its prompt: decoding takes a share of each step.
	requestTokens = 256
)

// Planner holds the targets between decisions.
type Planner struct {
	config  Config
	targets map[string]*target
}

// target is the number of engines that a model should have.
type target struct {
	engines int
	// above and below are when the need first left the target in that
	// direction; zero if it has not.
	above, below time.Time
}

// New returns a planner without history.
func New(c Config) *Planner {
	if c.MaxLoads <= 0 {
		c.MaxLoads = defaultMaxLoads
	}
	c.ModelsPerEngine = max(c.ModelsPerEngine, defaultModelsPerEngine)
	if c.UpHold <= 0 {
		c.UpHold = defaultUpHold
	}
	if c.DownHold <= 0 {
		c.DownHold = defaultDownHold
	}
	return &Planner{config: c, targets: map[string]*target{}}
}

// Decide returns the next commands, most urgent first: loads of models without
// an engine, further loads and the unloads that make room for them, missing
// versions and adapters, and unloads of models that no plan allows.
func (p *Planner) Decide(now time.Time, v View) []Command {
	r := newRound(p, v)
	models := slices.Clone(v.Models)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(r.cost(b.Name), r.cost(a.Name)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range models {
		r.targets[m.Name] = p.target(now, m, r)
	}
	r.trim(models)
	for _, m := range models {
		if r.targets[m.Name] > 0 && len(r.holders(m.Name)) == 0 {
			r.add(m)
		}
	}
	for _, m := range models {
		for len(r.holders(m.Name)) < r.targets[m.Name] && r.add(m) {
		}
		r.spread(m)
	}
	for _, m := range models {
		r.complete(m)
	}
	if !r.loadWanted {
		r.removeForbidden()
	}
	return r.commands
}

// target returns the number of engines that a model should have.
func (p *Planner) target(now time.Time, m Model, r *round) int {
	t := p.targets[m.Name]
	if t == nil {
		t = &target{engines: min(len(r.holders(m.Name)), r.need(m, lowUtilisation))}
		p.targets[m.Name] = t
	}
	high, low := r.need(m, highUtilisation), r.need(m, lowUtilisation)
	switch {
	case high > t.engines:
		t.below = time.Time{}
		if t.above.IsZero() {
			t.above = now
		}
		if t.engines == 0 || now.Sub(t.above) >= p.config.UpHold {
			t.engines, t.above = high, time.Time{}
		}
	case low < t.engines:
		t.above = time.Time{}
		if t.below.IsZero() {
			t.below = now
		}
		if now.Sub(t.below) >= p.config.DownHold {
			t.engines, t.below = low, time.Time{}
		}
	default:
		t.above, t.below = time.Time{}, time.Time{}
	}
	return t.engines
}

// round is the working state of one decision.
type round struct {
	config   Config
	view     View
	targets  map[string]int
	models   map[string]Model
	engines  []*engine
	speed    float64 // mean prefill speed of the usable engines
	loads    int     // loads in progress or commanded
	commands []Command
	// loadWanted says that a model lacks engines.
	loadWanted bool
}

// engine is an engine with the effect of the commands of this round.
type engine struct {
	Engine
	// busy says that a load is in progress or that a command was given.
	busy bool
}

func newRound(p *Planner, v View) *round {
	r := &round{config: p.config, view: v, targets: map[string]int{}, models: map[string]Model{}}
	for _, m := range v.Models {
		r.models[m.Name] = m
	}
	for _, e := range v.Engines {
		working := &engine{Engine: e, busy: e.Held}
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
		r.speed += float64(max(e.PrefillTokensPerSecond, 1))
	}
	slices.SortFunc(r.engines, func(a, b *engine) int { return cmp.Compare(a.VM, b.VM) })
	r.speed /= math.Max(float64(len(r.engines)), 1)
	return r
}

// cost returns the demand for a model in prefill tokens per second.
func (r *round) cost(model string) float64 {
	d := r.view.Demand[model]
	return d.PrefillTokens + d.Requests*requestTokens
}

// inDemand reports whether requests for the model arrive.
func (r *round) inDemand(model string) bool { return r.view.Demand[model].Requests >= minDemand }

// need returns the engines that the demand for a model takes at a utilisation.
func (r *round) need(m Model, utilisation float64) int {
	if !m.Allowed || !r.inDemand(m.Name) || len(r.engines) == 0 {
		return 0
	}
	n := int(math.Ceil(r.cost(m.Name) / (r.speed * utilisation)))
	return min(max(n, minEngines), len(r.engines))
}

// trim reduces targets that do not fit on the engines together. The model
// with the least demand per engine gives way first.
func (r *round) trim(models []Model) {
	sum := 0
	for _, n := range r.targets {
		sum += n
	}
	for ; sum > len(r.engines)*r.config.ModelsPerEngine; sum-- {
		lowest := ""
		for _, m := range models {
			n := r.targets[m.Name]
			if n > 1 && (lowest == "" || r.perEngine(m.Name) < r.perEngine(lowest)) {
				lowest = m.Name
			}
		}
		if lowest == "" {
			return
		}
		r.targets[lowest]--
	}
}

func (r *round) perEngine(model string) float64 {
	return r.cost(model) / float64(max(r.targets[model], 1))
}

// holders returns the engines that serve a model or load it.
func (r *round) holders(model string) []*engine {
	var list []*engine
	for _, e := range r.engines {
		if e.find(model) != nil {
			list = append(list, e)
		}
	}
	return list
}

// served counts the engines that have loaded a model.
func (r *round) served(model string) int {
	n := 0
	for _, e := range r.holders(model) {
		if !e.find(model).Loading {
			n++
		}
	}
	return n
}

func (e *engine) find(name string) *Placed {
	for i := range e.Placed {
		if e.Placed[i].Name == name {
			return &e.Placed[i]
		}
	}
	return nil
}

// bases returns the models on the engine, without adapters.
func (e *engine) bases() []Placed {
	var list []Placed
	for _, placed := range e.Placed {
		if !isAdapter(placed.Name) {
			list = append(list, placed)
		}
	}
	return list
}

// add commands one more engine for a model, or an unload that makes room for
// it. It returns false if neither is possible now.
func (r *round) add(m Model) bool {
	r.loadWanted = true
	if r.loads >= r.config.MaxLoads {
		return false
	}
	e, victim := r.choose(m, nil)
	switch {
	case e == nil:
		return false
	case victim != "":
		r.unload(e, victim)
		return false // the room is there when the agent has reported it
	}
	r.load(e, m, Adapter{})
	return true
}

// spread gives a model in demand an engine in a second data centre.
func (r *round) spread(m Model) {
	holders := r.holders(m.Name)
	if r.targets[m.Name] < minEngines || len(holders) == 0 || r.loads >= r.config.MaxLoads {
		return
	}
	site := holders[0].DataCentre
	elsewhere := func(e *engine) bool { return e.DataCentre != site }
	if slices.ContainsFunc(holders, elsewhere) {
		return
	}
	if e, victim := r.choose(m, elsewhere); e != nil && victim == "" {
		r.load(e, m, Adapter{})
	} else if e != nil {
		r.unload(e, victim)
	}
}

// choose returns the best engine for one more copy of a model and the model
// that must make room there, or "". fits restricts the choice if not nil.
func (r *round) choose(m Model, fits func(*engine) bool) (best *engine, victim string) {
	sites := map[string]int{}
	for _, e := range r.holders(m.Name) {
		sites[e.DataCentre]++
	}
	less := func(a, b *engine, va, vb string) int {
		return cmp.Or(cmp.Compare(sites[a.DataCentre], sites[b.DataCentre]), cmp.Compare(btoi(va != ""), btoi(vb != "")),
			cmp.Compare(len(a.bases()), len(b.bases())), cmp.Compare(a.QueuedTokens, b.QueuedTokens), cmp.Compare(a.VM, b.VM))
	}
	for _, e := range r.engines {
		if e.busy || e.find(m.Name) != nil || fits != nil && !fits(e) {
			continue
		}
		v := ""
		if len(e.bases()) >= r.config.ModelsPerEngine {
			if v = r.victim(e); v == "" {
				continue
			}
		}
		if best == nil || less(e, best, v, victim) < 0 {
			best, victim = e, v
		}
	}
	return best, victim
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func engineOf(vm, dataCentre string, models ...string) Engine {
	e := Engine{VM: vm, DataCentre: dataCentre, PrefillTokensPerSecond: 1000}
	for _, m := range models {
		e.Placed = append(e.Placed, Placed{Name: m})
	}
	return e
}

func loading(e Engine, model string) Engine {
	e.Placed = append(e.Placed, Placed{Name: model, Loading: true})
	return e
}

func allowed(names ...string) []Model {
	var list []Model
	for _, n := range names {
		list = append(list, Model{Name: n, Allowed: true})
	}
	return list
}

// Guards against decisions that break a rule. The name of each case is the rule,
// want is the only right list of commands.
func TestDecide(t *testing.T) {
	some := Demand{Requests: 1}
	blocked := engineOf("e1", "dc-1")
	blocked.Blocked = true
	draining := engineOf("e1", "dc-1")
	draining.Draining = true
	cases := []struct {
		name string
		view View
		want []Command
	}{
		{"a model without an engine gets two in different data centres",
			View{Models: allowed("a", "b"), Demand: map[string]Demand{"b": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a"), engineOf("e2", "dc-1", "a"), engineOf("e3", "dc-2", "a")}},
			[]Command{{Kind: Load, VM: "e1", Model: "b"}, {Kind: Load, VM: "e3", Model: "b"}}},
		{"a load in progress is not repeated",
			View{Models: allowed("a"), Demand: map[string]Demand{"a": some},
				Engines: []Engine{loading(engineOf("e1", "dc-1"), "a"), loading(engineOf("e2", "dc-2"), "a")}}, nil},
		{"without demand there are no commands",
			View{Models: allowed("a", "b"), Engines: []Engine{engineOf("e1", "dc-1", "a")}}, nil},
		{"a draining engine gets nothing",
			View{Models: allowed("a"), Demand: map[string]Demand{"a": some}, Engines: []Engine{draining}}, nil},
		{"the only model of an engine that is in use stays",
			View{Models: allowed("a", "b", "c"), Demand: map[string]Demand{"a": some, "c": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a", "b")}},
			[]Command{{Kind: Unload, VM: "e1", Model: "b"}}},
		{"a full engine first unloads a model that no plan allows",
			View{Models: append(allowed("a", "c"), Model{Name: "old"}), Demand: map[string]Demand{"c": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a", "old")}},
			[]Command{{Kind: Unload, VM: "e1", Model: "old"}}},
		{"a forbidden model is unloaded when there are no other commands",
			View{Models: append(allowed("a"), Model{Name: "old"}), Engines: []Engine{engineOf("e1", "dc-1", "a", "old")}},
			[]Command{{Kind: Unload, VM: "e1", Model: "old"}}},
		{"a forbidden model stays while it is the last one",
			View{Models: []Model{{Name: "old"}}, Engines: []Engine{engineOf("e1", "dc-1", "old")}}, nil},
		{"a forbidden model stays if it is the only one in use",
			View{Models: append(allowed("a", "c"), Model{Name: "old"}), Demand: map[string]Demand{"old": some, "c": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a", "old")}},
			[]Command{{Kind: Unload, VM: "e1", Model: "a"}}},
		{"a model that is not listed stays",
			View{Models: allowed("a", "c"), Demand: map[string]Demand{"a": some, "c": some}, Engines: []Engine{engineOf("e1", "dc-1", "a", "x")}}, nil},
		{"a blocked engine gets nothing",
			View{Models: allowed("a"), Demand: map[string]Demand{"a": some}, Engines: []Engine{blocked}}, nil},
		{"a second data centre is used when all engines of a model are in one",
			View{Models: allowed("a", "b"), Demand: map[string]Demand{"a": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a"), engineOf("e2", "dc-1", "a"), engineOf("e3", "dc-2", "b")}},
			[]Command{{Kind: Load, VM: "e3", Model: "a"}}},
		{"a model without an engine goes before the second engine of another",
			View{Models: allowed("a", "b", "c"), Demand: map[string]Demand{"a": {Requests: 2}, "b": {Requests: 3}, "c": {Requests: 1}},
				Engines: []Engine{engineOf("e1", "dc-1", "a", "b"), engineOf("e2", "dc-2", "a", "b")}},
			[]Command{{Kind: Unload, VM: "e1", Model: "a"}}},
		{"versions change on one engine at a time",
			View{Models: []Model{{Name: "a", Version: "2", Allowed: true}}, Demand: map[string]Demand{"a": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a"), engineOf("e2", "dc-2", "a")}},
			[]Command{{Kind: Load, VM: "e1", Model: "a", Version: "2"}}},
		{"an adapter follows its model",
			View{Models: []Model{{Name: "a", Allowed: true, Adapters: []Adapter{{"x", "1"}}}}, Demand: map[string]Demand{"a": some},
				Engines: []Engine{engineOf("e1", "dc-1", "a"), engineOf("e2", "dc-2", "a", "a/x")}},
			[]Command{{Kind: Load, VM: "e1", Model: "a", Version: "1", Adapter: "x"}, {Kind: Load, VM: "e2", Model: "a", Version: "1", Adapter: "x"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(New(Config{}).Decide(start, tc.view), tc.want)
		})
	}
}

// simulatedFleet applies the commands of a planner. Unloads take effect at once,
// loads after loadTime.
type simulatedFleet struct {
	engines  []Engine
	loadTime time.Duration
	ready    map[string]time.Time // end of the last load by VM and model
	loads    int                  // number of loads started
}

func (f *simulatedFleet) apply(now time.Time, commands []Command) {
	for _, c := range commands {
		for i := range f.engines {
			e := &f.engines[i]
			if e.VM != c.VM {
				continue
			}
			if c.Kind == Unload {
				e.Placed = without(e.Placed, c.Model)
				continue
			}
			f.loads++
			e.Placed = append(without(e.Placed, c.Model), Placed{Name: c.Model, Version: c.Version, Loading: true})
			f.ready[c.VM+" "+c.Model] = now.Add(f.loadTime)
		}
	}
}

func (f *simulatedFleet) finishLoads(now time.Time) {
	for i := range f.engines {
		for j := range f.engines[i].Placed {
			placed := &f.engines[i].Placed[j]
			if placed.Loading && !now.Before(f.ready[f.engines[i].VM+" "+placed.Name]) {
				placed.Loading = false
			}
		}
	}
}

func without(list []Placed, name string) []Placed {
	var left []Placed
	for _, p := range list {
		if p.Name != name {
			left = append(left, p)
		}
	}
	return left
}

// Guards against unloads that depend on the order of a map: two planners with the same
// view, or one that decides again, would choose different models.
func TestOrderOfUnloads(t *testing.T) {
	is := is.New(t)
	view := View{Models: []Model{{Name: "a", Allowed: true}, {Name: "b"}, {Name: "c"}, {Name: "d"}},
		Engines: []Engine{engineOf("e1", "dc-1", "a", "b", "c", "d"), engineOf("e2", "dc-1", "a", "b", "c", "d")}}
	for range 50 {
		var models []string
		for _, c := range New(Config{}).Decide(start, view) {
			models = append(models, c.Model)
		}
		is.Equal(models, []string{"b", "c"}) // one command per engine
	}
}

// Guards against decisions that break a limit under some demand: too many loads
// in progress, too many models on an engine, an engine that unloads its only
// model in use, or repeated loads. It also guards against commands that do not
// end under constant demand (oscillation).
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{MaxLoads: rapid.IntRange(1, 5).Draw(t, "loads"), ModelsPerEngine: rapid.IntRange(2, 3).Draw(t, "slots")}
		names := []string{"a", "b", "c", "d"}
		v := View{Demand: map[string]Demand{}}
		for _, n := range names {
			v.Models = append(v.Models, Model{Name: n, Allowed: rapid.Bool().Draw(t, "allowed")})
		}
		f := &simulatedFleet{loadTime: 5 * time.Second, ready: map[string]time.Time{}}
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			e := engineOf(fmt.Sprintf("e%d", i), fmt.Sprintf("dc-%d", rapid.IntRange(1, 3).Draw(t, "site")),
				rapid.SampledFrom(names).Draw(t, "first"))
			e.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
			f.engines = append(f.engines, e)
		}
		p, now := New(config), start
		for range rapid.IntRange(1, 4).Draw(t, "swings") {
			for _, n := range names {
				v.Demand[n] = Demand{Requests: float64(rapid.SampledFrom([]int{0, 0, 1, 5}).Draw(t, "requests")),
					PrefillTokens: rapid.Float64Range(0, 6000).Draw(t, "tokens")}
			}
			last := now // time of the last command
			for range 300 {
				now = now.Add(time.Second)
				f.finishLoads(now)
				v.Engines = f.engines
				commands := p.Decide(now, v)
				checkCommands(t, config, v, commands)
				if len(commands) > 0 {
					last = now
				}
				f.apply(now, commands)
			}
			if now.Sub(last) < 60*time.Second { // the last 60 of the 300 s must be without commands
				t.Fatalf("commands continue for more than 240 s of constant demand")
			}
		}
	})
}

func checkCommands(t *rapid.T, config Config, v View, commands []Command) {
	loads := 0
	for _, e := range v.Engines {
		for _, p := range e.Placed {
			if p.Loading {
				loads++
			}
		}
	}
	seen := map[string]bool{}
	for _, c := range commands {
		if seen[c.VM] {
			t.Fatalf("more than one command for engine %s", c.VM)
		}
		seen[c.VM] = true
		for _, e := range v.Engines {
			if e.VM == c.VM {
				checkCommand(t, config, v, e, c)
			}
		}
		if c.Kind == Load {
			loads++
		}
	}
	if loads > config.MaxLoads {
		t.Fatalf("%d loads, at most %d are allowed", loads, config.MaxLoads)
	}
}

func checkCommand(t *rapid.T, config Config, v View, e Engine, c Command) {
	inUse, hasModel := 0, false
	for _, p := range e.Placed {
		hasModel = hasModel || p.Name == c.Model
		if p.Name != c.Model && !p.Loading && v.Demand[p.Name].Requests > 0 {
			inUse++
		}
	}
	switch {
	case e.Draining:
		t.Fatalf("command for draining engine %s", e.VM)
	case c.Kind == Load && hasModel:
		t.Fatalf("load of %s on %s, which has the model already", c.Model, e.VM)
	case c.Kind == Load && len(e.Placed) >= config.ModelsPerEngine:
		t.Fatalf("load on full engine %s", e.VM)
	case c.Kind == Unload && (!hasModel || len(e.Placed) < 2):
		t.Fatalf("unload from engine %s of its last model or of a model that it does not have", e.VM)
	case c.Kind == Unload && v.Demand[c.Model].Requests > 0 && inUse == 0:
		t.Fatalf("unload from engine %s of its only model in use", e.VM)
	}
}

// Guards against targets that rise or fall at once, so that engines are
// reassigned with each change of the demand.
func TestTargetChangesAreDelayed(t *testing.T) {
	p := New(Config{})
	v := View{Models: allowed("a")}
	for i := range 8 {
		v.Engines = append(v.Engines, engineOf(fmt.Sprintf("e%d", i), "dc-1", "b"))
	}
	now := start
	steps := []struct {
		name   string
		tokens float64 // demand in prefill tokens per second; an engine does 1,000
		wait   time.Duration
		want   int
	}{
		// At highUtilisation an engine does 700 tokens/s, so 2,000 tokens/s need 3
		// engines and 5,000 need 8. At lowUtilisation it does 400 tokens/s, so 3,500
		// tokens/s need all 8 and 1,000 need 3.
		{"a model without engines gets them at once", 2000, 0, 3},
		{"a short peak changes nothing", 5000, time.Second, 3},
		{"the peak ends", 2000, time.Second, 3},
		{"a new peak starts", 5000, time.Second, 3},
		{"the new peak lasts", 5000, 2 * time.Second, 8},
		{"a fall within the range changes nothing", 3500, 2 * time.Minute, 8},
		{"a fall below the range starts", 1000, time.Second, 8},
		{"the fall has not lasted long enough", 1000, 59 * time.Second, 8},
		{"the fall has lasted long enough", 1000, time.Second, 3},
	}
	for _, s := range steps {
		now = now.Add(s.wait)
		v.Demand = map[string]Demand{"a": {Requests: 0.01, PrefillTokens: s.tokens}}
		p.Decide(now, v)
		if got := p.targets["a"].engines; got != s.want {
			t.Fatalf("%s: target %d, want %d", s.name, got, s.want)
		}
	}
}

// Guards against a target that follows small changes of demand.
func TestTargetIgnoresSmallChanges(t *testing.T) {
	is := is.New(t)
	f := &simulatedFleet{ready: map[string]time.Time{}}
	for i := range 8 {
		f.engines = append(f.engines, engineOf(fmt.Sprintf("e%d", i), fmt.Sprintf("dc-%d", i%2), "a"))
	}
	p, loadsToScale := New(Config{}), 0
	for i := range 1200 {
		now := start.Add(time.Duration(i) * time.Second)
		// The demand alternates between 2,000 and 2,800 tokens per second every
		// 10 s.
		tokens := 2000 + 800*float64(i/10%2)
		v := View{Models: allowed("a", "b"), Engines: f.engines, Demand: map[string]Demand{"b": {Requests: 1, PrefillTokens: tokens}, "a": {Requests: 1}}}
		f.finishLoads(now)
		f.apply(now, p.Decide(now, v))
		if i == 120 { // scaling is complete after two minutes
			loadsToScale = f.loads
		}
	}
	is.True(loadsToScale >= 4) // 2,000 tokens/s and the cost of a request need 4 engines
	is.Equal(f.loads, loadsToScale)
}

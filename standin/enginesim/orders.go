package enginesim

import (
	"maps"
	"slices"
	"time"
)

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// modelState is the desired and the loaded version of a model or adapter.
type modelState struct {
	loaded         bool
	version        string
	desiredVersion string
	loadNumber     uint64 // number of the latest load; earlier ones are dropped
}

// modelTable holds the models and adapters that the engine serves. An adapter is
// served under the name "model/adapter". Fencing tokens are compared per model,
// because each model has its own planner. Engine.mu guards the table.
type modelTable struct {
	models        map[string]*modelState
	fencingTokens map[string]uint64 // highest token seen, by model
	role          string
}

func newModelTable(names []string) modelTable {
	t := modelTable{models: map[string]*modelState{}, fencingTokens: map[string]uint64{}}
	for _, name := range names {
		t.models[name] = &modelState{loaded: true}
	}
	return t
}

func (t *modelTable) serves(name string) bool {
	m := t.models[name]
	return m != nil && m.loaded
}

func (t *modelTable) names() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(t.models)) {
		if t.models[name].loaded {
			names = append(names, name)
		}
	}
	return names
}

func (t *modelTable) versions() map[string]string {
	versions := map[string]string{}
	for name, m := range t.models {
		if m.loaded {
			versions[name] = m.version
		}
	}
	return versions
}

// Order sets what the engine should serve. It returns at once; a load takes
// effect after Config.LoadTime. Errors are *Error of kind KindFenced or
// KindRefused.
func (e *Engine) Order(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Kind != OrderLoad && o.Kind != OrderUnload && o.Kind != OrderRole {
		return refusedf("unknown kind of order %q", o.Kind)
	}
	if o.Kind != OrderRole && o.Model == "" {
		return refusedf("the order names no model")
	}
	seen := e.models.fencingTokens[o.Model]
	if e.config.FencingChecked && o.FencingToken < seen {
		return &Error{Kind: KindFenced, Message: "a higher fencing token was seen"}
	}
	e.models.fencingTokens[o.Model] = max(seen, o.FencingToken)
	switch o.Kind {
	case OrderLoad:
		e.loadModel(o)
	case OrderUnload:
		e.unloadModel(o)
	case OrderRole:
		e.models.role = o.Role
	}
	return nil
}

// servedName is the name under which requests ask for a model or adapter.
func (o Order) servedName() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

// loadModel starts loading a model or adapter, unless the version is already
// loaded or loading.
func (e *Engine) loadModel(o Order) {
	name := o.servedName()
	m := e.models.models[name]
	if m != nil && m.desiredVersion == o.Version && (m.loaded || m.loadNumber > 0) {
		return
	}
	if m == nil {
		m = &modelState{}
		e.models.models[name] = m
	}
	m.loadNumber++
	m.desiredVersion = o.Version
	loadNumber := m.loadNumber
	finish := func() {
		if e.models.models[name] == m && m.loadNumber == loadNumber {
			m.loaded, m.version = true, o.Version
		}
	}
	if e.config.LoadTime == 0 {
		finish()
		return
	}
	time.AfterFunc(e.config.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		finish()
	})
}

// unloadModel removes an adapter, or a model with its adapters. Running
// streams continue.
func (e *Engine) unloadModel(o Order) {
	name := o.servedName()
	maps.DeleteFunc(e.models.models, func(n string, _ *modelState) bool {
		return n == name || o.Adapter == "" && len(n) > len(name) && n[:len(name)+1] == name+"/"
	})
}

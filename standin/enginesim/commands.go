package enginesim

import (
	"maps"
	"slices"
	"time"
)

// Kinds of commands.
const (
	CommandLoad   = "load"
	CommandUnload = "unload"
	CommandRole   = "role"
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

// Command sets what the engine should serve. It returns at once; a load takes
// effect after Config.LoadTime. Errors are *Error of kind KindFenced or
// KindRefused.
func (e *Engine) Command(c Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Kind != CommandLoad && c.Kind != CommandUnload && c.Kind != CommandRole {
		return refusedf("unknown kind of order %q", c.Kind)
	}
	if c.Kind != CommandRole && c.Model == "" {
		return refusedf("the order names no model")
	}
	seen := e.models.fencingTokens[c.Model]
	if e.config.FencingChecked && c.FencingToken < seen {
		return &Error{Kind: KindFenced, Message: "a higher fencing token was seen"}
	}
	e.models.fencingTokens[c.Model] = max(seen, c.FencingToken)
	switch c.Kind {
	case CommandLoad:
		e.loadModel(c)
	case CommandUnload:
		e.unloadModel(c)
	case CommandRole:
		e.models.role = c.Role
	}
	return nil
}

// servedName is the name under which requests ask for a model or adapter.
func (c Command) servedName() string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// loadModel starts loading a model or adapter, unless the version is already
// loaded or loading.
func (e *Engine) loadModel(c Command) {
	name := c.servedName()
	m := e.models.models[name]
	if m != nil && m.desiredVersion == c.Version && (m.loaded || m.loadNumber > 0) {
		return
	}
	if m == nil {
		m = &modelState{}
		e.models.models[name] = m
	}
	m.loadNumber++
	m.desiredVersion = c.Version
	loadNumber := m.loadNumber
	finish := func() {
		if e.models.models[name] == m && m.loadNumber == loadNumber {
			m.loaded, m.version = true, c.Version
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
func (e *Engine) unloadModel(c Command) {
	name := c.servedName()
	maps.DeleteFunc(e.models.models, func(n string, _ *modelState) bool {
		return n == name || c.Adapter == "" && len(n) > len(name) && n[:len(name)+1] == name+"/"
	})
}

package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/daemon/placement"
)

const (
	// storeCallTimeout bounds the check of a fencing token in the store.
	storeCallTimeout = 2 * time.Second
	// offerTimeout bounds the wait for the confirmation of an offer.
	offerTimeout = 30 * time.Second
	// fastPollInterval is the interval between reads of the engine's models while
	// a change is expected; slowPollInterval is the interval otherwise.
	fastPollInterval = 200 * time.Millisecond
	slowPollInterval = 5 * time.Second
	// loadTimeout is the time after which a load whose model has not appeared
	// counts as failed.
	loadTimeout = 5 * time.Minute
	// fastPollDuration is how long after an engine command the engine's models are
	// read at fastPollInterval, because they may change in that time.
	fastPollDuration = 2 * time.Second
)

// placementState is the agent's record of the models that placement has put on
// its engine. A planner in an entry sends placement commands to the agent. The
// agent checks each of them and then sends engine commands to its engine.
type placementState struct {
	// commandLock is held while the engine's models are changed or read, so that
	// engine commands reach the engine in ascending order of their fencing
	// tokens. It is a channel of capacity 1, so that waiting for it can be
	// cancelled.
	commandLock chan struct{}
	// pollSoon makes the poller read the engine's models at the fast interval;
	// capacity 1.
	pollSoon chan struct{}

	mu sync.Mutex // no other lock is taken while it is held
	// highestFencingTokens is the highest fencing token that this process has
	// seen, by model. The fencing token of a command is the revision of the
	// model's lease key in the store.
	highestFencingTokens map[string]uint64
	// loading are the pending loads, by name of the model or adapter.
	loading map[string]pendingLoad
	// versions are the versions that this process has loaded, by name of the
	// model or adapter.
	versions map[string]string
	// role is the role that this process last gave the engine.
	role string
}

type pendingLoad struct {
	version     string
	requestedAt time.Time
}

func newPlacementState() *placementState {
	return &placementState{commandLock: make(chan struct{}, 1), pollSoon: make(chan struct{}, 1), highestFencingTokens: map[string]uint64{},
		loading: map[string]pendingLoad{}, versions: map[string]string{}}
}

// placeStream is the subset of link.Stream that a placement command uses.
type placeStream interface {
	Write(proto.Message) error
	Read(proto.Message) error
	SetReadDeadline(time.Time)
}

// placeRefusal says why a placement command was not carried out.
type placeRefusal struct {
	status  wire.PlaceStatus
	message string
}

func (e *placeRefusal) Error() string { return fmt.Sprintf("%v: %s", e.status, e.message) }

func refusePlace(status wire.PlaceStatus, format string, args ...any) error {
	return &placeRefusal{status, fmt.Sprintf(format, args...)}
}

// servePlace serves one placement command: it checks the fencing token against
// the store, sends an offer, waits for its confirmation and sends the command to
// the engine.
func (a *Agent) servePlace(ctx context.Context, s placeStream, c *wire.PlaceCommand) {
	err := a.runPlaceCommand(ctx, s, c)
	result := &wire.PlaceResult{Status: wire.PlaceStatus_PLACE_STATUS_DONE}
	var refusal *placeRefusal
	switch {
	case errors.As(err, &refusal):
		result.Status, result.Message = refusal.status, refusal.message
	case err != nil:
		result.Status, result.Message = wire.PlaceStatus_PLACE_STATUS_UNCERTAIN, err.Error()
	}
	a.log.Info("placement command", "kind", c.Kind.String(), "model", c.Model, "version", c.Version, "adapter", c.Adapter,
		"token", c.FencingToken, "planner", c.Planner, "status", result.Status.String(), "reason", result.Message)
	_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_PlaceResult{PlaceResult: result}})
}

func (a *Agent) runPlaceCommand(ctx context.Context, s placeStream, c *wire.PlaceCommand) error {
	if a.engine == nil || c.Model == "" || c.Kind == wire.PlaceKind_PLACE_KIND_UNSPECIFIED {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_REFUSED, "VM %s cannot carry out this command", a.settings.VM)
	}
	if a.refusesWork() {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_DRAINING, "VM %s is being drained", a.settings.VM)
	}
	if err := a.checkFencingToken(ctx, c); err != nil {
		return err
	}
	// The planner reads the remaining time of its lease after it has received
	// the offer. A deadline counted from the offer is therefore never later than
	// the end of the lease, even if the planner pauses between reading that time
	// and sending the confirmation.
	offered := time.Now()
	if err := s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_PlaceOffer{PlaceOffer: &wire.PlaceOffer{}}}); err != nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_EXPIRED, "the planner is gone: %v", err)
	}
	s.SetReadDeadline(offered.Add(offerTimeout))
	message := &wire.EntryMessage{}
	if err := s.Read(message); err != nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_EXPIRED, "no confirmation came: %v", err)
	}
	if message.GetPlace() == nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_REFUSED, "the answer to the offer is no confirmation: %T", message.Body)
	}
	return a.executeCommand(ctx, c, offered.Add(time.Duration(message.GetPlace().RemainingMs)*time.Millisecond))
}

// checkFencingToken accepts a fencing token only if it is the current revision of
// the lease key. It reads the store for every command, because a restarted agent
// does not know which tokens it had seen.
func (a *Agent) checkFencingToken(ctx context.Context, c *wire.PlaceCommand) error {
	if err := a.checkHighestFencingToken(c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	current, err := a.member.KV.Get(ctx, placement.KeyPrefix+c.Model)
	if err != nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_STORE_UNAVAILABLE, "the token cannot be checked: %v", err)
	}
	p := a.placementState
	p.mu.Lock()
	p.highestFencingTokens[c.Model] = max(p.highestFencingTokens[c.Model], current.Revision)
	p.mu.Unlock()
	if current.Revision != c.FencingToken {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_FENCED, "the token is %d, the lease key has revision %d", c.FencingToken, current.Revision)
	}
	return nil
}

func (a *Agent) checkHighestFencingToken(c *wire.PlaceCommand) error {
	p := a.placementState
	p.mu.Lock()
	defer p.mu.Unlock()
	if seen := p.highestFencingTokens[c.Model]; c.FencingToken < seen {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_FENCED, "the token is %d, a command or lease with %d was seen", c.FencingToken, seen)
	}
	return nil
}

// executeCommand carries out a confirmed placement command until the deadline.
// All checks whose result may change over time are made while commandLock is
// held, just before the engine command is sent.
func (a *Agent) executeCommand(ctx context.Context, c *wire.PlaceCommand, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case a.placementState.commandLock <- struct{}{}:
		defer func() { <-a.placementState.commandLock }()
	case <-ctx.Done():
	}
	switch {
	case ctx.Err() != nil || !time.Now().Before(deadline):
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_EXPIRED, "the command came after the end of the lease")
	case a.refusesWork():
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_DRAINING, "VM %s is being drained", a.settings.VM)
	}
	if err := a.checkHighestFencingToken(c); err != nil {
		return err
	}
	if c.Kind == wire.PlaceKind_PLACE_KIND_UNLOAD {
		return a.unloadModel(ctx, c)
	}
	return a.loadModel(ctx, c)
}

// loadModel makes the engine load a model or adapter and gives the engine the
// role of the command; commandLock is held.
func (a *Agent) loadModel(ctx context.Context, c *wire.PlaceCommand) error {
	name := placedName(c)
	if a.isLoadedOrLoading(name, c.Version) {
		return a.assignRole(ctx, c)
	}
	if err := a.sendEngineCommand(ctx, backend.Command{Kind: "load", Model: c.Model, Version: c.Version, Adapter: c.Adapter, Fencing: c.FencingToken}); err != nil {
		return err
	}
	p := a.placementState
	p.mu.Lock()
	if a.servesModel(name) {
		p.versions[name] = c.Version // the engine does not report a change of version
	} else {
		p.loading[name] = pendingLoad{c.Version, time.Now()}
	}
	p.mu.Unlock()
	a.announceModelChange()
	return a.assignRole(ctx, c)
}

// isLoadedOrLoading reports whether this version of a model or adapter is loaded
// or being loaded.
func (a *Agent) isLoadedOrLoading(name, version string) bool {
	p := a.placementState
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.loading[name]; ok {
		return l.version == version
	}
	known, ok := p.versions[name]
	return a.servesModel(name) && (version == "" || ok && known == version)
}

func (a *Agent) servesModel(name string) bool {
	info := a.info.Load()
	return info != nil && slices.Contains(info.Models, name)
}

// assignRole gives the engine a role if the command names a new one.
func (a *Agent) assignRole(ctx context.Context, c *wire.PlaceCommand) error {
	p := a.placementState
	p.mu.Lock()
	unchanged := c.Role == "" || c.Role == p.role
	p.mu.Unlock()
	if unchanged {
		return nil
	}
	if err := a.sendEngineCommand(ctx, backend.Command{Kind: "role", Model: c.Model, Role: c.Role, Fencing: c.FencingToken}); err != nil {
		return err
	}
	p.mu.Lock()
	p.role = c.Role
	p.mu.Unlock()
	return nil
}

// unloadModel makes the engine unload a model, with its adapters, or an adapter;
// commandLock is held. New requests are refused before the engine command is
// sent, and entries send them elsewhere.
func (a *Agent) unloadModel(ctx context.Context, c *wire.PlaceCommand) error {
	name := placedName(c)
	info := *a.info.Load()
	kept := slices.DeleteFunc(slices.Clone(info.Models), func(m string) bool { return belongsTo(m, name) })
	if c.Adapter == "" && len(kept) == 0 {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_REFUSED, "%q is the only model of the engine", name)
	}
	info.Models = kept
	a.info.Store(&info)
	err := a.sendEngineCommand(ctx, backend.Command{Kind: "unload", Model: c.Model, Adapter: c.Adapter, Fencing: c.FencingToken})
	if err == nil {
		p := a.placementState
		p.mu.Lock()
		maps.DeleteFunc(p.versions, func(m, _ string) bool { return belongsTo(m, name) })
		maps.DeleteFunc(p.loading, func(m string, _ pendingLoad) bool { return belongsTo(m, name) })
		p.mu.Unlock()
	}
	a.announceModelChange() // if the engine command failed, the poller restores the list
	return err
}

// belongsTo reports whether a name is that of a model or of one of its adapters,
// which is the model's name, a slash and the adapter's name.
func belongsTo(name, model string) bool {
	return name == model || len(name) > len(model) && name[:len(model)+1] == model+"/"
}

func placedName(c *wire.PlaceCommand) string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// sendEngineCommand sends a command to the engine. ctx ends with the lease of the
// planner.
func (a *Agent) sendEngineCommand(ctx context.Context, command backend.Command) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	err := a.engine.Command(ctx, command)
	var failure *backend.EngineError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure) && failure.Kind == backend.EngineFenced:
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_FENCED, "the engine refused the token: %v", err)
	case errors.As(err, &failure) && failure.Kind != backend.EngineBroken:
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_REFUSED, "%v", err)
	}
	return fmt.Errorf("send order to the engine: %w", err)
}

// announceModelChange reports the pending change to the entries and makes the
// poller read the engine's models soon.
func (a *Agent) announceModelChange() {
	a.member.Node.SendHeartbeats()
	select {
	case a.placementState.pollSoon <- struct{}{}:
	default:
	}
}

// followModels keeps the list of the engine's models up to date until ctx ends.
// An engine confirms a command before it has reached the desired state.
func (a *Agent) followModels(ctx context.Context) error {
	fastUntil := time.Time{}
	for {
		interval := slowPollInterval
		if time.Now().Before(fastUntil) || a.isLoading() {
			interval = fastPollInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.placementState.pollSoon:
			fastUntil = time.Now().Add(fastPollDuration)
		case <-time.After(interval):
			a.readModels(ctx)
		}
	}
}

func (a *Agent) isLoading() bool {
	p := a.placementState
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.loading) > 0
}

// readModels reads the engine's models and removes pending loads that have
// ended.
func (a *Agent) readModels(ctx context.Context) {
	select {
	case a.placementState.commandLock <- struct{}{}:
		defer func() { <-a.placementState.commandLock }()
	case <-ctx.Done():
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	engineInfo, err := a.engine.Info(callCtx)
	if err != nil {
		return // the last known list stays in use
	}
	info := *a.info.Load()
	changed := !slices.Equal(info.Models, engineInfo.Models)
	info.Models = engineInfo.Models
	a.info.Store(&info)
	if a.endLoads(engineInfo.Models, time.Now()) || changed {
		a.log.Info("models or pending loads of the engine changed", "models", engineInfo.Models)
		a.member.Node.SendHeartbeats()
	}
}

// endLoads removes the pending loads that are complete or took too long.
func (a *Agent) endLoads(models []string, now time.Time) (ended bool) {
	p := a.placementState
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.loading {
		switch {
		case slices.Contains(models, name):
			p.versions[name] = l.version
		case now.Sub(l.requestedAt) < loadTimeout:
			continue
		}
		delete(p.loading, name)
		ended = true
	}
	return ended
}

// placedModels returns the models and adapters that are being loaded and those
// loaded with a known version, for the heartbeats.
func (a *Agent) placedModels() []*wire.PlacedModel {
	p := a.placementState
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*wire.PlacedModel
	for name, l := range p.loading {
		list = append(list, &wire.PlacedModel{Name: name, Version: l.version, Loading: true})
	}
	for name, version := range p.versions {
		if _, ok := p.loading[name]; !ok && version != "" {
			list = append(list, &wire.PlacedModel{Name: name, Version: version})
		}
	}
	return list
}

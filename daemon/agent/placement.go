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
)

// leaseKeyPrefix is the prefix of the lease keys of planners.
const leaseKeyPrefix = "placement/"

const (
	// storeCallLimit bounds the check of a fencing token in the store.
	storeCallLimit = 2 * time.Second
	// offerLimit bounds the wait for the confirmation of an offer.
	offerLimit = 30 * time.Second
	// modelPollFast is the interval between reads of the engine's models while a
	// change is expected; modelPollSlow is the interval otherwise.
	modelPollFast = 200 * time.Millisecond
	modelPollSlow = 5 * time.Second
	// loadLimit is the time after which a load whose model has not appeared
	// counts as failed.
	loadLimit = 5 * time.Minute
	// settleTime is how long the engine's models may change after an order.
	settleTime = 2 * time.Second
)

// placements is the agent's record of the models on its engine.
type placements struct {
	// orderLock is held while the engine's models are changed or read, so that
	// orders reach the engine in the order of their tokens. It is a channel of
	// capacity 1, so that waiting for it can be cancelled.
	orderLock chan struct{}
	// pollSoon makes the poller read the engine's models at the fast interval;
	// capacity 1.
	pollSoon chan struct{}

	mu sync.Mutex // no other lock is taken while it is held
	// highestTokens is the highest seen revision of the lease key, by model.
	highestTokens map[string]uint64
	// loading are the pending loads by name.
	loading map[string]pendingLoad
	// versions are the versions that this process has loaded, by name.
	versions map[string]string
	role     string
}

type pendingLoad struct {
	version   string
	orderedAt time.Time
}

func newPlacements() *placements {
	return &placements{orderLock: make(chan struct{}, 1), pollSoon: make(chan struct{}, 1), highestTokens: map[string]uint64{},
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

// servePlace serves one placement command: it checks the token against the
// store, sends an offer, waits for its confirmation and sends the order to the
// engine.
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
	if a.draining.Load() {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_DRAINING, "VM %s is being drained", a.settings.VM)
	}
	if err := a.checkToken(ctx, c); err != nil {
		return err
	}
	// The planner reads the remaining time of its lease after it has received
	// the offer. Counting from the offer therefore includes any pause of the
	// planner between reading it and sending the confirmation.
	offered := time.Now()
	if err := s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_PlaceOffer{PlaceOffer: &wire.PlaceOffer{}}}); err != nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_EXPIRED, "the planner has disconnected: %v", err)
	}
	s.SetReadDeadline(offered.Add(offerLimit))
	message := &wire.EntryMessage{}
	if err := s.Read(message); err != nil || message.GetPlace() == nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_EXPIRED, "no confirmation was received")
	}
	return a.executeCommand(ctx, c, offered.Add(time.Duration(message.GetPlace().RemainingMs)*time.Millisecond))
}

// checkToken accepts a token only if it is the current revision of the lease
// key. It reads the store for every command, because a restarted agent does not
// know which tokens it had seen.
func (a *Agent) checkToken(ctx context.Context, c *wire.PlaceCommand) error {
	if err := a.checkHighestToken(c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallLimit)
	defer cancel()
	present, err := a.member.KV.Get(ctx, leaseKeyPrefix+c.Model)
	if err != nil {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_STORE_UNAVAILABLE, "the token cannot be checked: %v", err)
	}
	p := a.placements
	p.mu.Lock()
	p.highestTokens[c.Model] = max(p.highestTokens[c.Model], present.Revision)
	p.mu.Unlock()
	if present.Revision != c.FencingToken {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_FENCED, "the token is %d, the lease key has revision %d", c.FencingToken, present.Revision)
	}
	return nil
}

func (a *Agent) checkHighestToken(c *wire.PlaceCommand) error {
	p := a.placements
	p.mu.Lock()
	defer p.mu.Unlock()
	if seen := p.highestTokens[c.Model]; c.FencingToken < seen {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_FENCED, "the token is %d, a command or lease with %d was seen", c.FencingToken, seen)
	}
	return nil
}

// executeCommand sends the order of a confirmed command. All checks whose result
// may change over time are made while orderLock is held, just before the order
// is sent.
func (a *Agent) executeCommand(ctx context.Context, c *wire.PlaceCommand, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case a.placements.orderLock <- struct{}{}:
		defer func() { <-a.placements.orderLock }()
	case <-ctx.Done():
	}
	switch {
	case ctx.Err() != nil || !time.Now().Before(deadline):
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_EXPIRED, "the command came after the end of the lease")
	case a.draining.Load():
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_DRAINING, "VM %s is being drained", a.settings.VM)
	}
	if err := a.checkHighestToken(c); err != nil {
		return err
	}
	if c.Kind == wire.PlaceKind_PLACE_KIND_UNLOAD {
		return a.orderUnload(ctx, c)
	}
	return a.orderLoad(ctx, c)
}

// orderLoad orders a load; orderLock is held.
func (a *Agent) orderLoad(ctx context.Context, c *wire.PlaceCommand) error {
	name := placedName(c)
	if a.isOrdered(name, c.Version) {
		return a.orderRole(ctx, c)
	}
	if err := a.sendEngineOrder(ctx, backend.Command{Kind: "load", Model: c.Model, Version: c.Version, Adapter: c.Adapter, Fencing: c.FencingToken}); err != nil {
		return err
	}
	p := a.placements
	p.mu.Lock()
	if a.servesModel(name) {
		p.versions[name] = c.Version // the engine does not report a change of version
	} else {
		p.loading[name] = pendingLoad{c.Version, time.Now()}
	}
	p.mu.Unlock()
	a.announceModelChange()
	return a.orderRole(ctx, c)
}

// isOrdered reports whether this version of a model or adapter is loaded or
// being loaded.
func (a *Agent) isOrdered(name, version string) bool {
	p := a.placements
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

// orderRole gives the engine a role if the command names one.
func (a *Agent) orderRole(ctx context.Context, c *wire.PlaceCommand) error {
	p := a.placements
	p.mu.Lock()
	same := c.Role == "" || c.Role == p.role
	p.mu.Unlock()
	if same {
		return nil
	}
	if err := a.sendEngineOrder(ctx, backend.Command{Kind: "role", Model: c.Model, Role: c.Role, Fencing: c.FencingToken}); err != nil {
		return err
	}
	p.mu.Lock()
	p.role = c.Role
	p.mu.Unlock()
	return nil
}

// orderUnload orders the removal of a model or adapter; orderLock is held. New
// requests are refused before the order is sent, and entries send them
// elsewhere.
func (a *Agent) orderUnload(ctx context.Context, c *wire.PlaceCommand) error {
	name := placedName(c)
	info := *a.info.Load()
	kept := slices.DeleteFunc(slices.Clone(info.Models), func(m string) bool { return belongsTo(m, name) })
	if c.Adapter == "" && len(kept) == 0 {
		return refusePlace(wire.PlaceStatus_PLACE_STATUS_REFUSED, "%q is the only model of the engine", name)
	}
	info.Models = kept
	a.info.Store(&info)
	err := a.sendEngineOrder(ctx, backend.Command{Kind: "unload", Model: c.Model, Adapter: c.Adapter, Fencing: c.FencingToken})
	if err == nil {
		p := a.placements
		p.mu.Lock()
		maps.DeleteFunc(p.versions, func(m, _ string) bool { return belongsTo(m, name) })
		maps.DeleteFunc(p.loading, func(m string, _ pendingLoad) bool { return belongsTo(m, name) })
		p.mu.Unlock()
	}
	a.announceModelChange() // if the order failed, the poller restores the list
	return err
}

// belongsTo reports whether a name is that of a model or of one of its adapters.
func belongsTo(name, model string) bool {
	return name == model || len(name) > len(model) && name[:len(model)+1] == model+"/"
}

func placedName(c *wire.PlaceCommand) string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// sendEngineOrder sends an order to the engine. ctx ends with the lease of the
// planner.
func (a *Agent) sendEngineOrder(ctx context.Context, o backend.Command) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallLimit)
	defer cancel()
	err := a.engine.Command(ctx, o)
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
	case a.placements.pollSoon <- struct{}{}:
	default:
	}
}

// followModels keeps the list of the engine's models up to date until ctx ends.
// An engine confirms an order before it has reached the ordered state.
func (a *Agent) followModels(ctx context.Context) error {
	fastUntil := time.Time{}
	for {
		interval := modelPollSlow
		if time.Now().Before(fastUntil) || a.isLoading() {
			interval = modelPollFast
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.placements.pollSoon:
			fastUntil = time.Now().Add(settleTime)
		case <-time.After(interval):
			a.readModels(ctx)
		}
	}
}

func (a *Agent) isLoading() bool {
	p := a.placements
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.loading) > 0
}

// readModels reads the engine's models and removes pending loads that have
// ended.
func (a *Agent) readModels(ctx context.Context) {
	select {
	case a.placements.orderLock <- struct{}{}:
		defer func() { <-a.placements.orderLock }()
	case <-ctx.Done():
		return
	}
	call, cancel := context.WithTimeout(ctx, engineCallLimit)
	defer cancel()
	read, err := a.engine.Info(call)
	if err != nil {
		return // the last known list stays in use
	}
	info := *a.info.Load()
	changed := !slices.Equal(info.Models, read.Models)
	info.Models = read.Models
	a.info.Store(&info)
	if a.endLoads(read.Models, time.Now()) || changed {
		a.log.Info("models of the engine changed", "models", read.Models)
		a.member.Node.SendHeartbeats()
	}
}

// endLoads removes the pending loads that are complete or took too long.
func (a *Agent) endLoads(models []string, now time.Time) (ended bool) {
	p := a.placements
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.loading {
		switch {
		case slices.Contains(models, name):
			p.versions[name] = l.version
		case now.Sub(l.orderedAt) < loadLimit:
			continue
		}
		delete(p.loading, name)
		ended = true
	}
	return ended
}

// placedModels returns the versions of the models and the pending loads for load
// reports.
func (a *Agent) placedModels() []*wire.PlacedModel {
	p := a.placements
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

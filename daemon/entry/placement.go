package entry

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/daemon/placement"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/link"
	"camphorwick.dev/policy/place"
	"camphorwick.dev/settings"
)

const (
	// planningEntries is the number of live entries that may plan: two, so
	// that one may fail. Demand is reported only to them.
	planningEntries = 2
	// demandLifetime is how long a demand report is valid.
	demandLifetime = 5 * time.Second
	// agentGracePeriod is how long an engine still counts as serving its models
	// after its agent became unusable, so that the restart of an agent triggers
	// no loads. After its own start, an entry that does not know all listed
	// agents yet waits that long for them before it plans.
	agentGracePeriod = 10 * time.Second
	// maxModelWaiters bounds the requests of one entry that wait for a model to
	// be loaded.
	maxModelWaiters = 1024
)

// placementState holds the planner of an Entry, with the models and the demand
// that it plans for. It is nil if placement is not enabled in the settings.
type placementState struct {
	planner *placement.Planner
	started time.Time
	waiting atomic.Int64 // requests that wait for a model to be loaded

	// The rest is guarded by Entry.mu.
	meter   *place.Meter            // measures the demand at this entry
	reports map[string]demandReport // of the other entries, by VM
	models  []place.Model           // that placement may load
	// modelsOf is the revision of the configuration from which models was read.
	modelsOf uint64
}

type demandReport struct {
	demand     []*wire.ModelDemand
	receivedAt time.Time
}

func (e *Entry) newPlacementState(s *settings.Placement, d Deps) *placementState {
	config := placement.Config{Name: e.member.Claimant(), KV: d.KV, Weights: d.Weights, Fleet: (*fleetAdapter)(e), Log: e.log,
		Lease: time.Duration(s.LeaseMillis) * time.Millisecond, Interval: time.Duration(s.IntervalMillis) * time.Millisecond,
		Policy: place.Config{MaxLoads: s.MaxLoads, ModelsPerEngine: s.ModelsPerEngine}}
	return &placementState{planner: placement.New(config), started: time.Now(), meter: place.NewMeter(), reports: map[string]demandReport{}}
}

// recordDemand records a request as demand for its model; e.mu is held.
func (e *Entry) recordDemand(now time.Time, c *completion) {
	if e.placementState != nil {
		e.placementState.meter.RecordRequest(now, place.BaseName(c.model), c.promptTokens)
	}
}

// planners returns the entries that may plan, in order of preference. Entries
// with different views of the fleet may disagree; then the planner that holds
// the lease of a model decides.
func (e *Entry) planners() []string {
	var vms []string
	for _, live := range e.member.LiveEntries() {
		vms = append(vms, live.VM)
	}
	slices.SortFunc(vms, func(a, b string) int { return cmp.Or(cmp.Compare(plannerRank(a), plannerRank(b)), cmp.Compare(a, b)) })
	return vms[:min(len(vms), planningEntries)]
}

func plannerRank(vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("placement/" + vm))
	return h.Sum64()
}

// Demand returns the demand to report to a peer: that at this entry if the peer
// may plan, else nil.
func (h *hooks) Demand(peer *wire.Hello) []*wire.ModelDemand {
	e := (*Entry)(h)
	if e.placementState == nil || peer.Role != wire.Role_ROLE_ENTRY || !slices.Contains(e.planners(), peer.Vm) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*wire.ModelDemand
	for model, d := range e.placementState.meter.Demand(time.Now()) {
		list = append(list, &wire.ModelDemand{Model: model, RequestsPerSecond: float32(d.Requests), PrefillTokensPerSecond: float32(d.PrefillTokens)})
	}
	return list
}

func (h *hooks) PeerDemand(peer *wire.Hello, demand []*wire.ModelDemand) {
	e := (*Entry)(h)
	if e.placementState == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// The report replaces the last one of the peer. totalDemand adds the reports of
	// the peers to the demand at this entry.
	e.placementState.reports[peer.Vm] = demandReport{demand, time.Now()}
}

// fleetAdapter implements placement.Fleet for an Entry.
type fleetAdapter Entry

// View returns the current state of the fleet, or false if this entry may not
// plan or does not know all agents yet.
func (f *fleetAdapter) View(now time.Time) (place.View, bool) {
	e := (*Entry)(f)
	if e.draining() || !slices.Contains(e.planners(), e.settings.VM) {
		return place.View{}, false
	}
	config := e.member.Replica.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.placementState.started) < agentGracePeriod && !knowsListedAgents(e.member.ListedVMs(), e.agents) {
		return place.View{}, false
	}
	if e.placementState.modelsOf != config.Revision() {
		e.placementState.models, e.placementState.modelsOf = modelsOf(config), config.Revision()
	}
	v := place.View{Models: e.placementState.models, Demand: e.totalDemand(now)}
	for vm, state := range e.agents {
		if info := state.hello.GetBackend(); info == nil || info.Service != "" {
			continue
		}
		_, marked := config.Mark(vm)
		v.Engines = append(v.Engines, state.placeEngine(now, marked))
	}
	return v, len(v.Models) > 0
}

// knowsListedAgents reports whether every listed agent is known. Otherwise, an
// entry that has just started would load models again that unknown engines
// already serve.
func knowsListedAgents(listed []cloud.VM, known map[string]*agentState) bool {
	for _, vm := range listed {
		if vm.Role == string(settings.RoleAgent) && vm.State == cloud.VMLive && known[vm.ID] == nil {
			return false
		}
	}
	return len(listed) > 0
}

// totalDemand sums the demand of all entries; e.mu is held.
func (e *Entry) totalDemand(now time.Time) map[string]place.Demand {
	total := e.placementState.meter.Demand(now)
	for vm, r := range e.placementState.reports {
		if now.Sub(r.receivedAt) > demandLifetime {
			delete(e.placementState.reports, vm)
			continue
		}
		for _, d := range r.demand {
			sum := total[d.Model]
			sum.Requests += float64(d.RequestsPerSecond)
			sum.PrefillTokens += float64(d.PrefillTokensPerSecond)
			total[d.Model] = sum
		}
	}
	return total
}

// placeEngine returns the placement policy's view of the agent's engine.
func (s *agentState) placeEngine(now time.Time, marked bool) place.Engine {
	// To the policy, a draining engine is any that gets no commands and does not
	// count as serving its models. This includes engines whose VM is marked or
	// whose agent is lost.
	lost := !s.usable && now.Sub(s.unusableSince) > agentGracePeriod
	g := place.Engine{VM: s.hello.Vm, DataCentre: s.hello.DataCentre, PrefillTokensPerSecond: int(s.hello.Backend.PrefillTokensPerSecond),
		Draining: marked || lost || s.load.GetDraining(), Blocked: !s.usable}
	for _, tokens := range s.load.GetPrefillTokens() {
		g.PendingTokens += int(tokens)
	}
	known := map[string]bool{}
	for _, p := range s.load.GetPlaced() {
		known[p.Name] = true
		g.Placed = append(g.Placed, place.Placed{Name: p.Name, Version: p.Version, Loading: p.Loading})
	}
	// Placed lacks models of unknown version that the engine serves.
	for _, m := range s.models() {
		if !known[m] {
			g.Placed = append(g.Placed, place.Placed{Name: m})
		}
	}
	return g
}

// modelsOf returns the models that placement may load, each with whether some
// plan allows it.
func modelsOf(config *fleetconf.Config) []place.Model {
	allowed := map[string]bool{}
	for _, item := range config.Items(fleetconf.PlanPrefix) {
		if plan, ok := item.Document.(*fleetconf.Plan); ok {
			for _, m := range plan.Models {
				allowed[place.BaseName(m)] = true
			}
		}
	}
	var list []place.Model
	for _, item := range config.Items(fleetconf.ModelPrefix) {
		document, ok := item.Document.(*fleetconf.Model)
		if !ok {
			continue
		}
		name := strings.TrimPrefix(item.Key, fleetconf.ModelPrefix)
		m := place.Model{Name: name, Version: document.Version, Role: document.Role, Allowed: allowed[name]}
		for _, a := range document.Adapters {
			m.Adapters = append(m.Adapters, place.Adapter{Name: a.Name, Version: a.Version})
		}
		list = append(list, m)
	}
	return list
}

// Send proposes a command to the agent of a VM, calls confirm after the agent's
// offer, sends the confirmation and waits for the result; see placement.Fleet.
func (f *fleetAdapter) Send(ctx context.Context, c place.Command, fencingToken uint64, confirm func(context.Context) (time.Duration, error)) error {
	e := (*Entry)(f)
	stream, _, err := e.member.Node.Open(ctx, c.VM)
	if err != nil {
		return outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", c.VM)
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetReadDeadline(deadline)
	}
	kind := wire.PlaceKind_PLACE_KIND_LOAD
	if c.Kind == place.Unload {
		kind = wire.PlaceKind_PLACE_KIND_UNLOAD
	}
	command := &wire.PlaceCommand{Kind: kind, Model: c.Model, Version: c.Version, Adapter: c.Adapter, Role: c.Role,
		FencingToken: fencingToken, Planner: e.member.Claimant()}
	if err := stream.Write(&wire.StreamHeader{Body: &wire.StreamHeader_Place{Place: command}}); err != nil {
		return outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", c.VM)
	}
	if err := readPlaceReply(stream, c.VM, true); err != nil { // the offer
		return err
	}
	remaining, err := confirm(ctx)
	if err != nil {
		return err
	}
	message := &wire.PlaceConfirm{RemainingMs: uint32(max(remaining.Milliseconds(), 0))}
	if err := stream.Write(&wire.EntryMessage{Body: &wire.EntryMessage_Place{Place: message}}); err != nil {
		return outcome.Wrap(err, outcome.BackendFailed, "the command to VM %s may have been lost", c.VM)
	}
	return readPlaceReply(stream, c.VM, false) // the result
}

// readPlaceReply reads the agent's reply to a proposed command: the offer if
// wantOffer is set, else the result. Any other reply, such as a refusal, is an
// error.
func readPlaceReply(stream *link.Stream, vm string, wantOffer bool) error {
	m := &wire.AgentMessage{}
	if err := stream.Read(m); err != nil {
		return outcome.Wrap(err, outcome.BackendFailed, "VM %s did not answer a placement command", vm)
	}
	result := m.GetPlaceResult()
	switch {
	case wantOffer && m.GetPlaceOffer() != nil:
		return nil
	case !wantOffer && result.GetStatus() == wire.PlaceStatus_PLACE_STATUS_DONE:
		return nil
	}
	return &placement.StatusError{VM: vm, Status: result.GetStatus(), Message: result.GetMessage()}
}

// awaitModel waits until an engine serves the model or ctx ends. It returns
// immediately if placement is not enabled, the model is served, the
// configuration has no such model, or too many requests wait.
func (e *Entry) awaitModel(ctx context.Context, c *completion) {
	if e.placementState == nil || e.modelUsable(c.model) {
		return
	}
	item, ok := e.member.Replica.Config().Item(fleetconf.ModelPrefix + place.BaseName(c.model))
	if !ok || item == nil {
		return
	}
	defer e.placementState.waiting.Add(-1)
	if e.placementState.waiting.Add(1) > maxModelWaiters {
		return
	}
	for !e.modelUsable(c.model) && pause(ctx, retryPause) {
		// pause waits, and ends the loop when ctx ends.
	}
}

// modelUsable reports whether an agent that may get work serves a model.
func (e *Entry) modelUsable(model string) bool {
	config := e.member.Replica.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, state := range e.agents {
		if state.mayGetWork(config) && slices.Contains(state.models(), model) {
			return true
		}
	}
	return false
}

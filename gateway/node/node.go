// Package node assembles a gateway process: it follows the platform's store,
// serves callers, sends its loads to its peers, and stops gracefully.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/gateway/evacuation"
	"camphorwick.dev/gateway/follow"
	"camphorwick.dev/gateway/ingress"
	"camphorwick.dev/gateway/peers"
	"camphorwick.dev/gateway/quarantine"
	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/footprint"
	"camphorwick.dev/policy/retry"
)

const (
	// peersPrefix is the prefix of the keys in the store under which gateways
	// register, followed by the VM.
	peersPrefix = "gateways/"
	// defaultDrainTime is how long the platform allows requests to a server that drains or
	// has left, unless the settings say more. Changes of servers are collected for
	// minServerBatchDelay and serverBatchShare of the time beyond it before the next call, so
	// that they are seen well within the time: a missing server may get requests for
	// another 1.85 s (registry.Sweep).
	defaultDrainTime    = 2 * time.Second
	minServerBatchDelay = 200 * time.Millisecond
	serverBatchShare    = 0.2
	// configBatchDelay is how long changes of the configuration that follow a change are
	// collected. It is below the time after which a gateway counts as behind its peers.
	configBatchDelay = 250 * time.Millisecond
	// peerBatchDelay is how long changes of the list of peers are collected, which is only
	// a hint.
	peerBatchDelay = 2 * time.Second
	// While all VMs start, each server registers and each gateway watches, so for
	// startTime after the start of the process changes of servers are collected for
	// startServerBatchDelay, and those of peers for startPeerBatchDelay. These are below
	// the shortest time that a server may drain.
	startTime             = 8 * time.Second
	startServerBatchDelay = 1 * time.Second
	startPeerBatchDelay   = 5 * time.Second
	// configReadAfter is the age of the configuration from which it is read in place
	// of watched after a change. Beyond configBatchDelay it is below the time between two
	// changes of a fast series, 0.2 s, so that a watch returns few versions.
	configReadAfter = configBatchDelay + 150*time.Millisecond
	// sweepInterval is the time between sweeps of idle connections and missing
	// servers.
	sweepInterval = 250 * time.Millisecond
	// maxHeaderBytes bounds the head of a request; the configuration may state
	// less.
	maxHeaderBytes = 64 << 10
)

// Protocol is the adapter to a platform.
type Protocol struct {
	Wire  ingress.Wire
	Store follow.Store
	// EngineMemory returns the client for reservations of engine memory.
	EngineMemory  func(*upstream.Client) reserve.EngineMemory
	DecodeConfig  func([]byte) (*routing.Config, error)
	DecodeServer  func(key string, value []byte) (*registry.Server, error)
	ConfigKey     string
	ServersPrefix string
	// EvacuationsPrefix is that of the keys of evacuated data centres, followed by their
	// names.
	EvacuationsPrefix string
	// Quarantine keeps the quarantined parts of prompts; nil if they need not last.
	Quarantine quarantine.Store
}

// Options are the settings of a node.
type Options struct {
	VM         string
	DataCentre string
	Callers    string // listen address for callers, IP:port
	Peers      string // listen address for datagrams of peers, IP:port
	Budget     retry.WindowConfig
	// UnusedMemory is how long engine memory may stay reserved before its
	// request starts to be answered; 0 for no limit.
	UnusedMemory time.Duration
	// Footprint bounds what is held for callers.
	Footprint footprint.Limits
	// DrainTime is how long a server that drains or has left may get requests; 0 for
	// defaultDrainTime.
	DrainTime time.Duration
	// ConfigDeadline is how long after its write a configuration may come into force; 0 for
	// defaultConfigDeadline.
	ConfigDeadline time.Duration
	// EvacuationTime is how long after the evacuation of a data centre its servers may get
	// requests; 0 if data centres are not evacuated.
	EvacuationTime time.Duration
	// Regions are the regions of the data centres; empty if requests may go to any.
	Regions map[string]string
	// DrainLimit bounds the duration of a graceful stop.
	DrainLimit time.Duration
	Log        *slog.Logger
	Meter      metric.Meter
}

// Node is a gateway process.
type Node struct {
	options  Options
	protocol Protocol
	registry *registry.Registry
	schedule *schedule.Scheduler
	gateway  *ingress.Gateway
	client   *upstream.Client
	peers    *peers.Exchange
	stop     chan struct{} // closed by Stop
	stopOnce sync.Once
	// followers are set by New and never change. The first one follows the
	// configuration.
	followers []*follow.Follower
	checker   *follow.Checker
	storeEra  atomic.Int64 // that the last answers of the store have shown
	// wholeReads is the store of the followers.
	wholeReads *follow.FirstRead
	configLag  *configLag
	// quarantine holds the parts of prompts on which servers crash.
	quarantine *quarantine.List
	// footprint holds what is held for callers.
	footprint *footprint.Tracker
	ended     endedLog // only sweep uses it
	// evacuations holds the evacuated data centres; nil if none ever is.
	evacuations *evacuation.List
	// registrationLost receives when the store no longer lists this gateway; its
	// capacity is 1.
	registrationLost chan struct{}
}

// New returns a node that makes no connections until Run is called.
func New(o Options, p Protocol) (*Node, error) {
	n := &Node{options: o, protocol: p, client: upstream.New(), footprint: footprint.NewTracker(o.Footprint), stop: make(chan struct{}), registrationLost: make(chan struct{}, 1)}
	n.registry = registry.New(n.serverChanged)
	n.schedule = schedule.New(n.registry, o.VM, o.DataCentre)
	n.schedule.Regions = o.Regions
	n.schedule.OnPeerSuspect = func(peer, service, id string) {
		o.Log.Info("server suspected by a peer", "service", service, "server", id, "peer", peer)
	}
	n.schedule.OnReport = n.logReport
	n.schedule.OnEject = func(service, id string) {
		o.Log.Warn("server ejected", "service", service, "server", id)
	}
	metrics, err := ingress.NewMetrics(o.Meter)
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	dials, err := o.Meter.Int64Counter("gateway.dials", metric.WithDescription("Connections opened to backend servers"))
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	n.client.OnDial = func() { dials.Add(context.Background(), 1) }
	n.peers = peers.New(o.VM, n.schedule, o.Log, n.configVersion)
	n.peers.DataCentre, n.peers.DataCentreOf = o.DataCentre, n.registry.DataCentreOf
	n.quarantine = quarantine.New(quarantine.Options{VM: o.VM, Log: o.Log, Store: p.Quarantine, Changed: n.peers.SendSoon, OnCrash: n.watchQuarantine})
	n.peers.Quarantine = n.quarantine
	if err := n.quarantine.RegisterMetrics(o.Meter); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	if o.EvacuationTime > 0 {
		n.evacuations = n.newEvacuations()
		n.peers.Evacuations = n.evacuations
		n.registry.RequireEvacuations()
	}
	if err := errors.Join(n.registerPlaces(), n.registerFootprint(), n.observeFirstTokens()); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	n.followers = n.newFollowers()
	if err := n.registerEra(); err != nil {
		return nil, err
	}
	if n.checker, err = n.newChecker(); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	n.peers.Proofs, n.peers.OnProofs = n.proofs, n.adoptProofs
	n.configLag = &configLag{log: o.Log, inForce: n.configVersion, refresh: n.followers[0].Refresh}
	if err := n.configLag.registerMetrics(o.Meter); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	n.followers[0].OnRead = n.configLag.handleRead
	n.peers.OnPeerConfig = func(version int64) { n.configLag.observe(version, time.Now()) }
	n.schedule.OnPlaced = n.peers.SendSoon
	memory := p.EngineMemory(n.client)
	if source, ok := memory.(reserve.ReportSource); ok {
		source.OnReport(n.schedule.ObserveReport)
	}
	n.gateway = ingress.New(ingress.Options{Wire: p.Wire, Scheduler: n.schedule, Client: n.client, Log: o.Log,
		Reserver: reserve.New(memory, o.Log), Metrics: metrics,
		Quarantine: n.quarantine, UnusedMemory: o.UnusedMemory, Footprint: n.footprint, Budget: o.Budget, Processes: n.peers.Processes,
		Behind: func() bool { return n.configLag.behind(time.Now()) > 0 }})
	return n, nil
}

func (n *Node) configVersion() int64 {
	if t := n.gateway.Table(); t != nil {
		return t.Version
	}
	return 0
}

func (n *Node) serverChanged(c registry.Change) {
	n.options.Log.Info("server "+string(c.Event), "server", c.Server.ID, "service", c.Server.Service, "address", c.Server.Address, "server_data_centre", c.Server.DataCentre)
	switch c.Event {
	case registry.Added, registry.Restarted:
		n.schedule.Forget(c.Server.Service, c.Server.ID)
	case registry.Removed:
		n.schedule.Forget(c.Server.Service, c.Server.ID)
		n.schedule.ForgetReports(c.Server)
		n.client.Forget(c.Server.Address)
	}
}

// ServersHandler returns the handler by which operators see what servers have reported of
// themselves.
func (n *Node) ServersHandler() http.Handler { return http.HandlerFunc(n.showReports) }

// QuarantineHandler returns the handler by which operators see and end quarantines.
func (n *Node) QuarantineHandler() http.Handler { return n.quarantine }

// SetBudget replaces the retry budget.
func (n *Node) SetBudget(c retry.WindowConfig) { n.gateway.SetBudget(c) }

// Stop begins a graceful stop.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Ready returns nil if the node can serve, or the reason why it cannot.
func (n *Node) Ready() error {
	select {
	case <-n.stop:
		return errStopping
	default:
	}
	if n.gateway.Table() == nil {
		return errNoConfiguration
	}
	if !n.registry.Synced() {
		return errNoServers
	}
	if !n.quarantine.Synced() {
		return errNoQuarantine
	}
	if n.evacuations != nil && !n.evacuations.Synced() {
		return errNoEvacuations
	}
	return nil
}

var (
	errStopping        = errors.New("the gateway is stopping")
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoServers       = errors.New("the servers are not known yet")
	errNoQuarantine    = errors.New("the quarantined parts of prompts are not known yet")
	errNoEvacuations   = errors.New("the evacuated data centres are not known yet")
)

// Run serves until a graceful stop is complete or ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listener, err := listen(ctx, n.options.Callers)
	if err != nil {
		return fmt.Errorf("open the callers' port: %w", err)
	}
	datagrams, err := listenUDP(n.options.Peers)
	if err != nil {
		return errors.Join(fmt.Errorf("open the peers' port: %w", err), listener.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := n.newServer()
	group, ctx := errgroup.WithContext(ctx)
	callers := newCallerListener(listener, n.callerLimits, n.footprint)
	group.Go(func() error { return callers.serve(server) })
	group.Go(func() error { return n.peers.Run(ctx, datagrams) })
	group.Go(func() error { return n.schedule.Run(ctx) })
	group.Go(func() error { return n.quarantine.Run(ctx) })
	group.Go(func() error { return n.sweep(ctx) })
	group.Go(func() error { return n.maintainRegistration(ctx) })
	for _, f := range n.followers {
		group.Go(func() error { return f.Run(ctx) })
	}
	group.Go(func() error { return n.checker.Run(ctx) })
	group.Go(func() error {
		defer cancel()
		return n.drain(ctx, server, callers)
	})
	return group.Wait()
}

// newServer returns the HTTP server for callers.
func (n *Node) newServer() *http.Server {
	return &http.Server{Handler: n.gateway, MaxHeaderBytes: maxHeaderBytes, ConnState: trackState, ConnContext: connContext,
		BaseContext: n.gateway.BaseContext, ErrorLog: slog.NewLogLogger(n.options.Log.Handler(), slog.LevelDebug)}
}

func listenUDP(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
}

// callerLimits returns the limits of the configuration in force; none before the first one.
func (n *Node) callerLimits() routing.Limits {
	if t := n.gateway.Table(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

// newFollowers returns the followers of the configuration, the servers, the other
// gateways, the quarantined parts of prompts and the evacuated data centres.
func (n *Node) newFollowers() []*follow.Follower {
	followers := []*follow.Follower{
		{Prefix: n.protocol.ConfigKey, Handler: &configHandler{node: n}, ReadAfter: configReadAfter, BatchDelay: configBatchDelay},
		{Prefix: n.protocol.ServersPrefix, Handler: &serverHandler{node: n}, BatchDelay: n.serverBatchDelay(), StartTime: startTime, StartBatchDelay: startServerBatchDelay},
		{Prefix: peersPrefix, Handler: &peerHandler{node: n, known: map[string]peer{}}, BatchDelay: peerBatchDelay, StartTime: startTime, StartBatchDelay: startPeerBatchDelay,
			Unwatched: func() bool { return true }},
	}
	if n.protocol.Quarantine != nil {
		followers = append(followers, &follow.Follower{Prefix: quarantine.Prefix, Handler: n.quarantine, Unwatched: n.quarantine.Idle})
		n.quarantine.Position = followers[len(followers)-1].Position
	}
	if n.evacuations != nil {
		f := &follow.Follower{Prefix: n.protocol.EvacuationsPrefix, Handler: n.evacuations}
		n.evacuations.Revision = f.Position
		followers = append(followers, f)
	}
	n.wholeReads = &follow.FirstRead{Store: n.protocol.Store}
	for _, f := range followers {
		f.Store, f.Log = n.wholeReads, n.options.Log
		if f.Unwatched == nil {
			f.OnCut = n.doubtUnwatched
		}
	}
	return followers
}

// serverBatchDelay returns how long changes of servers are collected.
func (n *Node) serverBatchDelay() time.Duration {
	beyond := max(n.options.DrainTime-defaultDrainTime, 0)
	return minServerBatchDelay + time.Duration(float64(beyond)*serverBatchShare)
}

// sweep closes idle connections and removes missing servers periodically.
func (n *Node) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.client.Sweep(now)
			n.registry.Sweep(now)
			n.logEnded(now)
		}
	}
}

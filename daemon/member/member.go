// Package member makes a process part of its fleet. It manages the sessions with
// other processes, the replica of the configuration, and the record of which
// revision is in force at which process. Both entry and agent use it.
package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/link"
	"camphorwick.dev/policy/subset"
	"camphorwick.dev/settings"
)

// isolatedAfter is the time without contact to the store or any peer after
// which a process reports that it is not ready.
const isolatedAfter = 5 * time.Second

// Hooks connects a role to its Member. Its methods may be called concurrently.
type Hooks interface {
	// Load returns the load to report to a peer; nil for entries.
	Load(peer *wire.Hello) *wire.Load
	// Backend describes the backend server; nil for entries.
	Backend() *wire.BackendInfo
	// PeerLoad handles the load that an agent reported.
	PeerLoad(peer *wire.Hello, load *wire.Load)
	// Demand returns the demand to report to a peer; nil for agents.
	Demand(peer *wire.Hello) []*wire.ModelDemand
	// PeerDemand handles the demand that an entry reported.
	PeerDemand(peer *wire.Hello, demand []*wire.ModelDemand)
	// PeerChanged is called when a peer becomes usable or stops being so.
	PeerChanged(peer *wire.Hello, usable bool)
	// VMsChanged is called when the VM list has changed.
	VMsChanged(vms []cloud.VM)
	// Stream serves a stream that an entry opened.
	Stream(ctx context.Context, s *link.Stream)
	// ConfigChanged is called after a new revision is in force.
	ConfigChanged(config *fleetconf.Config)
}

// Member is one process of the fleet.
type Member struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Replica  *fleetconf.Replica
	Tracker  *fleetconf.Tracker
	Node     *link.Node
	KV       cloud.KV
	VMs      cloud.VMList
	Epoch    uint64

	hooks Hooks
	// lastStoreContact is the Unix time of the last successful store call, in
	// nanoseconds.
	lastStoreContact atomic.Int64
	vms              atomic.Pointer[[]cloud.VM]
	// agentTargets are the agents that this process keeps sessions with; nil until the
	// VM list was read for the first time.
	agentTargets atomic.Pointer[[]string]
	started      time.Time
}

// New returns a member that does nothing until Run.
func New(s *settings.Settings, log *slog.Logger, kv cloud.KV, vms cloud.VMList, hooks Hooks) (*Member, error) {
	m := &Member{Settings: s, Log: log, Replica: fleetconf.NewReplica(), Tracker: fleetconf.NewTracker(),
		KV: kv, VMs: vms, hooks: hooks, started: time.Now(), Epoch: uint64(time.Now().UnixNano())}
	config := link.Config{Self: m.hello, Handler: (*handler)(m), Log: log}
	if s.TLS != nil {
		client, server, err := link.LoadTLS(s.TLS.CertFile, s.TLS.KeyFile, s.TLS.CAFile)
		if err != nil {
			return nil, fmt.Errorf("set up transport security: %w", err)
		}
		config.ClientTLS, config.ServerTLS = client, server
	} else {
		log.Warn("sessions between processes are not encrypted or authenticated, because insecure_plaintext is set")
	}
	m.Node = link.NewNode(config)
	return m, nil
}

// Claimant returns the name of this process in the order journal and in
// placement leases.
func (m *Member) Claimant() string { return fmt.Sprintf("%s/%d", m.Settings.VM, m.Epoch) }

// Role returns the role in its wire form.
func (m *Member) Role() wire.Role {
	if m.Settings.Role == settings.RoleEntry {
		return wire.Role_ROLE_ENTRY
	}
	return wire.Role_ROLE_AGENT
}

func (m *Member) hello() *wire.Hello {
	return &wire.Hello{Vm: m.Settings.VM, Role: m.Role(), DataCentre: m.Settings.DataCentre, Epoch: m.Epoch,
		ConfigRevision: m.Replica.Revision(), Backend: m.hooks.Backend()}
}

// Run serves sessions and follows the configuration and the VM list until ctx
// ends.
func (m *Member) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.Node.Run(ctx, listener) })
	group.Go(func() error { return m.propagateChanges(ctx) })
	if m.Role() == wire.Role_ROLE_ENTRY {
		group.Go(func() error { return m.followVMs(ctx) })
		group.Go(func() error { return m.watchWhileChosen(ctx) })
	}
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run member: %w", err)
	}
	return nil
}

// propagateChanges applies each new revision and sends it to the peers
// immediately.
func (m *Member) propagateChanges(ctx context.Context) error {
	for {
		changed := m.Replica.Changed()
		config := m.Replica.Config()
		m.hooks.ConfigChanged(config)
		m.confirmSelf()
		m.Node.SendHeartbeats()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (m *Member) confirmSelf() {
	m.Tracker.Merge(time.Now(), &wire.Confirmation{Vm: m.Settings.VM, Role: m.Role(),
		DataCentre: m.Settings.DataCentre, Epoch: m.Epoch, ConfigRevision: m.Replica.Revision()})
}

// followVMs polls the VM list and maintains sessions to the listed VMs. While
// the list cannot be read, the last one, or the peers in the settings, stay in
// use.
func (m *Member) followVMs(ctx context.Context) error {
	interval := time.Duration(m.Settings.Platform.VMPollMillis) * time.Millisecond
	timeout := time.Duration(m.Settings.Platform.TimeoutMillis) * time.Millisecond
	m.setVMs(m.settingsPeers())
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		vms, err := m.VMs.VMs(callCtx)
		cancel()
		if err == nil {
			m.RecordStoreContact()
			m.setVMs(append(vms, m.settingsPeers()...))
			m.setAgentTargets()
		} else if ctx.Err() == nil {
			m.Log.Warn("VM list cannot be read", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

func (m *Member) settingsPeers() []cloud.VM {
	peers := make([]cloud.VM, 0, len(m.Settings.Platform.Peers))
	for _, p := range m.Settings.Platform.Peers {
		peers = append(peers, cloud.VM{ID: p.VM, Role: string(p.Role), DataCentre: p.DataCentre,
			Address: p.Address, State: cloud.VMLive})
	}
	return peers
}

// setVMs stores the list and updates the session targets if the list has
// changed. Of two entries, the one with the smaller VM id dials.
func (m *Member) setVMs(vms []cloud.VM) {
	vms = m.keepConnected(uniqueVMs(vms))
	if old := m.vms.Load(); old != nil && slices.Equal(*old, vms) {
		return
	}
	m.vms.Store(&vms)
	chosen := m.choosePeers(vms)
	var targets []link.Target
	for _, vm := range vms {
		role := wire.Role_ROLE_AGENT
		if vm.Role == string(settings.RoleEntry) {
			role = wire.Role_ROLE_ENTRY
		}
		if chosen[vm.ID] && (role == wire.Role_ROLE_AGENT || vm.ID > m.Settings.VM) {
			targets = append(targets, link.Target{VM: vm.ID, Role: role, Address: vm.Address})
		}
	}
	m.Node.SetTargets(targets)
	m.hooks.VMsChanged(vms)
}

// setAgentTargets records the agents of the current list that this process keeps
// sessions with.
func (m *Member) setAgentTargets() {
	vms := m.ListedVMs()
	chosen := m.choosePeers(vms)
	agents := []string{}
	for _, vm := range vms {
		if vm.Role != string(settings.RoleEntry) && chosen[vm.ID] {
			agents = append(agents, vm.ID)
		}
	}
	m.agentTargets.Store(&agents)
}

// AgentTargets returns the agents that this process keeps sessions with. ok is false
// until the VM list was read.
func (m *Member) AgentTargets() (vms []string, ok bool) {
	if targets := m.agentTargets.Load(); targets != nil {
		return *targets, true
	}
	return nil, false
}

// uniqueVMs returns the list without duplicates; the first item of each VM
// stays.
func uniqueVMs(vms []cloud.VM) []cloud.VM {
	seen := map[string]bool{}
	var list []cloud.VM
	for _, vm := range vms {
		if !seen[vm.ID] {
			seen[vm.ID] = true
			list = append(list, vm)
		}
	}
	return list
}

// keepConnected adds the VMs of the last list that are missing in the new one but
// still have a usable session, because a list that is empty or incomplete for a
// while must not close working sessions.
func (m *Member) keepConnected(vms []cloud.VM) []cloud.VM {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	usable := map[string]bool{}
	for _, p := range m.Node.Peers() {
		usable[p.Hello.Vm] = p.Connected && !p.Suspected
	}
	for _, vm := range m.ListedVMs() {
		if !listed[vm.ID] && usable[vm.ID] {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Numbers of entries that have control sessions with each other. In a large
// fleet, each entry chooses localEntries entries of its own data centre, and
// remoteEntries entries of each data centre have sessions with the other data
// centres.
const (
	localEntries  = 4
	remoteEntries = 2
	// maxFullMeshEntries is the largest number of entries that are all connected
	// to each other.
	maxFullMeshEntries = 16
)

// choosePeers returns the VMs that this entry has sessions with: all in a small
// fleet, else a subset. All entries compute the subsets in the same way.
func (m *Member) choosePeers(vms []cloud.VM) map[string]bool {
	self := subset.Node{VM: m.Settings.VM, DataCentre: m.Settings.DataCentre}
	entries := []subset.Node{self}
	var agents []subset.Node
	for _, vm := range vms {
		node := subset.Node{VM: vm.ID, DataCentre: vm.DataCentre}
		switch {
		case vm.Role != string(settings.RoleEntry):
			agents = append(agents, node)
		case vm.ID != self.VM:
			entries = append(entries, node)
		}
	}
	chosen := map[string]bool{}
	local, remote := localEntries, remoteEntries
	if len(entries) <= maxFullMeshEntries {
		local, remote = maxFullMeshEntries, maxFullMeshEntries
	}
	for _, vm := range subset.Entries(self, entries, local, remote) {
		chosen[vm] = true
	}
	for _, vm := range subset.Agents(subset.Config{}, self, entries, agents) {
		chosen[vm] = true
	}
	return chosen
}

// ListedVMs returns the VMs of the current list.
func (m *Member) ListedVMs() []cloud.VM {
	if vms := m.vms.Load(); vms != nil {
		return *vms
	}
	return nil
}

// LiveEntries returns this entry and the entries with a usable session.
func (m *Member) LiveEntries() []fleetconf.LiveEntry {
	live := []fleetconf.LiveEntry{{VM: m.Settings.VM, DataCentre: m.Settings.DataCentre}}
	for _, p := range m.Node.Peers() {
		if p.Hello.Role == wire.Role_ROLE_ENTRY && p.Connected && !p.Suspected {
			live = append(live, fleetconf.LiveEntry{VM: p.Hello.Vm, DataCentre: p.Hello.DataCentre})
		}
	}
	return live
}

// RecordStoreContact records a successful call to the store.
func (m *Member) RecordStoreContact() { m.lastStoreContact.Store(time.Now().UnixNano()) }

// Isolated reports whether the last contact to the store is longer ago than
// isolatedAfter and no peer is usable, so that configuration changes may be
// missed.
func (m *Member) Isolated() bool {
	if time.Since(m.started) < isolatedAfter || time.Since(time.Unix(0, m.lastStoreContact.Load())) < isolatedAfter {
		return false
	}
	for _, p := range m.Node.Peers() {
		if p.Connected && !p.Suspected {
			return false
		}
	}
	return true
}

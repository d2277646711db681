// Package peers exchanges loads between the gateways of an installation: each
// sends datagrams with the load of its own requests on each backend server. The
// loads are hints: a lost datagram leads to a worse choice of server, never to a
// wrong answer. The datagrams also carry what gateways tell each other about
// servers that crash on parts of prompts (package quarantine), and how current their copies
// of the lists in the store are (package follow), and which data centres are evacuated (package evacuation).
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/gateway/evacuation"
	"camphorwick.dev/gateway/follow"
	"camphorwick.dev/gateway/quarantine"
	"camphorwick.dev/gateway/schedule"
)

const (
	// The shortest time between two datagrams to a peer is minInterval, or
	// intervalPerPeer times the number of peers if that is longer, so that the
	// datagrams per second of a process are bounded.
	minInterval     = 3 * time.Millisecond
	intervalPerPeer = 500 * time.Microsecond
	// changesInterval is the time between datagrams with changed loads while no
	// prompt is placed; each placement triggers one.
	changesInterval = 60 * time.Millisecond
	// completeInterval is the time between datagrams with all loads of a
	// process, which make up for lost datagrams.
	completeInterval = 600 * time.Millisecond
	// keepaliveInterval is the longest time between datagrams of a process with
	// requests in flight. Its peers drop its loads if no datagram has come for
	// about four times as long (dispatch.LoadTracker.Expire).
	keepaliveInterval = 2 * changesInterval
	// syncRequestInterval is the shortest time between two sync requests to a
	// peer.
	syncRequestInterval = 50 * time.Millisecond
	// maxDatagram bounds datagrams in both directions, in bytes.
	maxDatagram = 60_000
)

// Exchange sends and receives loads. It is safe for concurrent use.
type Exchange struct {
	VM        string
	Scheduler *schedule.Scheduler
	Log       *slog.Logger
	// ConfigVersion returns the configuration version in force in this process.
	ConfigVersion func() int64
	// OnPeerConfig is called with the configuration version in force at a peer, for
	// each of its messages; never concurrently.
	OnPeerConfig func(version int64)
	// DataCentre is that of this process, DataCentreOf returns that of a server, empty if it
	// is not known. They are used by groups.
	DataCentre   string
	DataCentreOf func(server string) string
	// Proofs returns how current this process is, OnProofs is called with what a peer says
	// of itself, never concurrently; nil for nothing.
	Proofs   func() []follow.Proof
	OnProofs func([]follow.Proof)
	// Quarantine holds what gateways tell each other about parts of prompts on which
	// servers crash; nil for nothing.
	Quarantine *quarantine.List
	// Evacuations holds which data centres are evacuated; nil for nothing.
	Evacuations *evacuation.List

	process uint64        // random number of this process
	wake    chan struct{} // triggers a datagram
	// proofsDue is set if the next datagram has the proofs of this process.
	proofsDue atomic.Bool
	// evacuationsDue is set if the next datagram has the evacuations.
	evacuationsDue atomic.Bool
	// toldLeaving is the number of servers in the last datagram that leave. Only send uses
	// it.
	toldLeaving int

	// The following fields are used only by receive.

	newest          map[string]messageID // the newest message, by VM
	lastSyncRequest map[string]time.Time // by VM

	mu         sync.Mutex
	peers      map[string]netip.AddrPort // by VM, without this process
	remote     map[string]string         // data centres of the peers in other ones, by VM; nil if all are told the same
	peersKnown bool                      // SetPeers was called
	// syncRequesters are the peers that have requested all loads of this
	// process.
	syncRequesters []netip.AddrPort
}

// messageID orders the messages of a process. The sequence numbers of two processes
// of a VM cannot be compared, because the clock may be set back between them.
type messageID struct{ process, sequence uint64 }

// New returns an exchange. SendSoon may be called before Run.
func New(vm string, s *schedule.Scheduler, log *slog.Logger, configVersion func() int64) *Exchange {
	return &Exchange{VM: vm, Scheduler: s, Log: log, ConfigVersion: configVersion, process: rand.Uint64(), wake: make(chan struct{}, 1), newest: map[string]messageID{},
		lastSyncRequest: map[string]time.Time{}, OnPeerConfig: func(int64) {}}
}

// assumedProcesses is the number of gateways assumed until the list is known.
// The retry budget is divided by the number of gateways, so it is high: this
// process must not take more than its share.
const assumedProcesses = 8

// SetPeers replaces the addresses of the other gateways by VM.
func (e *Exchange) SetPeers(peers map[string]netip.AddrPort) { e.SetPeersIn(peers, nil) }

// SetPeersIn is SetPeers with the data centres of the gateways by VM.
func (e *Exchange) SetPeersIn(peers map[string]netip.AddrPort, dataCentres map[string]string) {
	delete(peers, e.VM)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers, e.remote = peers, remotePeers(peers, dataCentres, e.DataCentre)
	e.peersKnown = true
}

// Processes returns the number of gateways, including this one, among which the
// retry budget is divided.
func (e *Exchange) Processes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.peersKnown {
		return assumedProcesses
	}
	return len(e.peers) + 1
}

// Run exchanges loads over conn until ctx ends and closes conn.
func (e *Exchange) Run(ctx context.Context, conn *net.UDPConn) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.send(ctx, conn) })
	group.Go(func() error { return e.receive(ctx, conn) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

// SendSoon triggers a datagram, for instance because a prompt was placed. It
// never blocks.
func (e *Exchange) SendSoon() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

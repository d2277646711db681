// Package peers tells the other gateways of an installation what this one has
// in work on each backend server, in datagrams. The word of a peer is a hint:
// a lost datagram costs a worse choice, never a wrong answer.
package peers

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
)

const (
	// minInterval is the shortest time between two datagrams to a peer, and
	// intervalPerPeer what each peer adds, so that the cost of a process stays
	// bounded in large installations.
	minInterval     = 3 * time.Millisecond
	intervalPerPeer = 500 * time.Microsecond
	// changeInterval is the time between datagrams while nothing is placed.
	changeInterval = 60 * time.Millisecond
	// completeInterval is the time between datagrams that name all servers,
	// which make up for lost ones.
	completeInterval = 600 * time.Millisecond
	// signInterval is the longest silence of a process with work: its peers
	// take a longer one for its end.
	signInterval = 2 * changeInterval
	// askInterval is the shortest time between two questions to a peer.
	askInterval = 50 * time.Millisecond
	// maxDatagram bounds what is sent and read.
	maxDatagram = 60_000
)

// Exchange sends and takes the loads. Safe for concurrent use.
type Exchange struct {
	VM        string
	Scheduler *schedule.Scheduler
	Log       *slog.Logger
	// ConfigVersion returns the version in force here.
	ConfigVersion func() int64
	// OnNewerConfig is called when a peer has a newer configuration for longer
	// than changes take to arrive everywhere, at most once in newerInterval.
	OnNewerConfig func(version int64)

	kick chan struct{}

	// sequence holds the newest message by VM, asked when a peer was asked for
	// all of its work, newer since when a peer has a newer configuration. Only
	// receive uses them.
	sequence map[string]uint64
	asked    map[string]time.Time
	newer    time.Time

	mu     sync.Mutex
	peers  map[string]netip.AddrPort
	synced bool
	// askers are peers that want to know all work of this process.
	askers []netip.AddrPort
}

// New returns an exchange; Kick may be called from now on.
func New(vm string, s *schedule.Scheduler, log *slog.Logger, configVersion func() int64) *Exchange {
	return &Exchange{VM: vm, Scheduler: s, Log: log, ConfigVersion: configVersion, kick: make(chan struct{}, 1), sequence: map[string]uint64{},
		asked: map[string]time.Time{}, OnNewerConfig: func(int64) {}}
}

// unknownProcesses is assumed until the other gateways are known: it keeps the
// share of a process in a common bound small.
const unknownProcesses = 8

// SetPeers replaces the list of the other gateways by VM.
func (e *Exchange) SetPeers(peers map[string]netip.AddrPort) {
	delete(peers, e.VM)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
	e.synced = true
}

// Processes returns the number of gateways, this one included.
func (e *Exchange) Processes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.synced {
		return unknownProcesses
	}
	return len(e.peers) + 1
}

// Run exchanges loads over conn until ctx ends; it closes conn.
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

// Kick asks for a datagram soon, because a prompt was placed. It never blocks.
func (e *Exchange) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	sequence := uint64(time.Now().UnixNano()) // rises over restarts; a clock step costs some datagrams
	sent := map[string]*wire.ServerLoad{}
	var completed, spoke time.Time
	timer := time.NewTimer(changeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.kick:
		case <-timer.C:
		}
		complete := time.Since(completed) >= completeInterval
		loads := e.loads(sent, complete)
		targets := e.targets()
		if complete || len(loads.GetLoads()) > 0 || len(loads.GetUnreachable()) > 0 || len(sent) > 0 && time.Since(spoke) >= signInterval {
			sequence++
			loads.Sequence = sequence
			e.broadcast(conn, loads, targets)
			spoke = time.Now()
		}
		if complete {
			completed = time.Now()
		}
		if askers := e.takeAskers(); len(askers) > 0 {
			whole := e.loads(map[string]*wire.ServerLoad{}, true)
			sequence++
			whole.Sequence = sequence
			e.broadcast(conn, whole, askers)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(minInterval, time.Duration(len(targets))*intervalPerPeer)):
		}
		timer.Reset(changeInterval)
	}
}

func (e *Exchange) broadcast(conn *net.UDPConn, loads *wire.PeerLoads, targets []netip.AddrPort) {
	body, err := proto.Marshal(loads)
	if err != nil || len(body) > maxDatagram {
		e.Log.Error("loads cannot be sent", "bytes", len(body))
		return
	}
	for _, target := range targets {
		if _, err := conn.WriteToUDPAddrPort(body, target); err != nil && !errors.Is(err, net.ErrClosed) {
			e.Log.Debug("loads not sent", "peer", target.String(), "error", err.Error())
		}
	}
}

func (e *Exchange) targets() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := make([]netip.AddrPort, 0, len(e.peers))
	for _, address := range e.peers {
		targets = append(targets, address)
	}
	return targets
}

// takeAskers returns the peers that want to know all work of this process.
func (e *Exchange) takeAskers() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	askers := e.askers
	e.askers = nil
	return askers
}

// maxAskers bounds the questions that wait for an answer; who is left out hears
// all work at the end of completeInterval.
const maxAskers = 64

func (e *Exchange) addAsker(peer netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.askers) < maxAskers && !slices.Contains(e.askers, peer) {
		e.askers = append(e.askers, peer)
	}
}

// ask asks a peer for all of its work.
func (e *Exchange) ask(conn *net.UDPConn, vm string, peer netip.AddrPort) {
	now := time.Now()
	if now.Sub(e.asked[vm]) < askInterval {
		return
	}
	e.asked[vm] = now
	e.broadcast(conn, &wire.PeerLoads{Vm: e.VM, Asks: true}, []netip.AddrPort{peer})
}

// loads returns what is in work, or what differs from what was sent last.
func (e *Exchange) loads(sent map[string]*wire.ServerLoad, complete bool) *wire.PeerLoads {
	out := &wire.PeerLoads{Vm: e.VM, ConfigVersion: e.ConfigVersion(), Complete: complete}
	working := map[string]bool{}
	e.Scheduler.OwnLoads(func(id string, l dispatch.Load) {
		working[id] = true
		load := &wire.ServerLoad{Server: id, Writers: uint32(l.Decoding), Waiting: uint32(l.Prefilling),
			Helping: uint32(l.Helping), ContextTokens: uint32(l.ContextTokens), GapMs: uint32(l.EventGapMillis),
			ReadingTokens: round(l.Prefill.Tokens, tokenStep), ReadingMillionPairs: round(l.Prefill.MillionPairs, pairStep)}
		if !complete && proto.Equal(load, sent[id]) {
			return
		}
		sent[id] = load
		out.Loads = append(out.Loads, load)
	})
	for id := range sent {
		if working[id] {
			continue
		}
		delete(sent, id)
		if !complete {
			out.Loads = append(out.Loads, &wire.ServerLoad{Server: id})
		}
	}
	e.Scheduler.Unreachable(func(service, id string, hold time.Duration) {
		out.Unreachable = append(out.Unreachable, &wire.UnreachableServer{Service: service, Server: id, HoldMs: uint32(hold.Milliseconds())})
	})
	return out
}

// Steps to which the work that is left is rounded, so that its steady decrease
// is not a change each time. A receiver adds up what all peers have in work, so
// the steps are far smaller than a usual prompt.
const (
	tokenStep = 512
	pairStep  = 32
)

func round(x, step float64) float32 { return float32(math.Round(x/step) * step) }

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.Log.Debug("datagram not read", "error", err.Error())
			continue
		}
		message := &wire.PeerLoads{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil || message.GetVm() == "" {
			e.Log.Debug("datagram is not a message of a peer", "bytes", n)
			continue
		}
		switch {
		case message.GetAsks():
			e.addAsker(source)
			e.Kick()
		case !e.take(message):
			e.ask(conn, message.GetVm(), source)
		}
	}
}

// newerInterval is how long a peer may be ahead before its word counts.
const newerInterval = 500 * time.Millisecond

// compareConfig notices that the own configuration is behind a peer's.
func (e *Exchange) compareConfig(version int64) {
	if version <= e.ConfigVersion() {
		return
	}
	now := time.Now()
	if e.newer.IsZero() || now.Sub(e.newer) > 4*newerInterval {
		e.newer = now
		return
	}
	if now.Sub(e.newer) > newerInterval {
		e.newer = time.Time{}
		e.OnNewerConfig(version)
	}
}

// take records the word of a peer. It returns false if the peer has work that
// is not known here: this process, or its memory of the peer, is new.
func (e *Exchange) take(m *wire.PeerLoads) bool {
	if m.GetSequence() <= e.sequence[m.GetVm()] {
		return true
	}
	e.sequence[m.GetVm()] = m.GetSequence()
	e.compareConfig(m.GetConfigVersion())
	loads := make(map[string]dispatch.Load, len(m.GetLoads()))
	for _, l := range m.GetLoads() {
		loads[l.GetServer()] = dispatch.Load{Decoding: int(l.GetWriters()), Prefilling: int(l.GetWaiting()), Helping: int(l.GetHelping()),
			ContextTokens: int(l.GetContextTokens()), EventGapMillis: float64(l.GetGapMs()),
			Prefill: dispatch.PrefillWork{Tokens: float64(l.GetReadingTokens()), MillionPairs: float64(l.GetReadingMillionPairs())}}
	}
	if list := m.GetUnreachable(); len(list) > 0 {
		heard := make([]schedule.UnreachableServer, 0, len(list))
		for _, u := range list {
			heard = append(heard, schedule.UnreachableServer{Service: u.GetService(), ID: u.GetServer(), EjectedFor: time.Duration(u.GetHoldMs()) * time.Millisecond})
		}
		e.Scheduler.ReportUnreachable(m.GetVm(), heard)
	}
	return e.Scheduler.SetPeer(m.GetVm(), loads, m.GetComplete())
}

package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/api/wire"
)

// Parameters of heartbeats and connections. A peer is suspected after three
// missed heartbeats, so a failed peer gets no new work after 3 s if a node has at
// most maxPeersAtBaseInterval peers. The delay between dial attempts, without its
// random part, doubles from minRedialDelay to maxRedialDelay.
const (
	HeartbeatInterval = time.Second
	missedHeartbeats  = 3
	SuspectAfter      = missedHeartbeats * HeartbeatInterval
	// closeFactor is the multiple of the suspicion time after which the sessions
	// of an unresponsive peer are closed, so that a half-open connection is
	// replaced.
	closeFactor = 3
	// maxPeersAtBaseInterval is the largest number of peers at which heartbeats
	// are sent every HeartbeatInterval. Up to this size, fast failure detection
	// is worth 14 KB/s of traffic.
	maxPeersAtBaseInterval = 40
	// peersPerInterval is the number of peers per HeartbeatInterval of a node
	// with more peers, whose interval grows in proportion. A heartbeat in each
	// direction takes about 340 bytes including yamux, TLS and TCP/IP, so that
	// heartbeats use 12 x 340 bytes/s = 4 KB/s of the 7 KB/s to which the control
	// traffic of a node is limited.
	peersPerInterval = 12
	// maxConfigDelay bounds the random delay of updates that a node with many
	// peers sends to its agents. An agent that receives the change from another
	// entry in the meantime reports it and is not sent the change again.
	maxConfigDelay = time.Second
	// maxHeartbeatInterval bounds the interval that a peer may announce.
	maxHeartbeatInterval = 30 * time.Second
	minRedialDelay       = 100 * time.Millisecond
	maxRedialDelay       = 2 * time.Second
	maxConnections       = 8192
)

// Target is a process to maintain sessions with.
type Target struct {
	VM      string
	Role    wire.Role
	Address string // IP:port
}

// PeerStatus describes a known peer.
type PeerStatus struct {
	Hello     *wire.Hello
	Connected bool
	Suspected bool
	// LastHeard is the time since the last message, at the time of the call.
	LastHeard time.Duration
}

// Handler supplies the messages to peers and handles those from peers. Calls for
// one peer are made in order; calls for different peers run concurrently.
type Handler interface {
	// Heartbeat returns the content of the next heartbeat; Sequence is set by
	// the Node.
	Heartbeat(peer *wire.Hello) *wire.Heartbeat
	// HeartbeatReceived handles a heartbeat from a peer.
	HeartbeatReceived(peer *wire.Hello, h *wire.Heartbeat)
	// ConfigReceived applies configuration from a peer.
	ConfigReceived(peer *wire.Hello, update *wire.ConfigUpdate)
	// ConfigFor returns the update for a peer at the given revision, or nil if
	// the peer lacks nothing.
	ConfigFor(revision uint64) *wire.ConfigUpdate
	// PeerChanged is called when a peer becomes usable or unusable.
	PeerChanged(peer *wire.Hello, usable bool)
	// Stream serves a stream that a peer opened on its data session.
	Stream(ctx context.Context, s *Stream)
}

// Config holds the parameters of a Node.
type Config struct {
	// Self returns the Hello of this process; Kind is set by the Node.
	Self    func() *wire.Hello
	Handler Handler
	Log     *slog.Logger
	// ClientTLS and ServerTLS are nil for plaintext connections.
	ClientTLS, ServerTLS *tls.Config
}

// Node maintains the sessions of one process.
type Node struct {
	config Config

	mu      sync.Mutex
	peers   map[string]*peer // by VM
	targets map[string]targetState
	group   *errgroup.Group
	ctx     context.Context
	// ended is set before Run returns; no dialler is started afterwards.
	ended bool

	// closing is set by CloseDataSessions.
	closing atomic.Bool
}

type targetState struct {
	Target
	stop context.CancelFunc
	// retired is set for a target that is no longer wanted and whose streams have
	// not ended.
	retired bool
}

// NewNode returns a Node that is started by Run.
func NewNode(config Config) *Node {
	return &Node{config: config, peers: map[string]*peer{}, targets: map[string]targetState{}}
}

// Run accepts connections from the listener and maintains sessions to the
// targets until ctx ends, then closes all sessions.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group, n.ctx = group, ctx
	for vm, t := range n.targets {
		n.startTarget(vm, t.Target)
	}
	n.mu.Unlock()
	group.Go(func() error { return n.acceptConnections(ctx, listener) })
	group.Go(func() error { return n.watchPeers(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		n.mu.Lock()
		n.ended = true // SetTargets must not add to a group that has been waited for
		n.mu.Unlock()
		return listener.Close()
	})
	err := group.Wait()
	n.closeAll()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// SetTargets replaces the set of processes to maintain sessions with. A process
// that is no longer in the set gets no new streams; its sessions are closed when
// the open streams have ended.
func (n *Node) SetTargets(targets []Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := make(map[string]Target, len(targets))
	for _, t := range targets {
		wanted[t.VM] = t
	}
	for vm, state := range n.targets {
		t, ok := wanted[vm]
		switch {
		case !ok:
			n.retireTarget(state)
		case t == state.Target:
			n.reuseTarget(state)
		default:
			n.stopTarget(state)
		}
	}
	for vm, t := range wanted {
		if _, ok := n.targets[vm]; !ok {
			n.startTarget(vm, t)
		}
	}
}

// startTarget starts the diallers of a target; the caller holds n.mu.
func (n *Node) startTarget(vm string, t Target) {
	if n.ctx == nil {
		n.targets[vm] = targetState{Target: t}
		return
	}
	if n.ended {
		return
	}
	if p := n.peers[vm]; p != nil {
		p.setRetired(false)
	}
	ctx, stop := context.WithCancel(n.ctx)
	n.targets[vm] = targetState{Target: t, stop: stop}
	n.group.Go(func() error { return n.maintainSession(ctx, t, wire.SessionKind_SESSION_KIND_CONTROL) })
	if t.Role == wire.Role_ROLE_AGENT {
		n.group.Go(func() error { return n.maintainSession(ctx, t, wire.SessionKind_SESSION_KIND_DATA) })
	}
}

// Open opens a stream to a peer. It returns an error if ctx ends or the peer is
// suspected first. The returned context ends when the peer is lost or suspected.
// Errors are *Error of kind Unreachable.
func (n *Node) Open(ctx context.Context, vm string) (*Stream, context.Context, error) {
	p := n.findPeer(vm)
	if p == nil {
		return nil, nil, &Error{Kind: Unreachable, Peer: vm, Cause: errNoSession}
	}
	p.mu.Lock()
	session, lost, usable := p.data, p.lost, p.usable
	if session == nil || !usable {
		p.mu.Unlock()
		return nil, nil, &Error{Kind: Unreachable, Peer: vm, Cause: errNoSession}
	}
	session.opening.Add(1)
	p.mu.Unlock()
	defer session.opening.Add(-1)
	ctx, cancel := WithCancelOnLoss(ctx, lost)
	defer cancel()
	stream, err := session.openContext(ctx)
	if err != nil {
		return nil, nil, err
	}
	return stream, lost, nil
}

var errLost = errors.New("peer is lost or suspected")

// WithCancelOnLoss returns a copy of ctx that also ends when lost, the context returned by
// Open, ends. Its cause is then an error of this package.
func WithCancelOnLoss(ctx, lost context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(lost, func() { cancel(errLost) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

var errNoSession = errors.New("no usable session")

// Peers returns the status of all known peers.
func (n *Node) Peers() []PeerStatus {
	n.mu.Lock()
	peers := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	n.mu.Unlock()
	now := time.Now()
	status := make([]PeerStatus, 0, len(peers))
	for _, p := range peers {
		p.mu.Lock()
		status = append(status, PeerStatus{Hello: p.hello, Connected: p.control != nil,
			Suspected: p.control != nil && !p.usable, LastHeard: now.Sub(p.lastHeard)})
		p.mu.Unlock()
	}
	return status
}

// SendHeartbeats makes the Node send heartbeats and missing configuration to all peers
// immediately. It is called when the configuration or the drain state changes.
func (n *Node) SendHeartbeats() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		select {
		case p.sendNow <- struct{}{}:
		default:
		}
	}
}

// hasManyPeers reports whether the node has more than maxPeersAtBaseInterval
// peers.
func (n *Node) hasManyPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers) > maxPeersAtBaseInterval
}

// interval returns the heartbeat interval. It grows with the number of peers, so
// that the control traffic of a node stays bounded.
func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) <= maxPeersAtBaseInterval {
		return HeartbeatInterval
	}
	rounds := (len(n.peers) + peersPerInterval - 1) / peersPerInterval
	return min(time.Duration(rounds)*HeartbeatInterval, maxHeartbeatInterval)
}

func (n *Node) findPeer(vm string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[vm]
}

// acceptConnections serves at most maxConnections connections at a time and
// closes further ones.
func (n *Node) acceptConnections(ctx context.Context, listener net.Listener) error {
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept connection: %w", err)
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		n.group.Go(func() error {
			defer func() { <-slots }()
			n.serveConn(ctx, conn)
			return nil
		})
	}
}

func (n *Node) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	session, err := acceptSession(conn, n.config.ServerTLS, n.acceptHello)
	if errors.Is(err, errClosing) {
		n.config.Log.Debug("connection refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	if err != nil {
		n.config.Log.Warn("connection refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	defer session.Close()
	n.runSession(ctx, session, false)
}

// acceptHello returns this process's Hello for a session kind that a peer
// requests, or an error if the kind is unknown or this process is closing its
// sessions.
func (n *Node) acceptHello(kind wire.SessionKind) (*wire.Hello, error) {
	switch {
	case kind != wire.SessionKind_SESSION_KIND_CONTROL && kind != wire.SessionKind_SESSION_KIND_DATA:
		return nil, errSessionKind
	case kind == wire.SessionKind_SESSION_KIND_DATA && n.closing.Load():
		return nil, errClosing
	}
	return n.hello(kind), nil
}

// hello returns this process's Hello for a session kind.
func (n *Node) hello(kind wire.SessionKind) *wire.Hello {
	h := n.config.Self()
	h.Kind = kind
	h.ProtocolVersion = ProtocolVersion
	return h
}

// maintainSession dials a target and serves the session, with a backoff between
// attempts, until ctx ends.
func (n *Node) maintainSession(ctx context.Context, t Target, kind wire.SessionKind) error {
	delay := minRedialDelay
	for ctx.Err() == nil {
		session, err := dialSession(ctx, t.Address, n.config.ClientTLS, n.hello(kind))
		if err == nil && session.Peer.Vm != t.VM {
			session.Close()
			err = &Error{Kind: Refused, Peer: t.VM, Cause: fmt.Errorf("%w: %s", errOtherVM, session.Peer.Vm)}
		}
		if err != nil {
			n.config.Log.Debug("dial failed", "peer", t.VM, "error", err.Error())
			sleep(ctx, delay+rand.N(delay))
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		n.runSession(ctx, session, true)
		session.Close()
		sleep(ctx, minRedialDelay)
	}
	return nil
}

var errOtherVM = errors.New("address belongs to another VM")

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runSession registers a session and serves it until it ends.
func (n *Node) runSession(ctx context.Context, session *Session, dialled bool) {
	p, ok := n.register(session)
	if !ok {
		return
	}
	defer n.unregister(p, session)
	stop := context.AfterFunc(ctx, session.Close)
	defer stop()
	if session.Peer.Kind == wire.SessionKind_SESSION_KIND_CONTROL {
		n.runControl(p, session, dialled)
		return
	}
	if dialled {
		<-session.Done()
		return
	}
	n.acceptStreams(ctx, session)
}

func (n *Node) acceptStreams(ctx context.Context, session *Session) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		group.Go(func() {
			defer stream.Close()
			n.config.Handler.Stream(ctx, stream)
		})
	}
}

func (n *Node) closeAll() {
	for _, s := range n.endPeers() {
		s.Close()
	}
}

// endPeers ends all peers and returns their sessions, which the caller closes.
func (n *Node) endPeers() []*Session {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sessions []*Session
	for _, p := range n.peers {
		p.mu.Lock()
		for _, s := range []*Session{p.control, p.data} {
			if s != nil {
				sessions = append(sessions, s)
			}
		}
		p.cancel()
		p.mu.Unlock()
	}
	return sessions
}

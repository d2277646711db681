package link

import (
	"context"
	"sync"
	"time"

	"camphorwick.dev/api/wire"
)

// peer is the state of one known process.
type peer struct {
	// notifyMu is held from a change of usable until PeerChanged returns, so
	// that the handler sees the changes in order. It is locked before mu.
	notifyMu sync.Mutex

	mu        sync.Mutex
	hello     *wire.Hello
	control   *Session
	data      *Session
	lastHeard time.Time
	// interval is the heartbeat interval that the peer has announced.
	interval time.Duration
	// alive is set while the peer has its sessions and recent heartbeats.
	alive bool
	// usable is set while new streams may be opened: the peer is alive and neither
	// retired nor closing.
	usable bool
	// retired is set while the peer is no longer a target.
	retired bool
	// closing is set if the process of the peer has announced its end.
	closing bool
	// lost is cancelled when the peer stops being alive.
	lost   context.Context
	cancel context.CancelFunc
	// sendNow triggers an immediate heartbeat in sendLoop; capacity 1.
	sendNow chan struct{}
}

// register adds a session to its peer. A session of a newer epoch replaces the
// sessions of the old process. A session of an older epoch is refused, unless
// the peer has had no session for peerRetention: this admits a VM whose clock
// was set back.
func (n *Node) register(session *Session) (*peer, bool) {
	n.mu.Lock()
	p := n.peers[session.Peer.Vm]
	if p == nil {
		p = &peer{hello: session.Peer, interval: HeartbeatInterval, sendNow: make(chan struct{}, 1)}
		p.lost, p.cancel = context.WithCancel(context.Background())
		n.peers[session.Peer.Vm] = p
	}
	n.mu.Unlock()
	p.mu.Lock()
	if session.Peer.Epoch < p.hello.Epoch && !p.expired() {
		p.mu.Unlock()
		n.config.Log.Warn("session of an older epoch refused", "peer", session.Peer.Vm)
		return nil, false
	}
	old := p.install(session)
	p.lastHeard = time.Now()
	p.mu.Unlock()
	for _, s := range old {
		s.Close()
	}
	n.updateUsable(p)
	return p, true
}

// install stores a session and returns the sessions that it replaces. The caller
// holds p.mu and closes them.
func (p *peer) install(session *Session) []*Session {
	var old []*Session
	if session.Peer.Epoch != p.hello.Epoch {
		if p.control != nil {
			old = append(old, p.control)
		}
		if p.data != nil {
			old = append(old, p.data)
		}
		p.control, p.data = nil, nil
		p.closing = false
	}
	slot := &p.data
	if session.Peer.Kind == wire.SessionKind_SESSION_KIND_CONTROL {
		slot = &p.control
	}
	if *slot != nil {
		old = append(old, *slot)
	}
	*slot = session
	p.hello = session.Peer
	return old
}

func (n *Node) unregister(p *peer, session *Session) {
	p.mu.Lock()
	if p.control == session {
		p.control = nil
	}
	if p.data == session {
		p.data = nil
	}
	p.mu.Unlock()
	n.updateUsable(p)
}

// updateUsable recomputes whether a peer is alive and usable, and reports a change
// of usable to the handler. A peer is alive while it has a control session and
// recent heartbeats; an agent also needs a data session. The streams of a peer
// that is alive but not usable go on.
func (n *Node) updateUsable(p *peer) {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	alive := p.control != nil && time.Since(p.lastHeard) < missedHeartbeats*p.interval
	if p.hello.Role == wire.Role_ROLE_AGENT {
		alive = alive && p.data != nil
	}
	if p.alive && !alive {
		p.cancel()
		p.lost, p.cancel = context.WithCancel(context.Background())
	}
	usable := alive && !p.retired && !p.closing
	changed, hello := usable != p.usable, p.hello
	p.alive, p.usable = alive, usable
	p.mu.Unlock()
	if changed {
		n.config.Handler.PeerChanged(hello, usable)
	}
}

// watchPeers suspects unresponsive peers, later closes their sessions, and
// removes expired peers.
func (n *Node) watchPeers(ctx context.Context) error {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	lastCheck := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		n.checkPeers(now, now.Sub(lastCheck))
		lastCheck = now
	}
}

// peerCheckInterval is the time between two checks of the peers.
const peerCheckInterval = HeartbeatInterval / 4

// checkPeers checks all peers once; elapsed is the time since the last check. If
// elapsed exceeds peerCheckInterval by HeartbeatInterval or more, this process
// itself was paused and could not receive heartbeats. The pause is not counted
// against the peers, so that a process that resumes does not suspect all of them
// at once.
func (n *Node) checkPeers(now time.Time, elapsed time.Duration) {
	paused := elapsed - peerCheckInterval
	for _, p := range n.prunePeers() {
		if paused >= HeartbeatInterval {
			p.discountPause(now, paused)
		}
		n.updateUsable(p)
		n.closeUnresponsive(p)
	}
}

// discountPause excludes a pause of this process from the time since the peer
// was last heard.
func (p *peer) discountPause(now time.Time, paused time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard = p.lastHeard.Add(paused)
	if p.lastHeard.After(now) {
		p.lastHeard = now
	}
}

// prunePeers removes expired peers and returns the others.
func (n *Node) prunePeers() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := make([]*peer, 0, len(n.peers))
	for vm, p := range n.peers {
		if n.removable(vm, p) {
			delete(n.peers, vm)
			continue
		}
		peers = append(peers, p)
	}
	return peers
}

// peerRetention is how long a peer without sessions is remembered. Its epoch is
// needed to refuse sessions of an old process that was paused and resumes.
const peerRetention = 10 * time.Minute

// removable reports whether a peer is expired and not a target; the caller holds
// n.mu.
func (n *Node) removable(vm string, p *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wanted := n.targets[vm]
	return !wanted && p.expired()
}

// expired reports whether a peer has no session and was last heard more than
// peerRetention ago; the caller holds p.mu.
func (p *peer) expired() bool {
	return p.control == nil && p.data == nil && time.Since(p.lastHeard) > peerRetention
}

func (n *Node) closeUnresponsive(p *peer) {
	p.mu.Lock()
	var sessions []*Session
	if time.Since(p.lastHeard) > closeFactor*missedHeartbeats*p.interval {
		for _, s := range []*Session{p.control, p.data} {
			if s != nil {
				sessions = append(sessions, s)
			}
		}
	}
	p.mu.Unlock()
	for _, s := range sessions {
		s.Close()
	}
}

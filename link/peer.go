package link

import (
	"context"
	"sync"
	"time"

	"camphorwick.dev/api/wire"
)

// peer is the state of one known process.
type peer struct {
	// notify is held from a change of usable to the end of the handler's call,
	// so that the handler sees the changes in order. It is taken before mu.
	notify sync.Mutex

	mu        sync.Mutex
	hello     *wire.Hello
	control   *Session
	data      *Session
	lastHeard time.Time
	// interval is the time between heartbeats that the peer has announced.
	interval time.Duration
	usable   bool
	// lost is cancelled when the peer stops being usable.
	lost   context.Context
	cancel context.CancelFunc
	// kick asks the control loop to send now; capacity 1.
	kick chan struct{}
}

// register adds a session to its peer. A session of an older epoch than the
// known one is refused while that process may live; a VM whose clock was set
// back can return after forgetAfter. A newer epoch replaces the sessions of
// the old process.
func (n *Node) register(session *Session) (*peer, bool) {
	n.mu.Lock()
	p := n.peers[session.Peer.Vm]
	if p == nil {
		p = &peer{hello: session.Peer, interval: HeartbeatInterval, kick: make(chan struct{}, 1)}
		p.lost, p.cancel = context.WithCancel(context.Background())
		n.peers[session.Peer.Vm] = p
	}
	n.mu.Unlock()
	p.mu.Lock()
	if session.Peer.Epoch < p.hello.Epoch && !p.gone() {
		p.mu.Unlock()
		n.config.Log.Warn("session of an old process refused", "peer", session.Peer.Vm)
		return nil, false
	}
	old := p.install(session)
	p.lastHeard = time.Now()
	p.mu.Unlock()
	for _, s := range old {
		s.Close()
	}
	n.update(p)
	return p, true
}

// install puts a session in place and returns the ones that it replaces;
// p.mu is held.
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
	n.update(p)
}

// update recomputes whether a peer is usable and tells the handler about a
// change. An agent is usable with both sessions and recent heartbeats.
func (n *Node) update(p *peer) {
	p.notify.Lock()
	defer p.notify.Unlock()
	p.mu.Lock()
	usable := p.control != nil && time.Since(p.lastHeard) < missedHeartbeats*p.interval
	if p.hello.Role == wire.Role_ROLE_AGENT {
		usable = usable && p.data != nil
	}
	changed, hello := usable != p.usable, p.hello
	p.usable = usable
	if changed && !usable {
		p.cancel()
		p.lost, p.cancel = context.WithCancel(context.Background())
	}
	p.mu.Unlock()
	if changed {
		n.config.Handler.PeerChanged(hello, usable)
	}
}

// watchPeers suspects silent peers, drops their sessions later and forgets
// peers that are gone.
func (n *Node) watchPeers(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		n.checkPeers(now, now.Sub(last))
		last = now
	}
}

// watchInterval is the time between two looks at the peers.
const watchInterval = HeartbeatInterval / 4

// checkPeers looks at all peers once; elapsed is the time since the last look. If
// it is much longer than watchInterval, this process was paused itself and
// could not hear its peers: that time does not count as their silence, so a
// process that resumes does not suspect all peers at once.
func (n *Node) checkPeers(now time.Time, elapsed time.Duration) {
	paused := elapsed - watchInterval
	for _, p := range n.remembered() {
		if paused >= HeartbeatInterval {
			p.discountPause(now, paused)
		}
		n.update(p)
		n.dropSilent(p)
	}
}

// discountPause takes a pause of this process off the silence of a peer.
func (p *peer) discountPause(now time.Time, paused time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard = p.lastHeard.Add(paused)
	if p.lastHeard.After(now) {
		p.lastHeard = now
	}
}

// remembered forgets peers that are gone and returns the others.
func (n *Node) remembered() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := make([]*peer, 0, len(n.peers))
	for vm, p := range n.peers {
		if n.forgettable(vm, p) {
			delete(n.peers, vm)
			continue
		}
		peers = append(peers, p)
	}
	return peers
}

// forgetAfter keeps the epoch of a lost peer long enough to refuse its old
// process when that wakes up.
const forgetAfter = 10 * time.Minute

// forgettable says whether a peer has been gone for long; n.mu is held.
func (n *Node) forgettable(vm string, p *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wanted := n.targets[vm]
	return !wanted && p.gone()
}

// gone reports whether a peer has been without sessions for forgetAfter; p.mu
// is held.
func (p *peer) gone() bool {
	return p.control == nil && p.data == nil && time.Since(p.lastHeard) > forgetAfter
}

func (n *Node) dropSilent(p *peer) {
	p.mu.Lock()
	var silent []*Session
	if time.Since(p.lastHeard) > dropFactor*missedHeartbeats*p.interval {
		for _, s := range []*Session{p.control, p.data} {
			if s != nil {
				silent = append(silent, s)
			}
		}
	}
	p.mu.Unlock()
	for _, s := range silent {
		s.Close()
	}
}

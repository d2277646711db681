package link

import (
	"context"
	"errors"
	"time"

	"camphorwick.dev/api/wire"
)

var errClosing = errors.New("no data session: this process is closing its sessions")

// CloseDataSessions tells the peers that this process ends, and waits until they
// have closed their data sessions or ctx ends. Only a peer knows which streams it
// has just opened, so it closes the session when all of them have ended. A
// session that is closed by this process cuts the streams that are on their way.
// Streams are served during the wait; new data sessions are refused.
func (n *Node) CloseDataSessions(ctx context.Context) {
	n.closing.Store(true)
	n.SendHeartbeats()
	ticker := time.NewTicker(retirePollInterval)
	defer ticker.Stop()
	for n.hasDataSessions() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasDataSessions reports whether a usable peer has a data session.
func (n *Node) hasDataSessions() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		p.mu.Lock()
		open := p.usable && p.data != nil
		p.mu.Unlock()
		if open {
			return true
		}
	}
	return false
}

// peerCloses stops the use of an agent that ends and closes the data session to
// it when all streams have ended.
func (n *Node) peerCloses(p *peer) {
	p.mu.Lock()
	known := p.closing || p.hello.Role != wire.Role_ROLE_AGENT
	p.closing = p.closing || !known
	session := p.data
	p.mu.Unlock()
	if known {
		return
	}
	n.updateUsable(p)
	if session == nil {
		return
	}
	n.group.Go(func() error {
		awaitUnused(n.ctx, session)
		session.Close()
		return nil
	})
}

// awaitUnused waits until a session has no streams or has ended. The peer of the
// session must not be usable any more.
func awaitUnused(ctx context.Context, session *Session) {
	ticker := time.NewTicker(retirePollInterval)
	defer ticker.Stop()
	for session.inUse() {
		select {
		case <-ctx.Done():
			return
		case <-session.Done():
			return
		case <-ticker.C:
		}
	}
}

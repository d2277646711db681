package link

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"camphorwick.dev/api/wire"
)

// runControl exchanges heartbeats and configuration on a control session until
// the session ends.
func (n *Node) runControl(p *peer, session *Session, dialled bool) {
	stream, err := controlStream(session, dialled)
	if err != nil {
		return
	}
	defer stream.Close()
	// peerRevision is the configuration revision that the peer last reported or
	// has been sent.
	var peerRevision atomic.Uint64
	peerRevision.Store(session.Peer.ConfigRevision)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.receiveLoop(p, stream, &peerRevision)
		session.Close()
	}()
	n.sendLoop(p, session, stream, &peerRevision)
	session.Close()
	<-done
}

// controlStream returns the only stream of a control session. The dialling side
// opens it.
func controlStream(session *Session, dialled bool) (*Stream, error) {
	if dialled {
		return session.Open()
	}
	return session.Accept()
}

// sendLoop sends heartbeats and missing configuration until the session ends.
func (n *Node) sendLoop(p *peer, session *Session, stream *Stream, peerRevision *atomic.Uint64) {
	for sequence := uint64(1); ; sequence++ {
		heartbeat := n.config.Handler.Heartbeat(session.Peer)
		interval := max(n.interval(), p.announcedInterval())
		heartbeat.Sequence, heartbeat.IntervalMs = sequence, uint32(interval.Milliseconds())
		heartbeat.Closing = n.closing.Load()
		if stream.Write(&wire.ControlMessage{Body: &wire.ControlMessage_Heartbeat{Heartbeat: heartbeat}}) != nil {
			return
		}
		if n.sendConfig(stream, peerRevision) != nil {
			return
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-p.sendNow:
			n.delayConfig(session)
		case <-session.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// delayConfig waits for a random time of up to maxConfigDelay before a change is
// sent to an agent, if this node has many peers. There is no delay for entries,
// because changes reach other data centres through them.
func (n *Node) delayConfig(session *Session) {
	if session.Peer.Role != wire.Role_ROLE_AGENT || !n.hasManyPeers() {
		return
	}
	timer := time.NewTimer(rand.N(maxConfigDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-session.Done():
	}
}

// sendConfig sends the edits or the snapshot that the peer lacks. A lost or
// refused update is sent again after the peer's next heartbeat, which resets
// peerRevision to the revision in force at the peer.
func (n *Node) sendConfig(stream *Stream, peerRevision *atomic.Uint64) error {
	revision := peerRevision.Load()
	update := n.config.Handler.ConfigFor(revision)
	if update == nil {
		return nil
	}
	if err := stream.Write(&wire.ControlMessage{Body: &wire.ControlMessage_Config{Config: update}}); err != nil {
		return err
	}
	peerRevision.CompareAndSwap(revision, lastRevision(update))
	return nil
}

func lastRevision(u *wire.ConfigUpdate) uint64 {
	var last uint64
	if u.Snapshot != nil {
		last = u.Snapshot.Revision
	}
	for _, e := range u.Edits {
		last = max(last, e.Revision)
	}
	return last
}

// setAnnouncedInterval records the heartbeat interval that the peer announced.
func (p *peer) setAnnouncedInterval(ms uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(ms) * time.Millisecond
	p.interval = min(max(interval, HeartbeatInterval), maxHeartbeatInterval)
}

// announcedInterval returns the heartbeat interval of the peer. Both sides use
// the longer of their two intervals, so that an agent with few peers does not
// exceed the control traffic limit of its entry.
func (p *peer) announcedInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interval
}

func (p *peer) recordHeard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard = time.Now()
}

// receiveLoop handles the messages of the peer until the stream ends.
func (n *Node) receiveLoop(p *peer, stream *Stream, peerRevision *atomic.Uint64) {
	// A part of a message counts as well: on a slow link a large configuration takes
	// longer than an unresponsive peer may be silent.
	stream.onReceive = p.recordHeard
	for {
		message := &wire.ControlMessage{}
		if err := stream.Read(message); err != nil {
			return
		}
		switch body := message.Body.(type) {
		case *wire.ControlMessage_Heartbeat:
			p.setAnnouncedInterval(body.Heartbeat.IntervalMs)
			peerRevision.Store(body.Heartbeat.ConfigRevision)
			n.config.Handler.HeartbeatReceived(stream.Peer, body.Heartbeat)
			n.updateUsable(p)
			if body.Heartbeat.Closing {
				n.peerCloses(p)
			}
		case *wire.ControlMessage_Config:
			n.config.Handler.ConfigReceived(stream.Peer, body.Config)
		}
	}
}

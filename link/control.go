package link

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"camphorwick.dev/api/wire"
)

// runControl exchanges heartbeats and configuration on a control session
// until it ends.
func (n *Node) runControl(p *peer, session *Session, dialled bool) {
	stream, err := controlStream(session, dialled)
	if err != nil {
		return
	}
	defer stream.Close()
	// known is the highest configuration revision that the peer has confirmed
	// or has been sent.
	var known atomic.Uint64
	known.Store(session.Peer.ConfigRevision)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.receive(p, stream, &known)
		session.Close()
	}()
	n.send(p, session, stream, &known)
	session.Close()
	<-done
}

// controlStream returns the one stream of a control session; the side that
// dialled opens it.
func controlStream(session *Session, dialled bool) (*Stream, error) {
	if dialled {
		return session.Open()
	}
	return session.Accept()
}

// send writes heartbeats and the configuration that the peer lacks.
func (n *Node) send(p *peer, session *Session, stream *Stream, known *atomic.Uint64) {
	for sequence := uint64(1); ; sequence++ {
		heartbeat := n.config.Handler.Heartbeat(session.Peer)
		interval := max(n.interval(), p.announcedInterval())
		heartbeat.Sequence, heartbeat.IntervalMs = sequence, uint32(interval.Milliseconds())
		if stream.Write(&wire.ControlMessage{Body: &wire.ControlMessage_Heartbeat{Heartbeat: heartbeat}}) != nil {
			return
		}
		if n.sendConfig(stream, known) != nil {
			return
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-p.kick:
			n.delayConfig(session)
		case <-session.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// delayConfig waits a random time before a change is sent to an agent, if this
// node has many peers. Entries are never kept waiting, because changes reach
// other data centres through them.
func (n *Node) delayConfig(session *Session) {
	if session.Peer.Role != wire.Role_ROLE_AGENT || !n.crowded() {
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
// refused update is repaired after the peer's next heartbeat, which resets
// known to the revision in force there.
func (n *Node) sendConfig(stream *Stream, known *atomic.Uint64) error {
	revision := known.Load()
	update := n.config.Handler.ConfigFor(revision)
	if update == nil {
		return nil
	}
	if err := stream.Write(&wire.ControlMessage{Body: &wire.ControlMessage_Config{Config: update}}); err != nil {
		return err
	}
	known.CompareAndSwap(revision, lastRevision(update))
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

// announced records the time between heartbeats that the peer keeps.
func (p *peer) announced(ms uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(ms) * time.Millisecond
	p.interval = min(max(interval, HeartbeatInterval), maxHeartbeatInterval)
}

// announcedInterval returns the time between heartbeats that the peer keeps.
// Both ends keep the longer one, so that an agent with few peers does not
// exceed the traffic that its entry may spend.
func (p *peer) announcedInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interval
}

// receive handles the messages of the peer until the stream ends.
func (n *Node) receive(p *peer, stream *Stream, known *atomic.Uint64) {
	for {
		message := &wire.ControlMessage{}
		if err := stream.Read(message); err != nil {
			return
		}
		p.mu.Lock()
		p.lastHeard = time.Now()
		p.mu.Unlock()
		switch body := message.Body.(type) {
		case *wire.ControlMessage_Heartbeat:
			p.announced(body.Heartbeat.IntervalMs)
			known.Store(body.Heartbeat.ConfigRevision)
			n.config.Handler.HeartbeatReceived(stream.Peer, body.Heartbeat)
			n.update(p)
		case *wire.ControlMessage_Config:
			n.config.Handler.ConfigReceived(stream.Peer, body.Config)
		}
	}
}

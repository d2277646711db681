package link

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
)

// nodeWithPeer returns a Node that is not running and has one connected peer,
// last heard the given time ago.
func nodeWithPeer(t *testing.T, sinceHeard time.Duration) (*Node, *recorder, *peer) {
	t.Helper()
	r := newRecorder()
	n := NewNode(Config{Handler: r, Log: slog.New(slog.DiscardHandler)})
	p := &peer{hello: &wire.Hello{Vm: "entry-2", Role: wire.Role_ROLE_ENTRY, Epoch: 7}, interval: HeartbeatInterval,
		control: &Session{}, usable: true, lastHeard: time.Now().Add(-sinceHeard)}
	p.lost, p.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() { p.cancel() })
	n.peers["entry-2"] = p
	r.usable["entry-2"] = true
	return n, r, p
}

// Guards against a process that suspects every peer after it was paused itself
// and could not receive heartbeats.
func TestOwnPauseDoesNotSuspectPeers(t *testing.T) {
	is := is.New(t)
	const pause = 5 * time.Second
	n, r, p := nodeWithPeer(t, pause)
	lost := p.lost
	n.checkPeers(time.Now(), pause+peerCheckInterval)
	is.True(r.isUsable("entry-2"))
	is.NoErr(lost.Err()) // requests at the peer are not interrupted

	n, r, _ = nodeWithPeer(t, pause)
	n.checkPeers(time.Now(), peerCheckInterval) // this process was not paused
	is.True(!r.isUsable("entry-2"))
}

// Guards against concurrent updates whose PeerChanged calls arrive out of order
// and leave the handler with the older state.
func TestPeerChangesArriveInOrder(t *testing.T) {
	is := is.New(t)
	n, r, p := nodeWithPeer(t, 0)
	entered, release := make(chan struct{}), make(chan struct{})
	n.config.Handler = &slowHandler{recorder: r, entered: entered, release: release}
	p.usable = false
	first := make(chan struct{})
	go func() { defer close(first); n.updateUsable(p) }() // becomes usable; PeerChanged blocks
	<-entered
	p.mu.Lock()
	p.control = nil
	p.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); n.updateUsable(p) }() // becomes unusable
	select {
	case <-done:
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	<-first
	<-done
	is.True(!r.isUsable("entry-2"))
}

// slowHandler blocks the PeerChanged call that reports a usable peer.
type slowHandler struct {
	*recorder
	entered, release chan struct{}
}

func (s *slowHandler) PeerChanged(peer *wire.Hello, usable bool) {
	if usable {
		close(s.entered)
		<-s.release
	}
	s.recorder.PeerChanged(peer, usable)
}

// Guards against diallers that are started after Run has returned, when nothing
// waits for them.
func TestSetTargetsAfterRunStartsNothing(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "entry-1", wire.Role_ROLE_ENTRY, 1, nil, nil)
	node.stop()
	node.SetTargets([]Target{{VM: "entry-2", Role: wire.Role_ROLE_ENTRY, Address: "127.0.0.1:1"}})
	node.Node.mu.Lock()
	defer node.Node.mu.Unlock()
	is.Equal(len(node.targets), 0)
}

// Guards against a VM that is refused permanently because its clock was set back
// before its process restarted, and against a replaced process that is accepted.
func TestOldEpochAcceptedAfterRetention(t *testing.T) {
	is := is.New(t)
	n, _, p := nodeWithPeer(t, 0)
	p.control = nil
	old := &Session{Peer: &wire.Hello{Vm: "entry-2", Role: wire.Role_ROLE_ENTRY, Epoch: 3,
		Kind: wire.SessionKind_SESSION_KIND_CONTROL}}
	_, ok := n.register(old)
	is.True(!ok)
	p.lastHeard = time.Now().Add(-peerRetention - time.Second)
	_, ok = n.register(old)
	is.True(ok)
	is.Equal(p.hello.Epoch, uint64(3))
}

// Guards against a Close that blocks on a peer that does not read, so that a
// request misses its deadline.
func TestCloseDoesNotWaitForPeer(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe() // unbuffered; nobody reads the far end
	defer far.Close()
	session, err := newSession(near, &wire.Hello{Vm: "agent-1"})
	is.NoErr(err)
	defer session.Close()
	opened := make(chan *Stream)
	go func() {
		stream, err := session.Open()
		if err == nil {
			opened <- stream
		}
	}()
	// Open blocks until its frame, a yamux header of 12 bytes, has been read; then
	// the far end stops reading.
	_, err = far.Read(make([]byte, 12))
	is.NoErr(err)
	stream := <-opened
	started := time.Now()
	stream.Close()
	is.True(time.Since(started) < time.Second)
}

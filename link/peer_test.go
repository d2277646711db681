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

// silentNode returns a Node that is not running and knows one peer, connected
// and last heard a time ago.
func silentNode(t *testing.T, silence time.Duration) (*Node, *recorder, *peer) {
	t.Helper()
	r := newRecorder()
	n := NewNode(Config{Handler: r, Log: slog.New(slog.DiscardHandler)})
	p := &peer{hello: &wire.Hello{Vm: "entry-2", Role: wire.Role_ROLE_ENTRY, Epoch: 7}, interval: HeartbeatInterval,
		control: &Session{}, usable: true, lastHeard: time.Now().Add(-silence)}
	p.lost, p.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() { p.cancel() })
	n.peers["entry-2"] = p
	r.usable["entry-2"] = true
	return n, r, p
}

// Guards against a process that was paused and then suspects every peer,
// although it could not have heard them.
func TestOwnPauseIsNoSilenceOfPeers(t *testing.T) {
	is := is.New(t)
	const pause = 5 * time.Second
	n, r, p := silentNode(t, pause)
	lost := p.lost
	n.checkPeers(time.Now(), pause+watchInterval)
	is.True(r.isUsable("entry-2"))
	is.NoErr(lost.Err()) // attempts on the peer go on

	n, r, _ = silentNode(t, pause)
	n.checkPeers(time.Now(), watchInterval) // this process ran all the time
	is.True(!r.isUsable("entry-2"))
}

// Guards against PeerChanged calls of concurrent updates that arrive in the
// wrong order and leave the handler with the older state.
func TestPeerChangesArriveInOrder(t *testing.T) {
	is := is.New(t)
	n, r, p := silentNode(t, 0)
	entered, release := make(chan struct{}), make(chan struct{})
	n.config.Handler = &slowHandler{recorder: r, entered: entered, release: release}
	p.usable = false
	first := make(chan struct{})
	go func() { defer close(first); n.update(p) }() // becomes usable; its call of the handler is slow
	<-entered
	p.mu.Lock()
	p.control = nil
	p.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); n.update(p) }() // stops being usable
	select {
	case <-done:
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	<-first
	<-done
	is.True(!r.isUsable("entry-2"))
}

// slowHandler delays the first report that a peer is usable.
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

// Guards against diallers that are added to the group of a Node after its Run
// has returned.
func TestSetTargetsAfterRunStartsNothing(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "entry-1", wire.Role_ROLE_ENTRY, 1, nil, nil)
	node.stop()
	node.SetTargets([]Target{{VM: "entry-2", Role: wire.Role_ROLE_ENTRY, Address: "127.0.0.1:1"}})
	node.Node.mu.Lock()
	defer node.Node.mu.Unlock()
	is.Equal(len(node.targets), 0)
}

// Guards against refusing a VM for ever whose clock was set back before its
// process restarted, while still refusing a process that was replaced.
func TestOldEpochAfterLongAbsence(t *testing.T) {
	is := is.New(t)
	n, _, p := silentNode(t, 0)
	p.control = nil
	old := &Session{Peer: &wire.Hello{Vm: "entry-2", Role: wire.Role_ROLE_ENTRY, Epoch: 3,
		Kind: wire.SessionKind_SESSION_KIND_CONTROL}}
	_, ok := n.register(old)
	is.True(!ok)
	p.lastHeard = time.Now().Add(-forgetAfter - time.Second)
	_, ok = n.register(old)
	is.True(ok)
	is.Equal(p.hello.Epoch, uint64(3))
}

// Guards against a Close that waits for a peer which does not read, so that a
// request ends later than its deadline.
func TestCloseDoesNotWaitForPeer(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe() // without buffer: nobody reads the far end
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
	// Opening waits for the bytes of one frame; then the far end stops reading.
	_, err = far.Read(make([]byte, 12))
	is.NoErr(err)
	stream := <-opened
	started := time.Now()
	stream.Close()
	is.True(time.Since(started) < time.Second)
}

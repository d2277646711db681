package link

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
)

// holdingHandler answers a stream only after release is closed.
type holdingHandler struct {
	*recorder
	entered chan struct{} // receives a value for each header that was read
	release chan struct{}
	once    sync.Once
}

func newHoldingHandler() *holdingHandler {
	return &holdingHandler{recorder: newRecorder(), entered: make(chan struct{}, 1), release: make(chan struct{})}
}

// answer lets the handler answer.
func (h *holdingHandler) answer() { h.once.Do(func() { close(h.release) }) }

func (h *holdingHandler) Stream(_ context.Context, s *Stream) {
	header := &wire.StreamHeader{}
	if s.Read(header) != nil {
		return
	}
	h.entered <- struct{}{}
	<-h.release
	_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{Texts: []string{"held"}}}})
}

// holdStream returns a stream that the handler of the agent has read and does
// not answer yet, and its context.
func holdStream(t *testing.T, entry *testNode, handler *holdingHandler) (*Stream, context.Context) {
	t.Helper()
	is := is.New(t)
	stream, lost, err := entry.Open(context.Background(), "agent")
	is.NoErr(err)
	is.NoErr(stream.Write(&wire.StreamHeader{Body: &wire.StreamHeader_Submit{Submit: &wire.SubmitRequest{}}}))
	<-handler.entered
	return stream, lost
}

// Guards against requests that are cut although both processes run, because a
// change of the VM list has removed the agent from the targets of the entry.
func TestRemovedTargetFinishesItsStreams(t *testing.T) {
	is := is.New(t)
	handler := newHoldingHandler()
	agent := startNodeWithHandler(t, "agent", wire.Role_ROLE_AGENT, 1, handler, handler.recorder)
	t.Cleanup(handler.answer)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	stream, lost := holdStream(t, entry, handler)
	defer stream.Close()
	entry.SetTargets(nil)
	eventually(t, time.Second, "agent gets no new streams", func() bool { return !entry.isUsable("agent") })
	_, _, err := entry.Open(context.Background(), "agent")
	is.True(err != nil)
	time.Sleep(200 * time.Millisecond) // time to close the sessions
	is.NoErr(lost.Err())
	handler.answer()
	answer := &wire.AgentMessage{}
	is.NoErr(stream.Read(answer))
	is.Equal(answer.GetTokens().Texts, []string{"held"})
	stream.Close()
	eventually(t, 5*time.Second, "sessions are closed", func() bool { return !entry.Peers()[0].Connected })
}

// Guards against streams that are cut because an agent ends while the entry opens
// them: each must be answered or fail with Unreachable, which says that nothing
// was sent.
func TestCloseDataSessionsCutsNoStream(t *testing.T) {
	is := is.New(t)
	agent := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, nil, nil)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			err := roundTripsUntilError(entry, "agent")
			var linkError *Error
			if !errors.As(err, &linkError) || linkError.Kind != Unreachable {
				t.Errorf("a stream was cut: %v", err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // time for streams
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	agent.CloseDataSessions(ctx)
	is.NoErr(ctx.Err())
	agent.stop()
	group.Wait()
}

func roundTripsUntilError(n *testNode, vm string) error {
	for {
		if _, err := roundTrip(n, vm, []byte("primer")); err != nil {
			return err
		}
	}
}

// Guards against a wait for data sessions that ends before the last stream has
// been answered, and against new streams during the wait.
func TestCloseDataSessionsWaitsForStreams(t *testing.T) {
	is := is.New(t)
	handler := newHoldingHandler()
	agent := startNodeWithHandler(t, "agent", wire.Role_ROLE_AGENT, 1, handler, handler.recorder)
	t.Cleanup(handler.answer)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	stream, _ := holdStream(t, entry, handler)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		agent.CloseDataSessions(context.Background())
	}()
	eventually(t, time.Second, "agent gets no new streams", func() bool { return !entry.isUsable("agent") })
	select {
	case <-closed:
		t.Fatal("the sessions were closed before the answer")
	case <-time.After(200 * time.Millisecond):
	}
	handler.answer()
	is.NoErr(stream.Read(&wire.AgentMessage{}))
	stream.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the session was not closed after the last stream")
	}
	time.Sleep(3 * minRedialDelay) // time to dial again
	is.True(!entry.isUsable("agent"))
}

// Guards against a target that stays unusable because it was removed and added
// again while a stream was open.
func TestRemovedTargetIsAddedAgain(t *testing.T) {
	is := is.New(t)
	handler := newHoldingHandler()
	agent := startNodeWithHandler(t, "agent", wire.Role_ROLE_AGENT, 1, handler, handler.recorder)
	t.Cleanup(handler.answer)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	stream, lost := holdStream(t, entry, handler)
	entry.SetTargets(nil)
	eventually(t, time.Second, "agent gets no new streams", func() bool { return !entry.isUsable("agent") })
	entry.setTarget("agent", agent.address)
	eventually(t, time.Second, "agent is usable again", func() bool { return entry.isUsable("agent") })
	is.NoErr(lost.Err())
	handler.answer()
	is.NoErr(stream.Read(&wire.AgentMessage{}))
	stream.Close()
	entry.SetTargets(nil)
	eventually(t, 5*time.Second, "sessions are closed", func() bool { return !entry.Peers()[0].Connected })
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable after a new dial", func() bool { return entry.isUsable("agent") })
}

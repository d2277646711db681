package link

import (
	"context"
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

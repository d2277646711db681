package entry

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud/memkv"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
	"camphorwick.dev/policy/choose"
	"camphorwick.dev/settings"
)

// TestMain checks for goroutine leaks. fasthttp keeps one goroutine that updates
// the date header, and ends that of a server's worker pool up to 10 s after the
// server's shutdown.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// fakeAgent serves the streams of an entry with a function.
type fakeAgent struct {
	serve func(s *link.Stream, header *wire.StreamHeader)
	calls atomic.Int32
}

func (f *fakeAgent) Heartbeat(*wire.Hello) *wire.Heartbeat          { return &wire.Heartbeat{} }
func (f *fakeAgent) HeartbeatReceived(*wire.Hello, *wire.Heartbeat) {}
func (f *fakeAgent) ConfigReceived(*wire.Hello, *wire.ConfigUpdate) {}
func (f *fakeAgent) ConfigFor(uint64) *wire.ConfigUpdate            { return nil }
func (f *fakeAgent) PeerChanged(*wire.Hello, bool)                  {}
func (f *fakeAgent) Stream(_ context.Context, s *link.Stream) {
	f.calls.Add(1)
	if f.serve == nil {
		time.Sleep(time.Second) // reads nothing from the stream
		return
	}
	header := &wire.StreamHeader{}
	if s.Read(header) == nil {
		f.serve(s, header)
	}
}

// startNode runs a node until the end of the test and returns its address.
func startNode(t *testing.T, n *link.Node) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// startEntry returns an entry with sessions to the agents agent-1, agent-2 ...
func startEntry(t *testing.T, agents ...*fakeAgent) *Entry {
	t.Helper()
	telemetry, err := observe.New(t.Context(), observe.Options{VM: "entry-1", LogLevel: "error", Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	s := &settings.Settings{VM: "entry-1", Role: settings.RoleEntry, DataCentre: "dc-1", InsecurePlaintext: true,
		Entry: &settings.Entry{MaxTimeoutMillis: 60_000}}
	e, err := New(s, Deps{KV: memkv.New(), Telemetry: telemetry})
	if err != nil {
		t.Fatal(err)
	}
	var targets []link.Target
	for i, a := range agents {
		vm := "agent-" + string(rune('1'+i))
		address := startNode(t, link.NewNode(link.Config{Handler: a, Log: slog.New(slog.DiscardHandler), Self: func() *wire.Hello {
			return &wire.Hello{Vm: vm, Role: wire.Role_ROLE_AGENT, DataCentre: "dc-1", Epoch: 1, Backend: &wire.BackendInfo{
				Models: []string{"m"}, KvTokens: 2_000_000, PrefillTokensPerSecond: 1_000}}
		}}))
		targets = append(targets, link.Target{VM: vm, Role: wire.Role_ROLE_AGENT, Address: address})
	}
	startNode(t, e.member.Node)
	e.member.Node.SetTargets(targets)
	for len(e.resumeCandidates("")) < len(agents) {
		time.Sleep(5 * time.Millisecond)
	}
	return e
}

// newCompletion returns a completion of the entry that asks for 2 tokens, and a
// context with its deadline.
func newCompletion(t *testing.T, e *Entry, prompt string, timeout time.Duration) (context.Context, *completion) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	t.Cleanup(cancel)
	_, span := e.telemetry.Tracer.Start(ctx, "test")
	x := &exchange{requestID: "r", account: "c", plan: &fleetconf.Plan{}, span: span, ctx: ctx, started: time.Now()}
	return ctx, &completion{exchange: x, model: "m", prompt: []byte(prompt), promptTokens: 1, max: 2, deadline: deadline}
}

func sendAccepted(s *link.Stream, attempt string) {
	_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_Accepted{Accepted: &wire.Accepted{AttemptId: attempt}}})
}

func sendTokens(s *link.Stream, attempt string, offset int, texts ...string) {
	_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{AttemptId: attempt, Offset: uint32(offset), Texts: texts}}})
}

func sendEnd(s *link.Stream, attempt string, o wire.Outcome, code outcome.Code) {
	_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_End{End: &wire.End{AttemptId: attempt, Outcome: o,
		Error: &wire.Error{Code: string(code)}}}})
}

// Guards against a passed deadline of a request that counts as a failure of the
// agent and causes a retry, and against the outcome "failed" for a request that
// never left the queue.
func TestRequestDeadlineIsNoAgentFailure(t *testing.T) {
	for _, c := range []struct {
		sent wire.Outcome
		want outcome.Outcome
	}{{wire.Outcome_OUTCOME_FAILED, outcome.Failed}, {wire.Outcome_OUTCOME_NOT_RUN, outcome.NotRun}} {
		is := is.New(t)
		agent := &fakeAgent{serve: func(s *link.Stream, h *wire.StreamHeader) {
			sendAccepted(s, h.GetSubmit().AttemptId)
			sendEnd(s, h.GetSubmit().AttemptId, c.sent, outcome.DeadlineExceeded)
		}}
		e := startEntry(t, agent)
		ctx, request := newCompletion(t, e, "p", time.Second)
		a := newAnswer()
		e.runCompletion(ctx, request, a)
		is.Equal(a.result.outcome, c.want)
		is.Equal(outcome.CodeOf(a.result.err), outcome.DeadlineExceeded)
		is.Equal(agent.calls.Load(), int32(1))
	}
}

// Guards against an engine that keeps generating for a caller that reads too
// slowly, because the attempt ends without a Cancel message.
func TestSlowCallerCancelsTheAttempt(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan bool, 1)
	e := startEntry(t, &fakeAgent{serve: func(s *link.Stream, h *wire.StreamHeader) {
		for i := range 100 {
			sendTokens(s, h.GetSubmit().AttemptId, i, "t")
		}
		m := &wire.EntryMessage{}
		cancelled <- s.Read(m) == nil && m.GetCancel() != nil
	}})
	ctx, request := newCompletion(t, e, "p", 300*time.Millisecond)
	request.max = 100
	a := newAnswer()
	e.runCompletion(ctx, request, a) // nobody reads a.tokens
	is.Equal(a.result.outcome, outcome.Failed)
	is.True(<-cancelled)
}

// Guards against a request that ends seconds after its deadline because a
// paused agent does not read the prompt: 4 MB do not fit into the buffers of the
// connection, so the write waits.
func TestPausedAgentDoesNotDelayTheEnd(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, &fakeAgent{})
	ctx, request := newCompletion(t, e, string(make([]byte, 4<<20)), 300*time.Millisecond)
	a := newAnswer()
	started := time.Now()
	e.runCompletion(ctx, request, a)
	is.True(time.Since(started) < 900*time.Millisecond) // the fake agent does not read for 1 s
	is.Equal(a.result.outcome, outcome.Failed)          // the agent may still run it
	is.Equal(outcome.CodeOf(a.result.err), outcome.DeadlineExceeded)
}

// Guards against the outcome "failed" for an answer of which only the end was
// lost: no engine can continue it, since 0 tokens are left.
func TestLostEndOfCompleteAnswer(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{serve: func(s *link.Stream, h *wire.StreamHeader) {
		sendTokens(s, h.GetSubmit().AttemptId, 0, "a", "b")
	}}
	e := startEntry(t, agent)
	ctx, request := newCompletion(t, e, "p", 5*time.Second)
	a := newAnswer()
	e.runCompletion(ctx, request, a)
	is.Equal(a.result.outcome, outcome.Completed)
	is.Equal(a.result.end.CompletionTokens, uint32(2))
	is.Equal(agent.calls.Load(), int32(1))
}

// Guards against a panic of the entry when a second agent accepts a resume
// request after the first one accepted it and then ended with not_run.
func TestResumeFromTwoAgents(t *testing.T) {
	is := is.New(t)
	holder := func(s *link.Stream, _ *wire.StreamHeader) {
		sendAccepted(s, "a")
		sendEnd(s, "a", wire.Outcome_OUTCOME_NOT_RUN, outcome.Draining)
	}
	e := startEntry(t, &fakeAgent{serve: holder}, &fakeAgent{serve: holder})
	ctx, request := newCompletion(t, e, "", 5*time.Second)
	a := newAnswer()
	e.resume(ctx, request, a, "", 0)
	is.Equal(a.result.outcome, outcome.Failed)
}

// Guards against an allocation of up to 64 GB for an offset that a caller sends:
// 2^32 texts of 16 bytes.
func TestOffsetOfEventIDIsBounded(t *testing.T) {
	is := is.New(t)
	_, _, err := parseEventID("agent-1/4294967295")
	is.Equal(outcome.CodeOf(err), outcome.InvalidRequest)
	vm, offset, err := parseEventID("agent-1/131072")
	is.NoErr(err)
	is.Equal(vm, "agent-1")
	is.Equal(offset, uint32(maxTokensLimit))
}

// Guards against load that is counted for requests that end before they are
// sent, because it is never subtracted again.
func TestEndedRequestIsNotCountedAsSent(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, &fakeAgent{})
	_, request := newCompletion(t, e, "p", time.Second)
	request.promptTokens = 100
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	expected := func() time.Duration {
		e.mu.Lock()
		defer e.mu.Unlock()
		_, d, _ := e.table.Pick(time.Now(), choose.Request{Model: "m", Tokens: 100, DataCentre: "dc-1"})
		return d
	}
	expectedBefore := expected()
	for range 10 {
		_, err := e.pickAgent(ctx, &run{completion: request, excluded: map[string]bool{}})
		is.True(err != nil)
	}
	is.True(expected() <= expectedBefore)
}

// Guards against prompt_too_long instead of no_server from an entry that has
// just started and knows no engine yet: it tells the caller not to retry.
func TestNoEngineIsNoServer(t *testing.T) {
	is := is.New(t)
	e := startEntry(t)
	ctx, request := newCompletion(t, e, "p", time.Second)
	a := newAnswer()
	e.runCompletion(ctx, request, a)
	is.Equal(a.result.outcome, outcome.NotRun)
	is.Equal(outcome.CodeOf(a.result.err), outcome.NoServer)
}

// Guards against a drain that never ends because a caller does not read its
// streamed answer and keeps the connection open.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	is := is.New(t)
	written := make(chan error, 1)
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		setResponseDeadline(c, time.Now().Add(200*time.Millisecond-answerGrace)) // writes fail after 200 ms
		c.SetBodyStreamWriter(func(w *bufio.Writer) {
			var err error
			for err == nil {
				err = writeAndFlush(w, string(make([]byte, 1<<20)))
			}
			written <- err
		})
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\n"))
	is.NoErr(err)
	select {
	case err := <-written:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the answer is still being written")
	}
	is.NoErr(server.Shutdown())
	is.NoErr(<-served)
}

// Guards against requests that are cut because their agent is assigned to other
// entries: a change of the VM list must not end the streams of a session.
func TestReassignedAgentFinishesItsRequests(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	agent := &fakeAgent{serve: func(s *link.Stream, h *wire.StreamHeader) {
		sendAccepted(s, h.GetSubmit().AttemptId)
		close(started)
		time.Sleep(500 * time.Millisecond)
		sendTokens(s, h.GetSubmit().AttemptId, 0, "a", "b")
		_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_End{End: &wire.End{AttemptId: h.GetSubmit().AttemptId,
			Outcome: wire.Outcome_OUTCOME_COMPLETED, CompletionTokens: 2, FinishReason: "length"}}})
	}}
	e := startEntry(t, agent)
	ctx, request := newCompletion(t, e, "p", 2*time.Second)
	a := newAnswer()
	go func() {
		<-started
		e.member.Node.SetTargets(nil)
	}()
	go e.runCompletion(ctx, request, a)
	a.delivered <- true
	<-a.done
	is.NoErr(a.result.err)
	is.Equal(a.result.outcome, outcome.Completed)
}

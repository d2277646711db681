package agent

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/cloud/memkv"
	"camphorwick.dev/observe"
	"camphorwick.dev/policy/queue"
	"camphorwick.dev/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEngine is an engine whose streams return the chunks that the test sends.
type fakeEngine struct {
	backend.Engine // panics on calls that no test expects

	mu       sync.Mutex
	kvTokens int
	streams  map[string]*fakeStream
	started  []string
	// export and cancel return the result of Export and Cancel calls for a stream;
	// a nil function means success. Export returns the state of a stream, from
	// which it can continue later, and frees its memory.
	export, cancel func(id string) error
}

type fakeStream struct {
	engine  *fakeEngine
	id      string
	state   []byte // with which it was started
	chunks  chan backend.Chunk
	dropped chan struct{} // closed when the stream has ended
	cause   error         // of the end of the stream; set before dropped is closed
}

// Ends of a stream: the engine states that it has cancelled or exported the stream,
// or the connection breaks.
var (
	errDropped = &backend.EngineError{Kind: backend.EngineNotFound, Message: "cancelled or exported"}
	errBroken  = &backend.EngineError{Kind: backend.EngineBroken, Message: "gone", Cause: io.EOF}
)

// end ends a stream that has not ended; the engine's mu is held.
func (s *fakeStream) end(cause error) {
	if s.cause == nil {
		s.cause = cause
		close(s.dropped)
	}
}

func (e *fakeEngine) Info(context.Context) (backend.EngineInfo, error) {
	return backend.EngineInfo{Models: []string{"m"}, KVTokens: e.kvTokens, PrefillTokensPerSecond: 1_000_000, StepTokens: 10_000}, nil
}

func (e *fakeEngine) Streams(context.Context) ([]backend.StreamInfo, error) {
	var list []backend.StreamInfo
	for _, id := range e.heldStreams() {
		list = append(list, backend.StreamInfo{StreamID: id})
	}
	return list, nil
}

func (e *fakeEngine) Start(_ context.Context, c backend.Completion) (backend.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &fakeStream{engine: e, id: c.StreamID, state: c.State, chunks: make(chan backend.Chunk, 16), dropped: make(chan struct{})}
	e.streams[c.StreamID] = s
	e.started = append(e.started, c.StreamID)
	return s, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	if e.cancel != nil {
		if err := e.cancel(id); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(id)
	return nil
}

func (e *fakeEngine) Export(_ context.Context, id string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.export != nil {
		if err := e.export(id); err != nil {
			return nil, err
		}
	}
	e.drop(id)
	return []byte("state"), nil
}

// drop removes a stream; e.mu is held.
func (e *fakeEngine) drop(id string) {
	if s := e.streams[id]; s != nil {
		s.end(errDropped)
		delete(e.streams, id)
	}
}

// heldStreams returns the ids of the streams that still hold memory.
func (e *fakeEngine) heldStreams() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id := range e.streams {
		ids = append(ids, id)
	}
	return ids
}

// stream returns the running stream whose id has the prefix; nil if none. The id
// is the attempt's id and the number of the start: "long.2" is the second engine
// stream of the attempt "long".
func (e *fakeEngine) stream(prefix string) *fakeStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.streams {
		if strings.HasPrefix(id, prefix) {
			return s
		}
	}
	return nil
}

func (s *fakeStream) Next(ctx context.Context) (backend.Chunk, error) {
	select {
	case c := <-s.chunks:
		return c, nil
	case <-s.dropped:
		return backend.Chunk{}, s.cause
	case <-ctx.Done():
		return backend.Chunk{}, ctx.Err()
	}
}

func (s *fakeStream) Close() error { return s.engine.Cancel(context.Background(), s.id) }

// runAgent starts the dispatcher of an agent with the engine. It must be called
// in a synctest bubble. The returned function stops the dispatcher.
func runAgent(t *testing.T, engine *fakeEngine) (*Agent, func()) {
	t.Helper()
	engine.streams = map[string]*fakeStream{}
	telemetry, err := observe.New(t.Context(), observe.Options{VM: "agent-1", LogLevel: "error", Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	s := &settings.Settings{VM: "agent-1", Role: settings.RoleAgent, InsecurePlaintext: true, DrainLimitSeconds: 10,
		Agent: &settings.Agent{OrphanGraceMillis: 30_000, Engine: &settings.Engine{LongKVShare: 1, MaxQueued: 10}}}
	a, err := New(s, Deps{KV: memkv.New(), Engine: engine, Telemetry: telemetry})
	if err != nil {
		t.Fatal(err)
	}
	if err := a.prepareEngine(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = a.dispatch(ctx) }()
	go func() { _ = a.freeLostStreams(ctx) }()
	return a, func() { cancel(); synctest.Wait() }
}

func newSubmit(id string, tokens, max int, timeout time.Duration) *wire.SubmitRequest {
	return &wire.SubmitRequest{RequestId: id, AttemptId: id, ClientAccount: "c", Model: "m", Prompt: []byte("p"),
		PromptTokens: uint32(tokens), MaxTokens: uint32(max), RemainingMs: uint32(timeout.Milliseconds())}
}

func accept(t *testing.T, a *Agent, s *wire.SubmitRequest) *request {
	t.Helper()
	r, err := a.accept(t.Context(), s, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return r
}

func (r *request) result() *wire.End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// startPreemption starts a long request, which reserves 200,100 tokens of memory,
// and then a short one, which needs 11,000. Only one of them fits into the
// 205,000 tokens of the engines that are used with it.
func startPreemption(t *testing.T, a *Agent, e *fakeEngine) (long, short *request) {
	t.Helper()
	long = accept(t, a, newSubmit("long", 200_000, 100, time.Hour))
	e.stream("long").chunks <- backend.Chunk{Texts: []string{"a"}}
	synctest.Wait()
	return long, accept(t, a, newSubmit("short", 8_000, 3_000, time.Hour))
}

var errEngine = errors.New("the engine failed")

// Guards against a paused stream that stays in the engine after a failed export:
// its memory must not be granted to other work before the engine has confirmed
// the cancel, which the agent has to retry.
func TestFailedExportFreesEngineMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var failures atomic.Int32
		failures.Store(3) // the first 3 cancels fail
		e := &fakeEngine{kvTokens: 205_000}
		e.export = func(id string) error {
			go e.breakConnection(id) // the stream breaks, but the engine keeps its memory
			return errEngine
		}
		e.cancel = func(id string) error {
			if strings.HasPrefix(id, "long") && failures.Add(-1) >= 0 {
				return errEngine
			}
			return nil
		}
		a, stop := runAgent(t, e)
		defer stop()
		startPreemption(t, a, e)
		for _, id := range e.heldStreams() {
			// "short" must not have started while "long.1" holds the memory.
			is.True(!(strings.HasPrefix(id, "short") && e.stream("long.1") != nil))
		}
		time.Sleep(10 * time.Second)
		// By now a retried cancel has succeeded.
		is.True(e.stream("long.1") == nil)
		is.True(e.stream("short") != nil)
	})
}

// breakConnection breaks the connection of a stream. The engine does not notice
// and keeps the memory of the stream.
func (e *fakeEngine) breakConnection(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.end(errBroken)
		e.streams[id] = &fakeStream{engine: e, id: id, dropped: make(chan struct{})}
	}
}

// Guards against memory that is lost for good: the engine processes the start of a
// stream after the cancellation that followed it.
func TestStreamStartedAfterItsCancellationIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{kvTokens: 205_000}
		a, stop := runAgent(t, e)
		defer stop()
		accept(t, a, newSubmit("running", 1_000, 10, time.Hour))
		for _, id := range []string{"ended.1", "ended.segment", "unknown"} {
			_, err := e.Start(t.Context(), backend.Completion{StreamID: id})
			is.NoErr(err)
		}
		time.Sleep(2*streamCheckInterval + time.Second)
		is.Equal(e.heldStreams(), []string{"running.1"})
	})
}

// Guards against short work that waits for the end of a long stream because the
// export of that stream failed and it continued to run.
func TestFailedExportCancelsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{kvTokens: 205_000, export: func(string) error { return errEngine }}
		a, stop := runAgent(t, e)
		defer stop()
		long, _ := startPreemption(t, a, e)
		is.True(e.stream("short") != nil)
		e.stream("short").chunks <- backend.Chunk{Texts: []string{"s"}, Final: true}
		time.Sleep(time.Minute) // the long prompt gets a new prefill
		e.stream("long.2").chunks <- backend.Chunk{Texts: []string{"b"}, Final: true, FinishReason: "stop"}
		synctest.Wait()
		is.Equal(long.emitted(), []string{"a", "b"})
		is.Equal(long.result().Outcome, wire.Outcome_OUTCOME_COMPLETED)
		is.Equal(a.load().KvReservedTokens, uint64(0))
	})
}

// Guards against tokens that are missing from an answer that looks complete: the
// connection of a stream broke while the engine exported it, so the state may
// contain tokens that did not arrive.
func TestStateOfABrokenStreamIsNotUsed(t *testing.T) {
	for name, cause := range map[string]error{"exported": errDropped, "broken": errBroken} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &fakeEngine{kvTokens: 205_000}
				e.export = func(id string) error {
					e.streams[id].end(cause)
					return nil
				}
				a, stop := runAgent(t, e)
				defer stop()
				long, _ := startPreemption(t, a, e)
				if short := e.stream("short"); short != nil { // whichever of the two the queue starts first
					short.chunks <- backend.Chunk{Texts: []string{"s"}, Final: true}
				}
				time.Sleep(time.Minute)
				resumed := e.stream("long.2")
				is.Equal(len(resumed.state) > 0, name == "exported") // otherwise the prompt gets a new prefill
				resumed.chunks <- backend.Chunk{Texts: []string{"b"}, Final: true, FinishReason: "stop"}
				synctest.Wait()
				is.Equal(long.result().Outcome, wire.Outcome_OUTCOME_COMPLETED)
			})
		})
	}
}

// Guards against short work that waits although a long request was preempted for it:
// the long one, whose state was exported, goes on at once.
func TestPreemptedRequestWaitsForTheShortOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{kvTokens: 205_000}
		a, stop := runAgent(t, e)
		defer stop()
		long, _ := startPreemption(t, a, e)
		is.True(e.stream("short") != nil)
		is.True(e.stream("long") == nil)
		e.stream("short").chunks <- backend.Chunk{Texts: []string{"s"}, Final: true}
		time.Sleep(time.Minute)
		is.Equal(string(e.stream("long.2").state), "state")
		e.stream("long.2").chunks <- backend.Chunk{Texts: []string{"b"}, Final: true, FinishReason: "stop"}
		synctest.Wait()
		is.Equal(long.emitted(), []string{"a", "b"})
	})
}

// Guards against a new engine stream for an answer that already has all its
// tokens, because it was paused between the last token and the end. Here the
// answer of "long" has 1 token, and the 1,100 tokens that "short" needs do not
// fit beside its 200,001.
func TestPauseAfterTheLastToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{kvTokens: 200_500, export: func(string) error { return errEngine }}
		a, stop := runAgent(t, e)
		defer stop()
		long := accept(t, a, newSubmit("long", 200_000, 1, time.Hour))
		e.stream("long").chunks <- backend.Chunk{Texts: []string{"a"}}
		synctest.Wait()
		accept(t, a, newSubmit("short", 1_000, 100, time.Hour))
		e.stream("short").chunks <- backend.Chunk{Final: true}
		time.Sleep(time.Minute)
		is.Equal(long.result().GetOutcome(), wire.Outcome_OUTCOME_COMPLETED)
		is.Equal(long.emitted(), []string{"a"})
		is.Equal(len(e.started), 2) // no second stream of "long"
	})
}

// Guards against preemption of a segment: a part of a prompt that several engines
// store together (a group). A segment cannot be paused, but the queue would count
// on its memory and preempt no other job.
func TestSegmentIsNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, stop := runAgent(t, &fakeEngine{kvTokens: 205_000})
		defer stop()
		seg, err := a.newSegment(t.Context(), nil, &wire.SegmentReserve{RequestId: "g", AttemptId: "g", ClientAccount: "c",
			Model: "m", SegmentTokens: 200_000, RemainingMs: 3_600_000})
		is.NoErr(err)
		<-seg.granted
		accept(t, a, newSubmit("short", 8_000, 3_000, time.Hour)) // does not fit beside the segment
		a.mu.Lock()
		is.True(!seg.request.pausing)
		a.mu.Unlock()
		seg.release()
	})
}

// Guards against the outcome "failed" instead of "not_run" for a request whose
// deadline passed after the queue had granted it, but before any part of it was
// sent to the engine.
func TestGrantAfterTheDeadlineIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{kvTokens: 10_000}
		a, stop := runAgent(t, e)
		defer stop()
		// The job is not queued, where it would expire, but granted directly.
		r := newRequest(t.Context(), newSubmit("r", 10, 10, time.Second), time.Now())
		r.job = queue.Job{ID: "r", KVTokens: 20, Deadline: r.deadline}
		_, r.queueSpan = a.span(r, "queue")
		a.active.Add(1)
		time.Sleep(2 * time.Second)
		a.runGrant(r, queue.Grant{Job: r.job})
		is.Equal(r.result().Outcome, wire.Outcome_OUTCOME_NOT_RUN)
		is.Equal(outcome.Code(r.result().Error.Code), outcome.DeadlineExceeded)
		is.Equal(len(e.started), 0)
	})
}

// Guards against a drain that never ends because the engine hangs.
func TestDrainEndsWithHangingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{kvTokens: 10_000, cancel: func(string) error { time.Sleep(time.Hour); return nil }}
		a, stop := runAgent(t, e)
		defer stop()
		r := accept(t, a, newSubmit("r", 10, 10, time.Hour))
		started := time.Now()
		a.Stop()
		is.NoErr(a.awaitStop(t.Context()))
		is.True(time.Since(started) <= a.settings.DrainLimit()+drainGrace+time.Second)
		is.Equal(outcome.Code(r.result().Error.Code), outcome.Draining)
		time.Sleep(2 * time.Hour) // until the hanging cancels have returned
	})
}

// Guards against a table of sent prefixes that keeps lost entries and so grows with
// every replaced entry, and against a new session that gets no prefixes.
func TestLostEntryIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, stop := runAgent(t, &fakeEngine{kvTokens: 10_000})
		defer stop()
		entry := &wire.Hello{Vm: "entry-1", Epoch: 1}
		is.True((*hooks)(a).Load(entry).PrefixesValid)
		is.True(!(*hooks)(a).Load(entry).PrefixesValid) // nothing new to send
		(*hooks)(a).PeerChanged(entry, false)
		is.Equal(len(a.prefixesSent), 0)
		is.True((*hooks)(a).Load(entry).PrefixesValid) // the next session gets them again
	})
}

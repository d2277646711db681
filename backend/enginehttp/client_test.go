package enginehttp_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/backend"
	"camphorwick.dev/backend/enginehttp"
	"camphorwick.dev/standin/enginesim"
)

// waitLimit bounds each wait in the tests.
const waitLimit = 10 * time.Second

func testConfig() enginesim.Config {
	return enginesim.Config{
		Models: []string{"m"}, KVTokens: 400_000, StepTokens: 100_000,
		StepFixed: 2 * time.Millisecond, StepPerDecode: 10 * time.Microsecond,
		Retention: 300 * time.Millisecond, StateBytesPerToken: 8, Seed: 3,
	}
}

// startEngine starts a stand-in engine and returns it with a client.
func startEngine(t *testing.T, c enginesim.Config) (*enginesim.Engine, *enginehttp.Client) {
	t.Helper()
	is := is.New(t)
	e, err := enginesim.New(c)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := enginesim.NewServer(e)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		is.NoErr(server.Shutdown())
		is.NoErr(<-served)
		e.Close()
	})
	return e, enginehttp.New(l.Addr().String())
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

func completion(id string, prompt []byte, maxTokens int) backend.Completion {
	return backend.Completion{StreamID: id, Model: "m", Prompt: prompt, MaxTokens: maxTokens}
}

// collect reads a stream to its end and closes it.
func collect(ctx context.Context, is *is.I, s backend.Stream) (string, backend.Chunk) {
	is.Helper()
	var text strings.Builder
	for {
		chunk, err := s.Next(ctx)
		is.NoErr(err)
		text.WriteString(strings.Join(chunk.Texts, ""))
		if chunk.Final {
			is.NoErr(s.Close())
			return text.String(), chunk
		}
	}
}

func expectedAnswer(prompt []byte, maxTokens int) string {
	texts, _ := enginesim.Answer(prompt, maxTokens, 0)
	return strings.Join(texts, "")
}

func kindOf(err error) backend.EngineErrorKind {
	var failure *backend.EngineError
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

// eventually waits until the engine reaches a state.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// listen accepts connections and returns a channel with the method and path of
// each request. It never answers, and closes each connection after the request
// unless keepOpen is set. Closing the listener closes the channel.
func listen(t *testing.T, keepOpen bool) (net.Listener, <-chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	requests := make(chan string, 10)
	go func() {
		defer close(requests)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				requests <- r.Method + " " + r.URL.Path
			}
			if !keepOpen {
				_ = conn.Close()
			}
		}
	}()
	return l, requests
}

// Guards against wrong answer texts: with a stream id and a prompt that need
// escaping, and when a second engine continues a partial answer.
func TestStreamAndContinuation(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	_, first := startEngine(t, testConfig())
	_, second := startEngine(t, testConfig())
	prompt := []byte("a \"prompt\"\n\x00 with any bytes \xff")
	s, err := first.Start(ctx, completion("vm-1/attempt &+%2F=ü", prompt, 40))
	is.NoErr(err)
	text, last := collect(ctx, is, s)
	is.Equal(text, expectedAnswer(prompt, 40))
	is.Equal(last.FinishReason, "length")
	is.Equal(last.PromptTokens, enginesim.PromptTokens(len(prompt)))
	cut := 7 * enginesim.BytesPerToken
	s, err = second.Start(ctx, completion("b", append(bytes.Clone(prompt), text[:cut]...), 33)) // 40 tokens less the 7 of the partial answer
	is.NoErr(err)
	rest, _ := collect(ctx, is, s)
	is.Equal(text[:cut]+rest, expectedAnswer(prompt, 40))
}

// Guards against a failed or truncated prompt of a million tokens, and against
// cache events of the engine whose hashes differ from backend.PrefixHashes.
func TestMillionTokensAndPrefixHashes(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	c := testConfig()
	c.KVTokens = 1_200_000
	e, client := startEngine(t, c)
	prompt := make([]byte, 4_000_000)
	for i := range prompt {
		prompt[i] = byte(i * 7 >> 3)
	}
	started := time.Now()
	s, err := client.Start(ctx, completion("a", prompt, 3))
	is.NoErr(err)
	t.Logf("start of a prompt of 4 MB: %v", time.Since(started))
	text, last := collect(ctx, is, s)
	is.Equal(text, expectedAnswer(prompt, 3))
	is.Equal(last.PromptTokens, 1_000_000)
	events, err := client.Events(ctx, 0)
	is.NoErr(err)
	var hashes []uint64
	for _, event := range events {
		hashes = append(hashes, event.Prefix)
	}
	is.Equal(hashes, backend.PrefixHashes(prompt))
	is.Equal(e.Stats().KVUsedTokens, 0)
}

// Guards against a leak of KV memory by Cancel or Close.
func TestCancelFreesMemory(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	c := testConfig()
	c.KeepForever = true // only an explicit cancellation frees memory
	e, client := startEngine(t, c)
	s, err := client.Start(ctx, completion("a", []byte("prompt"), 100_000))
	is.NoErr(err)
	_, err = s.Next(ctx)
	is.NoErr(err)
	cancelledCtx, cancel := context.WithCancel(ctx)
	cancel()
	for err == nil { // Next may return a chunk that is ready
		_, err = s.Next(cancelledCtx)
	}
	is.True(errors.Is(err, context.Canceled))
	_, err = s.Next(ctx) // the stream continues after a cancelled Next
	is.NoErr(err)
	is.NoErr(s.Close())
	is.NoErr(s.Close())
	is.Equal(e.Stats().KVUsedTokens, 0)
	_, err = s.Next(ctx)
	is.True(err != nil)

	s, err = client.Start(ctx, completion("b", []byte("prompt"), 100_000))
	is.NoErr(err)
	is.NoErr(client.Cancel(ctx, "b"))
	is.NoErr(client.Cancel(ctx, "b"))
	is.Equal(e.Stats().KVUsedTokens, 0)
	for err == nil {
		_, err = s.Next(ctx)
	}
	is.Equal(kindOf(err), backend.EngineNotFound)
}

// Guards against a Start that outlives its context when the engine hangs, and
// against one that waits for the first token: its caller could then not cancel
// a queued request.
func TestStartReturnsInTime(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	c := testConfig()
	c.StepFixed = time.Hour
	e, client := startEngine(t, c)
	started := time.Now()
	s, err := client.Start(ctx, completion("a", []byte("prompt"), 100))
	is.NoErr(err)
	is.True(time.Since(started) < 900*time.Millisecond) // the engine sends its first comment after 1 s
	is.Equal(e.Stats().DecodedTokens, int64(0))
	is.NoErr(s.Close())
	is.Equal(len(e.Stats().Streams), 0)

	on, off := true, false
	_, err = e.Inject(enginesim.FaultChange{Hang: &on})
	is.NoErr(err)
	shortCtx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	_, err = client.Start(shortCtx, completion("b", []byte("prompt"), 100))
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = e.Inject(enginesim.FaultChange{Hang: &off})
	is.NoErr(err)
	eventually(t, "the abandoned start is cancelled or has expired", func() bool {
		stats := e.Stats()
		return stats.Starts["b"] == 1 && len(stats.Streams) == 0
	})
}

// Guards against a stream that the engine keeps after the caller's context ended
// during Start: the client must send the cancellation itself.
func TestAbandonedStartIsCancelled(t *testing.T) {
	is := is.New(t)
	l, requests := listen(t, true)
	defer l.Close()
	ctx, cancel := context.WithCancel(testContext(t))
	failed := make(chan error, 1)
	go func() {
		_, err := enginehttp.New(l.Addr().String()).Start(ctx, completion("a", []byte("prompt"), 1))
		failed <- err
	}()
	is.Equal(<-requests, "POST /v1/streams")
	cancel()
	is.True(errors.Is(<-failed, context.Canceled))
	is.Equal(<-requests, "DELETE /v1/stream")
}

// Guards against lost tokens and leaked KV memory when a paused stream is
// exported and imported, and when a prompt is split into segments.
func TestExportImportAndSegments(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	e, client := startEngine(t, testConfig())
	other, second := startEngine(t, testConfig())
	prompt := bytes.Repeat([]byte("text"), 3000)
	s, err := client.Start(ctx, completion("a", prompt, 200))
	is.NoErr(err)
	chunk, err := s.Next(ctx)
	is.NoErr(err)
	state, err := client.Export(ctx, "a")
	is.NoErr(err)
	is.Equal(e.Stats().KVUsedTokens, 0)
	text := strings.Join(chunk.Texts, "")
	for err == nil { // tokens emitted before the export
		chunk, err = s.Next(ctx)
		text += strings.Join(chunk.Texts, "")
	}
	is.Equal(kindOf(err), backend.EngineNotFound)
	is.NoErr(s.Close())
	s, err = second.Start(ctx, backend.Completion{StreamID: "a", Model: "m", State: state})
	is.NoErr(err)
	rest, _ := collect(ctx, is, s)
	is.Equal(text+rest, expectedAnswer(prompt, 200))

	// 300,000 + 350,000 tokens exceed the memory of one engine.
	segment := completion("s1", bytes.Repeat([]byte("head"), 300_000), 0)
	segment.PrefillOnly = true
	s, err = client.Start(ctx, segment)
	is.NoErr(err)
	_, last := collect(ctx, is, s)
	is.Equal(last.FinishReason, "prefilled")
	streams, err := client.Streams(ctx)
	is.NoErr(err)
	is.Equal(streams, []backend.StreamInfo{{StreamID: "s1", KVTokens: 300_000, State: "held"}})
	state, err = client.Export(ctx, "s1")
	is.NoErr(err)
	is.Equal(len(state), 8*300_000) // StateBytesPerToken is 8
	tail := completion("s2", bytes.Repeat([]byte("tail"), 350_000), 5)
	tail.State = state
	s, err = second.Start(ctx, tail)
	is.NoErr(err)
	text, last = collect(ctx, is, s)
	is.Equal(text, expectedAnswer(append(segment.Prompt, tail.Prompt...), 5))
	is.Equal(last.PromptTokens, 650_000)
	is.Equal(other.Stats().KVUsedTokens, 0)
	_, err = client.Export(ctx, "s1")
	is.Equal(kindOf(err), backend.EngineNotFound)
}

// Guards against a broken stream that Streams does not list, or that loses or
// repeats tokens after Attach.
func TestBrokenStreams(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	c := testConfig()
	c.KeepForever = true
	e, client := startEngine(t, c)
	s, err := client.Start(ctx, completion("a", []byte("prompt"), 300))
	is.NoErr(err)
	chunk, err := s.Next(ctx)
	is.NoErr(err)
	_, err = e.Inject(enginesim.FaultChange{BreakStreams: true})
	is.NoErr(err)
	texts := chunk.Texts
	for err == nil {
		chunk, err = s.Next(ctx)
		texts = append(texts, chunk.Texts...)
	}
	is.Equal(kindOf(err), backend.EngineBroken)
	eventually(t, "the stream is held", func() bool {
		streams, err := client.Streams(ctx)
		return err == nil && len(streams) == 1 && streams[0].State == "held"
	})
	s, err = client.Attach(ctx, "a", len(texts))
	is.NoErr(err)
	rest, _ := collect(ctx, is, s)
	is.Equal(strings.Join(texts, "")+rest, expectedAnswer([]byte("prompt"), 300))
	eventually(t, "memory is free", func() bool { return e.Stats().KVUsedTokens == 0 })
	_, err = client.Attach(ctx, "missing", 0)
	is.Equal(kindOf(err), backend.EngineNotFound)
}

// Guards against cache events that are lost or repeated after a gap in their
// sequence numbers, and against wrong values in the load report and in the
// description of the engine.
func TestReports(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	c := testConfig()
	c.EventLossProbability = 0.5
	_, client := startEngine(t, c)
	info, err := client.Info(ctx)
	is.NoErr(err)
	is.Equal(info, backend.EngineInfo{
		Models: []string{"m"}, KVTokens: 400_000, PrefillTokensPerSecond: 50_000_000, StepTokens: 100_000, // 2 ms per step
	})
	s, err := client.Start(ctx, completion("a", bytes.Repeat([]byte("text"), 64*1024), 1))
	is.NoErr(err)
	collect(ctx, is, s)
	events, err := client.Events(ctx, 0)
	is.NoErr(err)
	is.True(len(events) > 10 && len(events) < 54) // of 64, one per block, half are lost on average
	for i, event := range events[1:] {
		is.True(event.Sequence > events[i].Sequence)
	}
	later, err := client.Events(ctx, events[9].Sequence)
	is.NoErr(err)
	is.Equal(later, events[10:])
	load, err := client.Load(ctx)
	is.NoErr(err)
	is.Equal(load, backend.LoadReport{KVCachedTokens: 64 * 1024})
}

// Guards against a command with an outdated fencing token that is not reported as
// EngineFenced by an engine that checks fencing tokens, or is refused by one that
// does not.
func TestFencing(t *testing.T) {
	for _, checked := range []bool{false, true} {
		is := is.New(t)
		ctx := testContext(t)
		c := testConfig()
		c.FencingChecked = checked
		e, client := startEngine(t, c)
		command := backend.Command{Kind: "load", Model: "n", Version: "2", Fencing: 5}
		is.NoErr(client.Command(ctx, command))
		is.NoErr(client.Command(ctx, command))
		command.Fencing, command.Version = 4, "1"
		err := client.Command(ctx, command)
		is.Equal(kindOf(err) == backend.EngineFenced, checked)
		is.Equal(e.Stats().Versions["n"] == "2", checked)
	}
}

// Guards against wrong error kinds: a caller may retry a request on another
// engine only if this one certainly did not accept it.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	e, client := startEngine(t, testConfig())
	_, err := client.Start(ctx, completion("a", []byte("prompt"), 500_000))
	is.Equal(kindOf(err), backend.EngineRefused)
	other := completion("a", []byte("prompt"), 5)
	other.Model = "other"
	_, err = client.Start(ctx, other)
	is.Equal(kindOf(err), backend.EngineNotFound)
	on := true
	_, err = e.Inject(enginesim.FaultChange{FailStarts: &on})
	is.NoErr(err)
	started := time.Now()
	_, err = client.Start(ctx, completion("a", []byte("prompt"), 5))
	is.Equal(kindOf(err), backend.EngineRefused)
	is.True(time.Since(started) < time.Second)
	is.Equal(e.Stats().Starts["a"], 0)

	l, requests := listen(t, false)
	broken := enginehttp.New(l.Addr().String())
	_, err = broken.Load(ctx) // a GET, which fasthttp would retry by default
	is.Equal(kindOf(err), backend.EngineBroken)
	is.NoErr(l.Close())
	is.Equal(<-requests, "GET /v1/load")
	is.Equal(<-requests, "") // closed: no second request
	_, err = broken.Start(ctx, completion("a", []byte("prompt"), 5))
	is.Equal(kindOf(err), backend.EngineUnreachable)
}

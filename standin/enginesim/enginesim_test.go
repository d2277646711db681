package enginesim

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// testConfig has step times that are easy to add up.
func testConfig() Config {
	return Config{
		Models: []string{"m"}, KVTokens: 100_000, StepTokens: 1000,
		StepFixed: 10 * time.Millisecond, StepPerPrefill: 10 * time.Microsecond,
		StepPerDecode: time.Millisecond, Retention: time.Second,
	}
}

// simulate runs a test with an engine in virtual time.
func simulate(t *testing.T, c Config, f func(*is.I, *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, err := New(c)
		is.NoErr(err)
		defer e.Close()
		f(is, e)
	})
}

// prompt returns a text of n tokens that depends on name.
func prompt(name string, n int) []byte {
	return bytes.Repeat([]byte((name + "....")[:BytesPerToken]), n)
}

func request(id string, tokens, maxTokens int) Request {
	return Request{StreamID: id, Model: "m", Prompt: prompt(id, tokens), MaxTokens: maxTokens}
}

func start(is *is.I, e *Engine, r Request) *Stream {
	is.Helper()
	s, err := e.Start(r)
	is.NoErr(err)
	return s
}

// collect reads a stream to its end.
func collect(is *is.I, s *Stream) (string, Chunk) {
	is.Helper()
	var text strings.Builder
	for {
		chunk, err := s.Next(context.Background())
		is.NoErr(err)
		text.WriteString(strings.Join(chunk.Texts, ""))
		if chunk.Final {
			s.Delivered()
			return text.String(), chunk
		}
	}
}

func expectedAnswer(prompt []byte, maxTokens int) string {
	texts, _ := Answer(prompt, maxTokens, 0)
	return strings.Join(texts, "")
}

func kindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

// Guards against wrong step times, which would distort every test that measures
// times with this engine.
func TestStepTimes(t *testing.T) {
	simulate(t, testConfig(), func(is *is.I, e *Engine) {
		started := time.Now()
		s := start(is, e, request("a", 2500, 3))
		_, err := s.Next(context.Background())
		is.NoErr(err)
		is.Equal(time.Since(started), (20+20+15)*time.Millisecond) // 10 ms + 10 µs per token: two steps of 1000 tokens, one of 500
		text, last := collect(is, s)
		is.Equal(time.Since(started), (20+20+15+11+11)*time.Millisecond) // and two steps of 10 ms + 1 ms for the decoding stream
		is.Equal(last.FinishReason, FinishLength)
		is.True(strings.HasSuffix(expectedAnswer(prompt("a", 2500), 3), text))
		is.Equal(last.PromptTokens, 2500)
	})
}

// Guards against prefill that ignores priority or stops decoding: a short prompt
// of higher priority must overtake a running long one, and the steps that prefill
// must also decode.
func TestPriorityOvertakes(t *testing.T) {
	simulate(t, testConfig(), func(is *is.I, e *Engine) {
		decoding := start(is, e, request("d", 10, 50))
		_, err := decoding.Next(context.Background())
		is.NoErr(err)
		long := request("long", 20_000, 1)
		long.Priority = 5
		start(is, e, long)
		time.Sleep(35 * time.Millisecond) // the step in progress has long tokens only
		started := time.Now()
		short := start(is, e, request("s", 900, 1))
		collect(is, short)
		is.True(time.Since(started) <= 2*21*time.Millisecond) // the rest of one step, and one step; each is 10 ms + 10 ms of prefill + 1 ms of decoding
		is.True(e.Stats().PrefillTokens < 5000)               // long is still being prefilled
		_, last := collect(is, decoding)
		is.Equal(last.FinishReason, FinishLength)
	})
}

// Guards against admission beyond the KV memory, also after a cancellation, and
// against a request that is queued although it can never fit.
func TestAdmissionByMemory(t *testing.T) {
	simulate(t, testConfig(), func(is *is.I, e *Engine) {
		start(is, e, request("a", 60_000, 100))
		b := start(is, e, request("b", 50_000, 100))
		time.Sleep(50 * time.Millisecond)
		is.Equal(e.Streams(), []StreamInfo{{"a", 60_100, "running"}, {"b", 0, "queued"}})
		e.Cancel("a")
		e.Cancel("a") // a missing stream is no error
		collect(is, b)
		is.Equal(e.Stats().KVUsedTokens, 0)
		_, err := e.Start(request("c", 100_000, 1))
		is.Equal(kindOf(err), KindRefused)
	})
}

// Guards against wrong memory accounting: whatever is started, cancelled,
// exported or broken, the memory of streams and cache must stay within KVTokens,
// and in the end no stream may hold memory.
func TestMemoryAccounting(t *testing.T) {
	simulate(t, testConfig(), func(is *is.I, e *Engine) {
		random := rand.New(rand.NewPCG(1, 0))
		for range 2000 {
			id := strconv.Itoa(random.IntN(9))
			switch random.IntN(4) {
			case 0:
				_, _ = e.Start(request(id, 1+random.IntN(40_000), 1+random.IntN(200)))
			case 1:
				e.Cancel(id)
			case 2:
				_, _ = e.Export(id)
			case 3:
				if s, err := e.Attach(id, 0); err == nil {
					s.Detach()
				}
			}
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			stats, held := e.Stats(), 0
			for _, s := range stats.Streams {
				held += s.KVTokens
			}
			is.Equal(stats.KVUsedTokens, held)
			is.True(held+stats.KVCachedTokens <= e.config.KVTokens)
		}
		time.Sleep(time.Hour) // every answer ends
		is.Equal(e.Stats().KVUsedTokens, 0)
	})
}

// Guards against cache hits that do not skip prefill, a prefix cache that takes
// more than the free memory, and delayed events with wrong sequence numbers.
func TestPrefixCache(t *testing.T) {
	c := testConfig()
	c.EventDelay = time.Second
	simulate(t, c, func(is *is.I, e *Engine) {
		collect(is, start(is, e, request("a", 10*BlockTokens, 1)))
		is.Equal(e.Stats().KVCachedTokens, 10*BlockTokens)
		is.Equal(len(e.Events(0)), 0) // not visible yet
		prefillBefore := e.Stats().PrefillTokens
		second := request("a", 10*BlockTokens+5, 1)
		second.StreamID = "again"
		_, last := collect(is, start(is, e, second))
		is.Equal(last.CachedTokens, 10*BlockTokens)
		is.Equal(e.Stats().PrefillTokens-prefillBefore, int64(5))

		start(is, e, request("b", 95_000, 1))
		time.Sleep(10 * time.Second)
		stats := e.Stats()
		is.True(stats.KVUsedTokens+stats.KVCachedTokens <= c.KVTokens)
		stored, evicted := 0, 0
		for i, event := range e.Events(0) {
			is.Equal(event.Sequence, uint64(i+1))
			if event.Stored {
				stored++
			} else {
				evicted++
			}
		}
		is.Equal(stored, 10+64) // 10 blocks of a and the first 64 (maxPrefixHashes) of b
		is.True(evicted > 0)
	})
}

// Guards against a broken stream that cannot be re-attached or that is kept after
// the retention time; with KeepForever its memory must stay in use.
func TestBrokenStreams(t *testing.T) {
	for _, keepForever := range []bool{false, true} {
		c := testConfig()
		c.KeepForever = keepForever
		simulate(t, c, func(is *is.I, e *Engine) {
			s := start(is, e, request("a", 100, 20))
			first, err := s.Next(context.Background())
			is.NoErr(err)
			s.Detach()
			time.Sleep(c.Retention / 10)
			resumed, err := e.Attach("a", len(first.Texts))
			is.NoErr(err)
			rest, _ := collect(is, resumed)
			is.Equal(strings.Join(first.Texts, "")+rest, expectedAnswer(prompt("a", 100), 20))

			lost := start(is, e, request("b", 100, 2000))
			lost.Detach()
			time.Sleep(100 * c.Retention)
			is.Equal(len(e.Streams()) == 1, keepForever)
			is.Equal(e.Stats().KVUsedTokens > 0, keepForever)
			e.Cancel("b")
			is.Equal(e.Stats().KVUsedTokens, 0)
		})
	}
}

// Guards against wrong answers after export and import: a paused stream, and a
// prompt whose segments are prefilled by two engines in turn, must give the answer
// to the whole prompt, and each engine must hold memory only for its own part.
func TestExportImport(t *testing.T) {
	c := testConfig()
	c.StateBytesPerToken, c.StateTimePerToken = 8, time.Microsecond
	simulate(t, c, func(is *is.I, e *Engine) {
		other, err := New(c)
		is.NoErr(err)
		defer other.Close()
		s := start(is, e, request("a", 3000, 30))
		first, err := s.Next(context.Background())
		is.NoErr(err)
		started := time.Now()
		state, err := e.Export("a")
		is.NoErr(err)
		is.Equal(time.Since(started), 3001*c.StateTimePerToken) // prompt and first token
		is.Equal(e.Stats().KVUsedTokens, 0)
		is.Equal(len(state), 3001*c.StateBytesPerToken)
		_, err = s.Next(context.Background())
		is.Equal(kindOf(err), KindNotFound)
		rest, last := collect(is, start(is, other, Request{StreamID: "a", Model: "m", State: state}))
		is.Equal(strings.Join(first.Texts, "")+rest, expectedAnswer(prompt("a", 3000), 30))
		is.Equal(last.PromptTokens, 3000)

		segment := request("s1", 80_000, 0)
		segment.PrefillOnly = true
		_, last = collect(is, start(is, e, segment))
		is.Equal(last.FinishReason, FinishPrefilled)
		time.Sleep(10 * c.Retention)
		is.Equal(e.Streams(), []StreamInfo{{"s1", 80_000, "held"}})
		state, err = e.Export("s1")
		is.NoErr(err)
		is.Equal(e.Stats().KVUsedTokens, 0)
		tail := request("s2", 70_000, 10)
		tail.State = state
		running := start(is, other, tail)
		time.Sleep(100 * time.Millisecond)
		is.Equal(other.Stats().KVUsedTokens, 70_010) // its segment and the answer
		text, last := collect(is, running)
		fullPrompt := append(prompt("s1", 80_000), prompt("s2", 70_000)...)
		is.Equal(text, expectedAnswer(fullPrompt, 10))
		is.Equal(last.PromptTokens, 150_000)

		_, err = e.Start(Request{StreamID: "x", Model: "m", MaxTokens: 1, State: state[:20]})
		is.Equal(kindOf(err), KindRefused)
	})
}

// Guards against an answer that continues with other tokens after it was cut,
// also if it stops before the token limit.
func TestAnswerContinuation(t *testing.T) {
	is := is.New(t)
	stopped := 0
	for i := range 50 {
		p := prompt(string(rune('a'+i)), 7)
		complete, reason := Answer(p, 40, 0.03)
		if reason == FinishStop {
			stopped++
		}
		for cut := range complete {
			head := strings.Join(complete[:cut], "")
			rest, restReason := Answer(append(bytes.Clone(p), head...), 40-cut, 0.03)
			is.Equal(strings.Join(rest, ""), strings.Join(complete[cut:], ""))
			is.Equal(restReason, reason)
		}
	}
	is.True(stopped > 10 && stopped < 50) // both cases occur; 1 - 0.97^40 = 70 % stop early on average
}

// Guards against a model load that takes no time, is restarted by a repeated
// command or completes after an unload. Also guards against an outdated fencing
// token that is accepted by an engine that checks tokens, or refused by one that
// does not check them.
func TestCommands(t *testing.T) {
	for _, checked := range []bool{false, true} {
		c := testConfig()
		c.FencingChecked, c.LoadTime = checked, time.Second
		simulate(t, c, func(is *is.I, e *Engine) {
			load := Command{Kind: CommandLoad, Model: "n", Version: "1", FencingToken: 7}
			is.NoErr(e.Command(load))
			time.Sleep(c.LoadTime / 2)
			is.NoErr(e.Command(load)) // must not restart the load
			is.Equal(e.Info().Models, []string{"m"})
			time.Sleep(c.LoadTime/2 + time.Millisecond)
			is.Equal(e.Info().Models, []string{"m", "n"})
			is.Equal(e.Stats().Versions, map[string]string{"m": "", "n": "1"})
			err := e.Command(Command{Kind: CommandUnload, Model: "n", FencingToken: 6})
			is.Equal(kindOf(err) == KindFenced, checked)
			is.NoErr(e.Command(Command{Kind: CommandLoad, Model: "n", Adapter: "x", FencingToken: 8}))
			is.NoErr(e.Command(Command{Kind: CommandUnload, Model: "n", FencingToken: 9}))
			time.Sleep(2 * c.LoadTime)
			is.Equal(e.Info().Models, []string{"m"})
		})
	}
}

// Guards against load reports that are not as old as LoadLag, and against injected
// faults that have no effect on steps and starts.
func TestLoadLagAndFaults(t *testing.T) {
	c := testConfig()
	c.LoadLag = 500 * time.Millisecond
	simulate(t, c, func(is *is.I, e *Engine) {
		start(is, e, request("a", 90_000, 1))
		start(is, e, request("b", 90_000, 1))
		time.Sleep(c.LoadLag / 2)
		is.Equal(e.Load(), LoadReport{})
		time.Sleep(c.LoadLag)
		is.Equal(e.Load(), LoadReport{KVUsedTokens: 90_001, Running: 1, Queued: 1, QueuedTokens: 90_000})

		stepsBefore := e.Stats().Steps
		on, off, slow := true, false, 10.0
		_, err := e.Inject(FaultChange{Hang: &on})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(e.Stats().Steps, stepsBefore)
		_, err = e.Inject(FaultChange{Hang: &off, SlowFactor: &slow, FailStarts: &on})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.True(e.Stats().Steps-stepsBefore <= 7) // a step takes 10 x (10 ms + 10 ms), so that 5 fit into 1 s
		_, err = e.Start(request("c", 1, 1))
		is.Equal(kindOf(err), KindRefused)
	})
}

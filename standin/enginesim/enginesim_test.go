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

func expected(prompt []byte, maxTokens int) string {
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

// Guards the step time: wrong figures would distort every policy measurement.
func TestStepTimes(t *testing.T) {
	simulate(t, testConfig(), func(is *is.I, e *Engine) {
		begin := time.Now()
		s := start(is, e, request("a", 2500, 3))
		_, err := s.Next(context.Background())
		is.NoErr(err)
		is.Equal(time.Since(begin), (20+20+15)*time.Millisecond) // three prefill steps, the last with 500 tokens
		text, last := collect(is, s)
		is.Equal(time.Since(begin), (20+20+15+11+11)*time.Millisecond)
		is.Equal(last.FinishReason, FinishLength)
		is.True(strings.HasSuffix(expected(prompt("a", 2500), 3), text))
		is.Equal(last.PromptTokens, 2500)
	})
}

// Guards the order of prefill: a short prompt of higher priority overtakes a
// long one that runs, and decoding goes on beside prefill.
func TestPriorityOvertakes(t *testing.T) {
	simulate(t, testConfig(), func(is *is.I, e *Engine) {
		decoding := start(is, e, request("d", 10, 50))
		_, err := decoding.Next(context.Background())
		is.NoErr(err)
		long := request("long", 20_000, 1)
		long.Priority = 5
		start(is, e, long)
		time.Sleep(35 * time.Millisecond) // the step in progress has long tokens only
		begin := time.Now()
		short := start(is, e, request("s", 900, 1))
		collect(is, short)
		is.True(time.Since(begin) <= 2*21*time.Millisecond) // rest of a step and one step
		is.True(e.Stats().PrefillTokens < 5000)             // long is still being prefilled
		_, last := collect(is, decoding)
		is.Equal(last.FinishReason, FinishLength)
	})
}

// Guards the memory limit: a request is admitted only beside what fits, also
// after cancellation, and a request that can never fit is refused at once.
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

// Guards the accounting of memory: whatever is started, cancelled, exported or
// broken, streams and cache together fit, and at the end no stream holds any.
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

// Guards the prefix cache: hits skip prefill, the cache takes only free
// memory, and late events with gaps keep their sequence numbers.
func TestPrefixCache(t *testing.T) {
	c := testConfig()
	c.EventDelay = time.Second
	simulate(t, c, func(is *is.I, e *Engine) {
		collect(is, start(is, e, request("a", 10*BlockTokens, 1)))
		is.Equal(e.Stats().KVCachedTokens, 10*BlockTokens)
		is.Equal(len(e.Events(0)), 0) // not visible yet
		before := e.Stats().PrefillTokens
		again := request("a", 10*BlockTokens+5, 1)
		again.StreamID = "again"
		_, last := collect(is, start(is, e, again))
		is.Equal(last.CachedTokens, 10*BlockTokens)
		is.Equal(e.Stats().PrefillTokens-before, int64(5))

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
		is.Equal(stored, 10+64)
		is.True(evicted > 0)
	})
}

// Guards resume and its leak: a broken stream can be re-attached, is
// cancelled after the retention time, and stays held if the engine leaks.
func TestBrokenStreams(t *testing.T) {
	for _, leak := range []bool{false, true} {
		c := testConfig()
		c.KeepForever = leak
		simulate(t, c, func(is *is.I, e *Engine) {
			s := start(is, e, request("a", 100, 20))
			first, err := s.Next(context.Background())
			is.NoErr(err)
			s.Detach()
			time.Sleep(c.Retention / 10)
			resumed, err := e.Attach("a", len(first.Texts))
			is.NoErr(err)
			rest, _ := collect(is, resumed)
			is.Equal(strings.Join(first.Texts, "")+rest, expected(prompt("a", 100), 20))

			lost := start(is, e, request("b", 100, 2000))
			lost.Detach()
			time.Sleep(100 * c.Retention)
			is.Equal(len(e.Streams()) == 1, leak)
			is.Equal(e.Stats().KVUsedTokens > 0, leak)
			e.Cancel("b")
			is.Equal(e.Stats().KVUsedTokens, 0)
		})
	}
}

// Guards export and import: a paused stream and a chain of segments give the
// answer to the whole prompt, and each engine holds only its own part.
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
		begin := time.Now()
		state, err := e.Export("a")
		is.NoErr(err)
		is.Equal(time.Since(begin), 3001*c.StateTimePerToken)
		is.Equal(e.Stats().KVUsedTokens, 0)
		is.Equal(len(state), 3001*c.StateBytesPerToken)
		_, err = s.Next(context.Background())
		is.Equal(kindOf(err), KindNotFound)
		rest, last := collect(is, start(is, other, Request{StreamID: "a", Model: "m", State: state}))
		is.Equal(strings.Join(first.Texts, "")+rest, expected(prompt("a", 3000), 30))
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
		is.Equal(other.Stats().KVUsedTokens, 70_010)
		text, last := collect(is, running)
		whole := append(prompt("s1", 80_000), prompt("s2", 70_000)...)
		is.Equal(text, expected(whole, 10))
		is.Equal(last.PromptTokens, 150_000)

		_, err = e.Start(Request{StreamID: "x", Model: "m", MaxTokens: 1, State: state[:20]})
		is.Equal(kindOf(err), KindRefused)
	})
}

// Guards the continuation rule with answers that stop by themselves.
func TestAnswerContinuation(t *testing.T) {
	is := is.New(t)
	stopped := 0
	for i := range 50 {
		p := prompt(string(rune('a'+i)), 7)
		whole, reason := Answer(p, 40, 0.03)
		if reason == FinishStop {
			stopped++
		}
		for cut := range whole {
			head := strings.Join(whole[:cut], "")
			rest, again := Answer(append(bytes.Clone(p), head...), 40-cut, 0.03)
			is.Equal(strings.Join(rest, ""), strings.Join(whole[cut:], ""))
			is.Equal(again, reason)
		}
	}
	is.True(stopped > 10 && stopped < 50)
}

// Guards orders: loads take time, repeats have no effect, an unload during a
// load wins, and old fencing tokens are refused only if the engine checks.
func TestOrders(t *testing.T) {
	for _, checked := range []bool{false, true} {
		c := testConfig()
		c.FencingChecked, c.LoadTime = checked, time.Second
		simulate(t, c, func(is *is.I, e *Engine) {
			load := Order{Kind: OrderLoad, Model: "n", Version: "1", Fencing: 7}
			is.NoErr(e.Order(load))
			time.Sleep(c.LoadTime / 2)
			is.NoErr(e.Order(load)) // must not begin again
			is.Equal(e.Info().Models, []string{"m"})
			time.Sleep(c.LoadTime/2 + time.Millisecond)
			is.Equal(e.Info().Models, []string{"m", "n"})
			is.Equal(e.Stats().Versions, map[string]string{"m": "", "n": "1"})
			err := e.Order(Order{Kind: OrderUnload, Model: "n", Fencing: 6})
			is.Equal(kindOf(err) == KindFenced, checked)
			is.NoErr(e.Order(Order{Kind: OrderLoad, Model: "n", Adapter: "x", Fencing: 8}))
			is.NoErr(e.Order(Order{Kind: OrderUnload, Model: "n", Fencing: 9}))
			time.Sleep(2 * c.LoadTime)
			is.Equal(e.Info().Models, []string{"m"})
		})
	}
}

// Guards the lag of load reports and the faults that change timing.
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

		before := e.Stats().Steps
		on, off, slow := true, false, 10.0
		_, err := e.Inject(FaultChange{Hang: &on})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(e.Stats().Steps, before)
		_, err = e.Inject(FaultChange{Hang: &off, SlowFactor: &slow, FailStarts: &on})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.True(e.Stats().Steps-before <= 7) // 200 ms per step
		_, err = e.Start(request("c", 1, 1))
		is.Equal(kindOf(err), KindRefused)
	})
}

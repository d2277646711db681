package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// shortGrace shortens the time for which agents keep answers of unreachable
// entries, which also delays a graceful stop after faults.
func shortGrace(s *settings.Settings) {
	if s.Agent != nil {
		s.Agent.OrphanGraceMillis = 3000
	}
}

// await polls until a condition holds and fails the test after limit.
func await(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// endNetworkFaults ends all network faults and waits until each entry has a session
// with every other daemon.
func endNetworkFaults(ctx context.Context, t *testing.T, f *fleet.Fleet) {
	t.Helper()
	if err := f.EndProxyFaults(); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitSessions(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against tokens that are lost, duplicated or of another answer when a
// connection fails during an answer, on either side of the agent. The answer must
// also end within 15 s, enough to detect the failure, to retry, and to decode the
// rest, which takes about 2 s.
func TestNetworkFaultDuringAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 3, EngineFlags: slowEngine, Proxies: true, Adjust: shortGrace})
	control := func(d *fleet.Daemon) *fleet.Proxy { return d.Control }
	backend := func(d *fleet.Daemon) *fleet.Proxy { return d.Backend }
	cases := []struct {
		name    string
		proxyOf func(*fleet.Daemon) *fleet.Proxy
		disturb func(*fleet.Proxy) error
	}{
		{"agent cut", control, (*fleet.Proxy).Cut},
		{"agent connections break", control, (*fleet.Proxy).Break},
		{"agent reset", control, (*fleet.Proxy).Reset},
		{"data to the agent dropped", control, func(p *fleet.Proxy) error { return p.Drop(fleet.Up) }},
		{"data from the agent dropped", control, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) }},
		{"data from the agent slow", control, func(p *fleet.Proxy) error { return p.Slow(fleet.Down, 1) }},
		{"agent with high latency", control, func(p *fleet.Proxy) error { return p.Delay(300 * time.Millisecond) }},
		{"engine cut", backend, (*fleet.Proxy).Cut},
		{"engine reset", backend, (*fleet.Proxy).Reset},
		{"data from the engine dropped", backend, func(p *fleet.Proxy) error { return p.Drop(fleet.Down) }},
	}
	for _, tc := range cases {
		text := prompt(tc.name, 2000)
		r := client.Request{Model: "standin", Prompt: text, MaxTokens: 100, Stream: true, TimeoutMS: 20_000}
		a, err := duringAnswer(ctx, f, 0, r, 5, func(a client.Answer) {
			d, _ := agentOf(f, a.LastEventID)
			is.NoErr(tc.disturb(tc.proxyOf(d)))
		})
		is.NoErr(err)
		t.Logf("%s: %s %s after %v", tc.name, a.Outcome, a.Code, a.Duration.Round(time.Millisecond))
		is.Equal(a.Outcome, "completed")
		is.Equal(a.Text, expected(text, 100))
		is.True(a.Duration < 15*time.Second)
		endNetworkFaults(ctx, t, f)
		awaitMemoryFreed(t, f, 15*time.Second)
	}
	is.NoErr(f.Stop())
}

// Guards against requests that exceed their deadline or end without an outcome
// when agents or engines are unreachable in one or both directions, and when a
// connection is too slow for a prompt.
func TestDeadlinesUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, Proxies: true, EngineFlags: []string{"--step-per-prefill=2us"}})
	control := func(disturb func(*fleet.Proxy) error) func(*fleet.Daemon) error {
		return func(d *fleet.Daemon) error { return disturb(d.Control) }
	}
	cases := []struct {
		name    string
		disturb func(*fleet.Daemon) error
	}{
		{"agents cut", control((*fleet.Proxy).Cut)},
		{"data to the agents dropped", control(func(p *fleet.Proxy) error { return p.Drop(fleet.Up) })},
		{"data from the agents dropped", control(func(p *fleet.Proxy) error { return p.Drop(fleet.Down) })},
		{"data to the agents slow", control(func(p *fleet.Proxy) error { return p.Slow(fleet.Up, 1) })},
		{"data from the agents slow", control(func(p *fleet.Proxy) error { return p.Slow(fleet.Down, 1) })},
		{"engines cut", func(d *fleet.Daemon) error { return d.Backend.Cut() }},
		{"data from the engines dropped", func(d *fleet.Daemon) error { return d.Backend.Drop(fleet.Down) }},
		{"data to the engines slow", func(d *fleet.Daemon) error { return d.Backend.Slow(fleet.Up, 1) }},
	}
	for _, tc := range cases {
		for _, d := range f.Agents {
			is.NoErr(tc.disturb(d))
		}
		sendWithDeadlines(ctx, t, f, tc.name)
		endNetworkFaults(ctx, t, f)
		awaitMemoryFreed(t, f, 15*time.Second)
	}
	for _, engine := range f.Engines {
		is.NoErr(f.Faults(engine, http.MethodPost, "/faults", map[string]any{"hang": true}))
	}
	sendWithDeadlines(ctx, t, f, "engines hang")
	for _, engine := range f.Engines {
		is.NoErr(f.Faults(engine, http.MethodPost, "/faults", map[string]any{"hang": false}))
	}
	awaitMemoryFreed(t, f, 15*time.Second)
	text := prompt("after", 500)
	a, err := caller(f, 1).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 5, TimeoutMS: 20_000})
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	is.Equal(a.Text, expected(text, 5))
	is.NoErr(f.Stop())
}

// sendWithDeadlines sends concurrent completions of two sizes with short
// deadlines, streamed and not streamed, and checks their outcomes and when they
// end.
func sendWithDeadlines(ctx context.Context, t *testing.T, f *fleet.Fleet, name string) {
	var group sync.WaitGroup
	var mu sync.Mutex
	maxLateness, outcomes := time.Duration(0), map[string]int{}
	for i := range 16 {
		timeout := []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}[i%2]
		tokens := []int{500, 80_000}[i/2%2] // the longer prompt exceeds the flow-control window of a stream
		r := client.Request{Model: "standin", Prompt: prompt(fmt.Sprint(name, i), tokens), MaxTokens: 20,
			Stream: i/4%2 == 0, TimeoutMS: timeout.Milliseconds()}
		group.Go(func() {
			a, err := caller(f, i/8).Complete(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			outcomes[strings.TrimSpace(a.Outcome+" "+a.Code)]++
			maxLateness = max(maxLateness, a.Duration-timeout)
			switch {
			case err != nil:
				t.Errorf("%s: request %d: %v", name, i, err)
			case !history.IsOutcome(a.Outcome):
				t.Errorf("%s: request %d: outcome %q is not one of the four outcomes", name, i, a.Outcome)
			case a.Duration > timeout+history.MaxLateness:
				t.Errorf("%s: request %d (%d tokens, stream %v): %v after its deadline", name, i, tokens, r.Stream, a.Duration-timeout)
			case a.Outcome == "completed" && a.Text != expected(r.Prompt, 20):
				t.Errorf("%s: request %d: wrong text", name, i)
			}
		})
	}
	group.Wait()
	t.Logf("%s: outcomes %v, longest time from deadline to end %v", name, outcomes, maxLateness.Round(time.Millisecond))
}

// Guards against started answers that wait for the retry budget when the server
// of many of them fails while few new requests refill the budget: without an
// exemption, the retries run one after the other, about 14 s apart.
func TestManyAnswersContinue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 2, EngineFlags: slowEngine, Proxies: true, Adjust: shortGrace})
	const streams = 16
	started := make(chan struct{}, streams)
	var group sync.WaitGroup
	for i := range streams {
		r := client.Request{Model: "standin", Prompt: prompt(fmt.Sprint("many", i), 500), MaxTokens: 150, Stream: true, TimeoutMS: 15_000}
		group.Go(func() {
			a, err := duringAnswer(ctx, f, 0, r, 3, func(client.Answer) { started <- struct{}{} })
			if err != nil || a.Outcome != "completed" || a.Text != expected(r.Prompt, 150) {
				t.Errorf("request %d: outcome %q, code %q, %d events, error %v", i, a.Outcome, a.Code, a.TextEvents, err)
			}
		})
	}
	for range streams {
		<-started
	}
	is.NoErr(f.Agents[0].Backend.Cut())
	group.Wait()
	endNetworkFaults(ctx, t, f)
	awaitMemoryFreed(t, f, 10*time.Second)
	is.NoErr(f.Stop())
}

// Guards against failures while an engine that a prompt larger than one engine
// needs is temporarily unreachable: a started answer must go on afterwards, and a
// new request must get no_server, not the permanent refusal prompt_too_long.
func TestGroupWaitsForEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 3, Proxies: true, Adjust: shortGrace,
		EngineFlags: []string{"--kv-tokens=100000", "--step-fixed=20ms", "--step-per-prefill=2us"}})
	r := client.Request{Model: "standin", Prompt: prompt("group", 120_000), MaxTokens: 100, Stream: true, TimeoutMS: 30_000}
	a, err := duringAnswer(ctx, f, 0, r, 5, func(client.Answer) {
		is.NoErr(f.Agents[0].Control.Cut())
		time.Sleep(500 * time.Millisecond)
		b, err := caller(f, 0).Complete(ctx, r)
		is.NoErr(err)
		is.Equal(b.Outcome, "not_run")
		is.Equal(b.Code, "no_server")
		time.Sleep(2 * time.Second)
		is.NoErr(f.Agents[0].Control.EndFaults())
	})
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	is.Equal(a.Text, expected(r.Prompt, 100))
	awaitMemoryFreed(t, f, 10*time.Second)
	is.NoErr(f.Stop())
}

// Guards against an entry without a configuration that refuses a valid key as
// unauthenticated: it cannot know any keys yet and must answer no_server.
func TestEntryWithoutConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1, Proxies: true})
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"outage": "refuse"}))
	fresh := f.AddEntry("entry-fresh")
	is.NoErr(f.StartDaemon(fresh))
	c := client.New(fresh.Settings.Entry.CallersAddress, fleet.CallerKey)
	var a client.Answer
	await(t, 10*time.Second, "the entry answers", func() bool {
		var err error
		a, err = c.Complete(ctx, client.Request{Model: "standin", Prompt: "a", MaxTokens: 1})
		return err == nil
	})
	is.Equal(a.Outcome, "not_run")
	is.Equal(a.Code, "no_server")
	is.Equal(a.Status, http.StatusServiceUnavailable)
}

package e2e

import (
	"context"
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

// callCounter counts the results of service calls; safe for concurrent use.
type callCounter struct {
	mu      sync.Mutex
	results map[string]int
}

func (c *callCounter) add(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[result]++
}

// sendCalls sends orders, or idempotent calls, one after another until ctx ends
// and counts their results by outcome and code.
func (c *callCounter) sendCalls(ctx context.Context, to *client.Client, idempotent bool) {
	for ctx.Err() == nil {
		method, headers := http.MethodPost, map[string]string{"Idempotency-Key": history.NewKey(), "Camphorwick-Timeout-Ms": "10000"}
		if idempotent {
			method = http.MethodGet
		}
		a, err := to.Call(context.WithoutCancel(ctx), method, "/v1/services/orders/coils", nil, headers)
		if err != nil {
			c.add("connection: " + err.Error())
			continue
		}
		c.add(strings.TrimSpace(a.Outcome + " " + a.Code))
		if a.Outcome != "completed" {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// sessionLatency is the latency from an entry to an agent in another data centre.
const sessionLatency = 150 * time.Millisecond

// Guards against orders and idempotent calls whose stream is cut by the end of
// an agent that is stopped as planned: the caller would get unknown or failed
// although the agent never ran the call.
func TestStopOfDistantOrderServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Orders: 1, Proxies: true})
	for _, d := range f.Agents {
		is.NoErr(d.Control.Delay(sessionLatency))
	}
	loadCtx, stop := context.WithCancel(ctx)
	counter := &callCounter{results: map[string]int{}}
	var group sync.WaitGroup
	for worker := range 24 {
		group.Go(func() { counter.sendCalls(loadCtx, caller(f, worker%2), worker%4 == 3) })
	}
	for range 5 {
		time.Sleep(time.Second)
		is.NoErr(f.Agents[0].Terminate())
		is.NoErr(f.StartDaemon(f.Agents[0]))
		is.NoErr(f.AwaitReady(ctx, f.Agents[0]))
		time.Sleep(time.Second) // until the entries have sessions with the new process
	}
	stop()
	group.Wait()
	t.Logf("results: %v", counter.results)
	is.True(counter.results["completed"] > 50)
	for result := range counter.results {
		if result != "completed" && !strings.HasPrefix(result, "not_run ") {
			t.Errorf("%d calls ended as %q", counter.results[result], result)
		}
	}
}

// Guards against completions that are lost and orders that are cut when an agent
// that is stopped as planned reaches its drain limit: another agent must continue
// a completion, and an order in flight must end with its answer.
func TestDrainLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 2, Orders: 1, EngineFlags: slowEngine,
		Adjust: func(s *settings.Settings) { s.DrainLimitSeconds = 1 }})
	is.NoErr(serviceFaults(f, object{"latency_ms": 4000}))
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		a, err := caller(f, 0).Order(ctx, "/v1/services/orders/coils", history.NewKey(), []byte("1"))
		if err != nil || a.Outcome != "completed" {
			t.Errorf("order: %+v, %v", a, err)
		}
	})
	text := prompt("limit", 1000)
	a, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: text, MaxTokens: 250, Stream: true}, 5, func(a client.Answer) {
		d, _ := agentOf(f, a.LastEventID)
		for _, stopped := range []*fleet.Daemon{d, f.Agents[2]} {
			group.Go(func() {
				if err := stopped.Terminate(); err != nil {
					t.Errorf("stop %s: %v", stopped.Settings.VM, err)
				}
			})
		}
	})
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	is.Equal(a.Text, expected(text, 250))
}

// markChanges is the number of times that TestMarksUnderLoad sets and removes
// the marks, markInterval the time between two changes.
const (
	markChanges  = 12
	markInterval = 150 * time.Millisecond
)

// Guards against requests that are lost when the marks of their servers are set
// and removed while they enter the queue: each must be answered or refused.
func TestMarksUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, Orders: 2})
	loadCtx, stop := context.WithCancel(ctx)
	counter := &callCounter{results: map[string]int{}}
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() { counter.sendCalls(loadCtx, caller(f, worker%2), worker%4 == 3) })
		group.Go(func() {
			for loadCtx.Err() == nil {
				counter.add(completeAtReadyEntry(ctx, f, worker))
			}
		})
	}
	for i := range markChanges {
		for _, vm := range []string{f.Agents[i%2].Settings.VM, f.Agents[2+i%2].Settings.VM} {
			is.NoErr(changeMark(f, vm, object{"state": "leaving"}))
		}
		time.Sleep(markInterval)
		for _, vm := range []string{f.Agents[i%2].Settings.VM, f.Agents[2+i%2].Settings.VM} {
			is.NoErr(changeMark(f, vm, nil))
		}
		time.Sleep(markInterval)
	}
	stop()
	group.Wait()
	t.Logf("results: %v", counter.results)
	is.True(counter.results["completed"] > 50)
	for result := range counter.results {
		if result != "completed" && !strings.HasPrefix(result, "not_run ") {
			t.Errorf("%d requests ended as %q", counter.results[result], result)
		}
	}
	awaitMemoryFreed(t, f, 5*time.Second)
	is.NoErr(f.Stop())
}

// changeMark sets the mark of a VM, or removes it if mark is nil.
func changeMark(f *fleet.Fleet, vm string, mark any) error {
	revision, err := f.ItemRevision(f.Entries[0], "mark/"+vm)
	if err != nil {
		return err
	}
	_, err = f.Edit(f.Entries[0], fleet.Change{Key: "mark/" + vm, Value: mark, ExpectedRevision: revision})
	return err
}

package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// slowEngine makes a token take about 20 ms, so that a test can act during an
// answer.
var slowEngine = []string{"--step-fixed=20ms"}

// duringAnswer streams a completion and calls disturb once, after the given number
// of text events. disturb gets what has been received until then.
func duringAnswer(ctx context.Context, f *fleet.Fleet, entry int, r client.Request, events int, disturb func(client.Answer)) (client.Answer, error) {
	var once sync.Once
	return caller(f, entry).CompleteObserved(ctx, r, func(a client.Answer) {
		if a.TextEvents >= events {
			once.Do(func() { disturb(a) })
		}
	})
}

// agentOf returns the agent that sent an event, and its index. Event ids start
// with the VM of the agent and a slash.
func agentOf(f *fleet.Fleet, eventID string) (*fleet.Daemon, int) {
	for i, d := range f.Agents {
		if vm := d.Settings.VM; len(eventID) > len(vm) && eventID[:len(vm)+1] == vm+"/" {
			return d, i
		}
	}
	return nil, -1
}

// Guards against tokens that are lost, duplicated or of another answer when an
// agent or engine is killed or paused during an answer: another engine must
// continue the answer. --keep-forever makes an engine keep the memory of a broken
// stream until it is cancelled, so that the test finds streams that no agent
// cancelled.
func TestContinuation(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(f *fleet.Fleet, agent *fleet.Daemon, i int)
	}{
		{"agent killed", func(f *fleet.Fleet, d *fleet.Daemon, i int) { d.KillNow() }},
		{"engine killed", func(f *fleet.Fleet, d *fleet.Daemon, i int) { f.Engines[i].KillNow() }},
		{"agent paused", func(f *fleet.Fleet, d *fleet.Daemon, i int) { _ = d.Signal(syscall.SIGSTOP) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx, f := start(t, fleet.Options{Entries: 1, Engines: 3, EngineFlags: append([]string{"--keep-forever"}, slowEngine...)})
			text := prompt("review", 2000)
			var affected *fleet.Daemon
			a, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: text, MaxTokens: 100, Stream: true}, 5, func(a client.Answer) {
				d, i := agentOf(f, a.LastEventID)
				affected = d
				tc.disturb(f, d, i)
			})
			is.NoErr(err)
			is.Equal(a.Outcome, "completed")
			is.Equal(a.Text, expected(text, 100))
			is.True(affected != nil)
			_ = affected.Signal(syscall.SIGCONT)
			if tc.name == "agent killed" {
				is.NoErr(f.StartDaemon(affected)) // the new process must free the streams of the old one
			}
			awaitMemoryFreed(t, f, 10*time.Second)
		})
	}
}

// Guards against requests to an agent whose engine has exited, and against a fleet
// table that shows this agent as live instead of with its backend down.
func TestExitedEngine(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 2})
	f.Engines[0].KillNow()
	var states map[string]string
	for deadline := time.Now().Add(5 * time.Second); states["server-1"] != "backend down"; time.Sleep(50 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
		states = fleetStates(t, f)
	}
	for range 5 {
		a, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: prompt("dead", 500), MaxTokens: 2, Stream: true})
		is.NoErr(err)
		is.Equal(a.Outcome, "completed")
	}
	var stats engineStats
	is.NoErr(f.Stats(f.Engines[1], "/stats", &stats))
	is.Equal(len(stats.Starts), 5)
}

// fleetStates returns the state of each VM in the fleet table.
func fleetStates(t *testing.T, f *fleet.Fleet) map[string]string {
	t.Helper()
	data, err := f.Admin(f.Entries[0], http.MethodGet, "/admin/v1/fleet", nil)
	if err != nil {
		t.Fatal(err)
	}
	var table struct {
		VMs []struct{ VM, State string }
	}
	if err := json.Unmarshal(data, &table); err != nil {
		t.Fatal(err)
	}
	states := map[string]string{}
	for _, vm := range table.VMs {
		states[vm.VM] = vm.State
	}
	return states
}

// Guards against a streamed answer that is lost when its entry is killed: another
// entry must return the rest.
func TestEntryKilled(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, EngineFlags: slowEngine})
	text := prompt("tender", 2000)
	got, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: text, MaxTokens: 100, Stream: true, ID: "tender-1"}, 5,
		func(client.Answer) { f.Entries[0].KillNow() })
	is.True(err != nil) // the connection broke
	rest, err := caller(f, 1).Resume(ctx, "tender-1", got.LastEventID)
	is.NoErr(err)
	is.Equal(rest.Outcome, "completed")
	is.Equal(got.Text+rest.Text, expected(text, 100))
	awaitMemoryFreed(t, f, 5*time.Second)
}

// Guards against engines that continue an answer, streamed or not, after its
// caller has disconnected. --keep-forever makes an engine keep the memory of the
// answer until the agent cancels it.
func TestCallerGone(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		_, f := start(t, fleet.Options{Entries: 1, Engines: 1, EngineFlags: append([]string{"--keep-forever"}, slowEngine...)})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: prompt("gone", 2000), MaxTokens: 4000, Stream: stream})
		cancel()
		is.True(err != nil)
		awaitMemoryFreed(t, f, 3*time.Second)
	}
}

// Guards against new requests for a backend server that an operator has marked as
// leaving, and against a stream on it that is cut off instead of finished. The
// platform reports changes of the VM list 60 s late, so that the entries learn
// only from the mark that the server leaves.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, EngineFlags: slowEngine, PlatformFlags: []string{"--vm-lag=60s"}})
	text := prompt("leaving", 1000)
	var marked time.Time
	var vm string
	a, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: text, MaxTokens: 300, Stream: true}, 3, func(a client.Answer) {
		d, _ := agentOf(f, a.LastEventID)
		vm = d.Settings.VM
		if _, err := f.Edit(f.Entries[1], fleet.Change{Key: "mark/" + vm, Value: map[string]string{"state": "leaving"}}); err != nil {
			t.Error(err)
		}
		marked = time.Now()
		sendUntil(ctx, t, f, marked.Add(3*time.Second))
	})
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	is.Equal(a.Text, expected(text, 300))
	for range 10 {
		b, err := caller(f, 1).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 2, Stream: true})
		is.NoErr(err)
		is.Equal(b.Outcome, "completed")
		d, _ := agentOf(f, b.LastEventID)
		is.True(d.Settings.VM != vm) // 3 s after the mark, no entry may choose its VM
	}
	is.NoErr(f.Stop())
}

// sendUntil sends requests until end; each must complete.
func sendUntil(ctx context.Context, t *testing.T, f *fleet.Fleet, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		a, err := caller(f, i%2).Complete(ctx, client.Request{Model: "standin", Prompt: prompt("busy", 500), MaxTokens: 2})
		if err != nil || a.Outcome != "completed" {
			t.Errorf("request after the mark: outcome %q, code %q, error %v", a.Outcome, a.Code, err)
			return
		}
	}
}

// Guards against graceful stops that cut off requests, when all agents and
// entries are replaced one after the other under load.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 3})
	loadCtx, stop := context.WithCancel(ctx)
	var group errgroup.Group
	var mu sync.Mutex
	outcomes := map[string]int{}
	for worker := range 6 {
		group.Go(func() error {
			for i := worker; loadCtx.Err() == nil; i++ {
				o := completeAtReadyEntry(ctx, f, i)
				mu.Lock()
				outcomes[o]++
				mu.Unlock()
			}
			return nil
		})
	}
	for _, d := range append(append([]*fleet.Daemon{}, f.Agents...), f.Entries...) {
		time.Sleep(500 * time.Millisecond)
		is.NoErr(d.Terminate())
		is.NoErr(f.StartDaemon(d))
		is.NoErr(f.AwaitReady(ctx, d))
		time.Sleep(2 * time.Second) // until the entries have sessions with the new process
	}
	stop()
	is.NoErr(group.Wait())
	t.Logf("outcomes: %v", outcomes)
	is.True(outcomes["completed"] > 50)
	is.Equal(len(outcomes), 1)
	awaitMemoryFreed(t, f, 5*time.Second)
	is.NoErr(f.Stop())
}

// Guards against an entry that answers its readiness probe before it has sessions with
// agents: the first caller after a restart was refused for want of a server.
func TestRestartedEntryServesAtOnce(t *testing.T) {
	const restarts = 20
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 3})
	d, outcomes := f.Entries[0], map[string]int{}
	for i := range restarts {
		d.KillNow()
		<-d.Done()
		is.NoErr(f.StartDaemon(d))
		outcomes[completeAtReadyEntry(ctx, f, i)]++
	}
	is.Equal(outcomes, map[string]int{"completed": restarts})
	is.NoErr(f.Stop())
}

// completeAtReadyEntry sends a completion to a ready entry, as the load balancer of
// the platform does. It returns "completed", or a text that says what went wrong.
func completeAtReadyEntry(ctx context.Context, f *fleet.Fleet, i int) string {
	for try := range 200 {
		d := f.Entries[(i+try)%len(f.Entries)]
		response, err := http.Get("http://" + d.Settings.OpsAddress + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := client.New(d.Settings.Entry.CallersAddress, fleet.CallerKey)
		defer c.HTTP.CloseIdleConnections()
		text := prompt("rolling", 400)
		a, err := c.Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 30, Stream: true, TimeoutMS: 20_000})
		switch {
		case err != nil:
			return "connection: " + err.Error()
		case a.Outcome == "completed" && a.Text != expected(text, 30):
			return "wrong text"
		case a.Outcome != "completed":
			return a.Outcome + " " + a.Code + " " + a.Message
		}
		return a.Outcome
	}
	return "no entry is ready"
}

// Guards, during a store outage, against completions or idempotent calls that
// fail, orders that run without a claim, edits that are accepted, and a new entry
// that cannot start. The new entry must get the configuration from its peers.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Orders: 1})
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"outage": "refuse"}))
	text := prompt("outage", 500)
	a, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 10})
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	key := history.NewKey()
	order, err := caller(f, 0).Call(ctx, http.MethodPost, "/v1/services/orders/coils", []byte("1"),
		map[string]string{"Idempotency-Key": key, "Camphorwick-Timeout-Ms": "3000"})
	is.NoErr(err)
	is.Equal(order.Outcome, "not_run")
	get, err := caller(f, 0).Call(ctx, http.MethodGet, "/v1/services/orders/stock", nil, nil)
	is.NoErr(err)
	is.Equal(get.Outcome, "completed") // idempotent calls need no store
	_, err = f.Edit(f.Entries[0], fleet.Change{Key: "mark/x", Value: map[string]string{"state": "leaving"}})
	is.True(err != nil)
	fresh := f.AddEntry("entry-fresh")
	fresh.Settings.Platform.Peers = peersOf(f)
	is.NoErr(f.StartDaemon(fresh))
	is.NoErr(f.AwaitReady(ctx, fresh)) // its configuration comes from peers
	b, err := client.New(fresh.Settings.Entry.CallersAddress, fleet.CallerKey).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 10})
	is.NoErr(err)
	is.Equal(b.Outcome, "completed")
	is.NoErr(f.Faults(f.Platform, http.MethodDelete, "/faults", nil))
	var runs struct {
		Keys map[string]int `json:"keys"`
	}
	is.NoErr(f.Stats(f.Orders[0], "/runs", &runs))
	is.Equal(runs.Keys[key], 0)
	again, err := caller(f, 1).Order(ctx, "/v1/services/orders/coils", key, []byte("1"))
	is.NoErr(err)
	is.Equal(again.Outcome, "completed")
}

// Guards against sessions that are closed because the VM list of the platform is
// temporarily empty, so that all requests are refused with no_server.
func TestEmptyVMList(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2})
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/vms", map[string]any{"vms": []any{}, "immediate": true}))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		a, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: prompt("list", 200), MaxTokens: 2})
		is.NoErr(err)
		is.Equal(a.Outcome, "completed")
	}
}

// Guards against an accepted edit that is not in force everywhere within 5 s, and
// against an edit that is accepted although its expected revision is outdated.
func TestEditInForce(t *testing.T) {
	is := is.New(t)
	_, f := start(t, fleet.Options{Entries: 2, Engines: 2, Orders: 1})
	revision, err := f.Edit(f.Entries[0], fleet.Change{Key: "client/second", Value: map[string]any{"plan": "standard", "key_hashes": []string{fleet.HashKey("second")}}})
	is.NoErr(err)
	started := time.Now()
	for {
		data, err := f.Admin(f.Entries[1], http.MethodGet, "/admin/v1/confirmations?revision="+jsonNumber(revision), nil)
		is.NoErr(err)
		var status struct{ Confirmed, Total int }
		is.NoErr(json.Unmarshal(data, &status))
		if status.Total == 5 && status.Confirmed == 5 { // 2 entries and 3 agents
			break
		}
		is.True(time.Since(started) < 5*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("in force on 5 of 5 after %v", time.Since(started))
	_, err = f.Edit(f.Entries[1], fleet.Change{Key: "client/second", Value: map[string]any{"plan": "standard", "key_hashes": []string{}}, ExpectedRevision: 0})
	is.True(err != nil) // the item has changed since revision 0
}

// Guards against an answer that is not streamed and is lost when its entry is
// killed: another entry must return it by the request id, without the id of an
// event. TestEntryKilled is the same for a streamed answer.
func TestWholeAnswerAfterEntryDeath(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 3, EngineFlags: slowEngine})
	text := prompt("whole", 1000)
	lost := make(chan error, 1)
	go func() {
		_, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 100, ID: "whole-1"})
		lost <- err
	}()
	time.Sleep(time.Second)
	f.Entries[0].KillNow()
	is.True(<-lost != nil)
	a, err := caller(f, 1).Resume(ctx, "whole-1", "")
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	is.Equal(a.Text, expected(text, 100))
	awaitMemoryFreed(t, f, 5*time.Second)
}

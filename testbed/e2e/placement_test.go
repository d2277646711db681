package e2e

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// placedModel is a model that no engine has at the start of a test.
const placedModel = "second"

// placementLease is short, so that it expires within a test. It is also below the
// 3 s after which a paused process is suspected: a pause between the two is
// handled by the lease checks and not by the session checks.
const placementLease = 600 * time.Millisecond

// startPlaced starts a fleet with placement in all entries and a plan that allows
// placedModel.
func startPlaced(t *testing.T, o fleet.Options) (context.Context, *fleet.Fleet) {
	t.Helper()
	o.Adjust = func(s *settings.Settings) {
		if s.Entry != nil {
			s.Entry.Placement = &settings.Placement{LeaseMillis: int(placementLease / time.Millisecond), IntervalMillis: 100}
		}
	}
	ctx, f := start(t, o)
	allowPlacedModel(t, f)
	return ctx, f
}

func allowPlacedModel(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	is := is.New(t)
	revision, err := f.ItemRevision(f.Entries[0], "plan/standard")
	is.NoErr(err)
	_, err = f.Edit(f.Entries[0],
		fleet.Change{Key: "plan/standard", Value: map[string]any{"models": []string{"standin", placedModel}}, ExpectedRevision: revision},
		fleet.Change{Key: "model/standin", Value: map[string]any{}},
		fleet.Change{Key: "model/" + placedModel, Value: map[string]any{"version": "7"}})
	is.NoErr(err)
}

// weightCalls returns the number of calls to the weight store so far.
func weightCalls(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	var stats struct {
		Calls map[string]int `json:"calls"`
	}
	is.New(t).NoErr(f.Stats(f.Platform, "/stats", &stats))
	return stats.Calls["weights"]
}

// versionsOf returns the version of placedModel on each engine that has it.
func versionsOf(f *fleet.Fleet) map[string]string {
	found := map[string]string{}
	for _, engine := range f.Engines {
		var stats struct {
			Versions map[string]string `json:"versions"`
		}
		if f.Stats(engine, "/stats", &stats) != nil {
			continue // the engine was killed by the test
		}
		if v, ok := stats.Versions[placedModel]; ok {
			found[engine.Name] = v
		}
	}
	return found
}

func placedRequest() client.Request {
	return client.Request{Model: placedModel, Prompt: prompt("placed", 500), MaxTokens: 5}
}

// Guards against a requested model that is not loaded on any engine, against
// duplicate loads by the two entries, which both plan and race for the lease,
// against loads beyond the rate limit of the weight store, and against loads in
// one data centre only. It fails without the wait for a load in the entry,
// without Reserve before the command, or if the planner does not add the commands
// that it has sent to its view of the fleet.
func TestPlacementLoads(t *testing.T) {
	is := is.New(t)
	ctx, f := startPlaced(t, fleet.Options{Entries: 2, Engines: 4, DataCentres: []string{"dc-1", "dc-2"},
		EngineFlags: []string{"--load-time=500ms"}, PlatformFlags: []string{"--weights-per-second=0.5"}})
	var group sync.WaitGroup
	began := time.Now()
	for i := range 8 { // 4 at each entry
		group.Go(func() {
			a, err := caller(f, i%2).Complete(ctx, placedRequest())
			if err != nil || a.Outcome != "completed" || a.Text != expected(prompt("placed", 500), 5) {
				t.Errorf("request %d: %v, outcome %q, code %q", i, err, a.Outcome, a.Code)
			}
		})
	}
	group.Wait()
	t.Logf("all requests were answered after %v", time.Since(began))
	deadline := time.Now().Add(10 * time.Second)
	for len(versionsOf(f)) < 2 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // a duplicate load would happen now
	versions := versionsOf(f)
	is.Equal(len(versions), 2)
	for engine, version := range versions {
		is.Equal(version, "7")
		t.Logf("%s has version %s", engine, version)
	}
	is.True(versions["engine-1"] == "" || versions["engine-3"] == "") // both are in dc-1
	is.True(versions["engine-2"] == "" || versions["engine-4"] == "") // both are in dc-2
	loadCommands := 0
	for _, d := range f.Agents {
		loadCommands += len(commandedVersions(t, f, d))
	}
	is.Equal(loadCommands, 2)
	is.Equal(weightCalls(t, f)-rateLimitedCalls(t, f), 2)
	is.NoErr(f.Stop())
}

// rateLimitedCalls returns the number of calls that exceeded a rate limit of the
// platform.
func rateLimitedCalls(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	var stats struct {
		RateLimited int `json:"rate_limited"`
	}
	is.New(t).NoErr(f.Stats(f.Platform, "/stats", &stats))
	return stats.RateLimited
}

// leaseHolder returns the index of the entry that holds the lease of placedModel,
// or -1.
func leaseHolder(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	response, err := http.Get("http://" + f.Platform.Address + "/v1/kv?key=placement/" + placedModel)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	value, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for i, d := range f.Entries {
		if strings.HasPrefix(string(value), d.Settings.VM+"/") {
			return i
		}
	}
	return -1
}

// loadedOnEngines reports whether placedModel is loaded on exactly n engines, all
// with the given version.
func loadedOnEngines(f *fleet.Fleet, n int, version string) bool {
	versions := versionsOf(f)
	for _, v := range versions {
		if v != version {
			return false
		}
	}
	return len(versions) == n
}

// commandedVersions returns the versions of placedModel that an agent told its
// engine to load, in order.
func commandedVersions(t *testing.T, f *fleet.Fleet, agent *fleet.Daemon) []string {
	t.Helper()
	data, err := os.ReadFile(f.LogFile(agent.Settings.VM))
	if err != nil {
		t.Fatal(err)
	}
	var versions []string
	for line := range strings.Lines(string(data)) {
		var logLine struct{ Msg, Model, Version, Status string }
		if json.Unmarshal([]byte(line), &logLine) != nil {
			continue // not a log line, such as a report of the race detector
		}
		if logLine.Msg == "placement command" && logLine.Model == placedModel && logLine.Status == "PLACE_STATUS_DONE" {
			versions = append(versions, logLine.Version)
		}
	}
	return versions
}

// platformFaults replaces the faults of the platform.
func platformFaults(t *testing.T, f *fleet.Fleet, faults any) {
	t.Helper()
	is.New(t).NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", faults))
}

// rules are faults of the platform, or one of its fault rules, as JSON.
type rules map[string]any

// Guards against a planner that is paused while it sends a command, and resumes
// after its lease has expired and its successor has loaded a newer version: the
// old version must not be loaded again, whether engines check fencing tokens or
// not. The delayed response of the weight store makes the pause fall between the
// offer and its confirmation. The test fails if both safeguards are missing: the
// lease check after Reserve in the planner, and the check of the deadline and of
// the highest token in the agent. The tests in virtual time require each of them.
func TestPlacementPausedPlanner(t *testing.T) {
	for name, flags := range map[string][]string{"tokens checked": {"--fencing-checked"}, "tokens ignored": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, f := startPlaced(t, fleet.Options{Entries: 2, Engines: 2, DataCentres: []string{"dc-1", "dc-2"},
				EngineFlags: append([]string{"--load-time=200ms"}, flags...), PlatformFlags: []string{"--weights-per-second=100"}})
			platformFaults(t, f, rules{"rules": []rules{{"operation": "weights", "latency_ms": 1500, "count": 1}}})
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { _, _ = caller(f, 0).Complete(ctx, placedRequest()) })
			group.Go(func() { _, _ = caller(f, 1).Complete(ctx, placedRequest()) })
			await(t, 10*time.Second, "a reserved load", func() bool { return weightCalls(t, f) > 0 })
			paused := leaseHolder(t, f)
			is.True(paused >= 0)
			is.NoErr(f.Entries[paused].Signal(syscall.SIGSTOP))
			other := f.Entries[1-paused]
			revision, err := f.ItemRevision(other, "model/"+placedModel)
			is.NoErr(err)
			_, err = f.Edit(other, fleet.Change{Key: "model/" + placedModel, Value: map[string]any{"version": "8"}, ExpectedRevision: revision})
			is.NoErr(err)
			await(t, 20*time.Second, "version 8", func() bool { return loadedOnEngines(f, 2, "8") })
			is.NoErr(f.Entries[paused].Signal(syscall.SIGCONT))
			time.Sleep(3 * time.Second)
			for _, d := range f.Agents {
				is.Equal(commandedVersions(t, f, d), []string{"8"}) // the resumed planner sends no command
			}
			is.True(loadedOnEngines(f, 2, "8"))
			a, err := caller(f, 1-paused).Complete(ctx, placedRequest())
			is.NoErr(err)
			is.Equal(a.Outcome, "completed")
		})
	}
}

// Guards against loads without a lease while the store is down, and against a
// request that fails because of the outage. In the second case only the lease
// keys are unavailable, so that the weight store would permit a load. The test
// fails without the wait for a load in the entry, or without both the lease in
// the planner and the token check in the agent.
func TestPlacementStoreDown(t *testing.T) {
	for name, faults := range map[string]rules{
		"whole platform": {"outage": "refuse"},
		"lease keys":     {"rules": []rules{{"fault": "refuse", "key_prefix": "placement/"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, f := startPlaced(t, fleet.Options{Entries: 2, Engines: 2, EngineFlags: []string{"--load-time=200ms"}, PlatformFlags: []string{"--weights-per-second=100"}})
			platformFaults(t, f, faults)
			type result struct {
				a   client.Answer
				err error
			}
			done := make(chan result, 1)
			go func() {
				a, err := caller(f, 0).Complete(ctx, placedRequest())
				done <- result{a, err}
			}()
			f.Agents[0].KillNow() // the restarted agent has not seen any token
			is.NoErr(f.StartDaemon(f.Agents[0]))
			time.Sleep(3 * time.Second)
			is.Equal(len(versionsOf(f)), 0)
			is.Equal(weightCalls(t, f), 0)
			platformFaults(t, f, rules{})
			got := <-done
			is.NoErr(got.err)
			is.Equal(got.a.Outcome, "completed")
			await(t, 20*time.Second, "two engines", func() bool { return loadedOnEngines(f, 2, "7") })
			is.Equal(weightCalls(t, f), 2)
			is.NoErr(f.Stop())
		})
	}
}

// Guards against a lease that its planner cannot use until it expires, because
// the response to the write was lost. It fails unless the planner reads the key
// back.
func TestPlacementLostAnswer(t *testing.T) {
	is := is.New(t)
	ctx, f := startPlaced(t, fleet.Options{Entries: 1, Engines: 2, EngineFlags: []string{"--load-time=200ms"}, PlatformFlags: []string{"--weights-per-second=100"}})
	platformFaults(t, f, rules{"rules": []rules{{"fault": "lose_answer", "operation": "put", "key_prefix": "placement/"}}})
	a, err := caller(f, 0).Complete(ctx, placedRequest())
	is.NoErr(err)
	is.Equal(a.Outcome, "completed")
	await(t, 10*time.Second, "two engines", func() bool { return loadedOnEngines(f, 2, "7") })
	time.Sleep(2 * placementLease)
	is.Equal(weightCalls(t, f), 2) // loads are not repeated
	is.NoErr(f.Stop())
}

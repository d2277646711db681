package e2e

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// placedModel is a model that no engine has at the start of a test.
const placedModel = "second"

// placementLease is short, so that a test can outlast it.
const placementLease = 2 * time.Second

// withPlacement switches placement on in all entries.
func withPlacement(s *settings.Settings) {
	if s.Entry != nil {
		s.Entry.Placement = &settings.Placement{LeaseMillis: int(placementLease / time.Millisecond), IntervalMillis: 100}
	}
}

// startPlaced starts a fleet with placement whose plan allows placedModel.
func startPlaced(t *testing.T, o fleet.Options) (context.Context, *fleet.Fleet) {
	t.Helper()
	o.Adjust = withPlacement
	ctx, f := start(t, o)
	allowPlaced(t, f)
	return ctx, f
}

func allowPlaced(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	is := is.New(t)
	revision, err := f.Item(f.Entries[0], "plan/standard")
	is.NoErr(err)
	_, err = f.Edit(f.Entries[0],
		fleet.Change{Key: "plan/standard", Value: map[string]any{"models": []string{"standin", placedModel}}, ExpectedRevision: revision},
		fleet.Change{Key: "model/standin", Value: map[string]any{}},
		fleet.Change{Key: "model/" + placedModel, Value: map[string]any{"version": "7"}})
	is.NoErr(err)
}

// weightCalls returns the calls of the weight store so far.
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

// Guards against a model in demand that stays without an engine, against
// repeated loads and loads beyond the weight store's limit, and against
// engines in one data centre only. Needs: the wait for a load in the entry,
// Reserve before the command, the overlay of sent commands.
func TestPlacementLoads(t *testing.T) {
	is := is.New(t)
	ctx, f := startPlaced(t, fleet.Options{Entries: 2, Engines: 4, DataCentres: []string{"dc-1", "dc-2"},
		EngineFlags: []string{"--load-time=500ms"}, PlatformFlags: []string{"--weights-per-second=0.5"}})
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			a, err := caller(f, i%2).Complete(ctx, placedRequest())
			if err != nil || a.Outcome != "completed" || a.Text != expected(prompt("placed", 500), 5) {
				t.Errorf("request %d: %v, outcome %q, code %q", i, err, a.Outcome, a.Code)
			}
		})
	}
	group.Wait()
	deadline := time.Now().Add(10 * time.Second)
	for len(versionsOf(f)) < 2 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // a repeated load would come now
	versions := versionsOf(f)
	is.Equal(len(versions), 2)
	for engine, version := range versions {
		is.Equal(version, "7")
		t.Logf("%s has version %s", engine, version)
	}
	is.True(versions["engine-1"] == "" || versions["engine-3"] == "") // both are in dc-1
	is.True(versions["engine-2"] == "" || versions["engine-4"] == "") // both are in dc-2
	is.Equal(weightCalls(t, f)-limited(t, f), 2)
	is.NoErr(f.Stop())
}

// limited returns the calls that exceeded a rate limit of the platform.
func limited(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	var stats struct {
		RateLimited int `json:"rate_limited"`
	}
	is.New(t).NoErr(f.Stats(f.Platform, "/stats", &stats))
	return stats.RateLimited
}

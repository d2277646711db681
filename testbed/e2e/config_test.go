package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// inForceTimeout is the time within which an accepted edit must be in force on all
// processes (guarantee 8 in docs/GUARANTEES.md).
const inForceTimeout = 5 * time.Second

// confirmations is the response of /admin/v1/confirmations.
type confirmations struct {
	Confirmed, Total int
	Missing          []struct {
		VM string `json:"vm"`
	}
}

func confirmationsOf(t *testing.T, f *fleet.Fleet, entry int, revision uint64) confirmations {
	t.Helper()
	var c confirmations
	data, err := f.Admin(f.Entries[entry], http.MethodGet, "/admin/v1/confirmations?revision="+jsonNumber(revision), nil)
	if err != nil || json.Unmarshal(data, &c) != nil {
		t.Fatalf("read confirmations: %v", err)
	}
	return c
}

// awaitInForce waits until a revision is in force on all processes.
func awaitInForce(t *testing.T, f *fleet.Fleet, entry int, revision uint64) {
	t.Helper()
	await(t, inForceTimeout, fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
		c := confirmationsOf(t, f, entry, revision)
		return c.Total == len(f.VMs()) && c.Confirmed == c.Total
	})
}

// watchReverts polls the configuration of all entries until stop is called, and
// fails the test if one reports an older revision than before.
func watchReverts(t *testing.T, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		polls, reverts := history.WatchReverts(ctx, f)
		t.Logf("%d polls, %d reverts", polls, len(reverts))
		for _, err := range reverts {
			t.Error(err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// report logs the summary of a check and fails the test on violations.
func report(t *testing.T, check func() (string, []error)) {
	t.Helper()
	summary, violations := check()
	t.Log(summary)
	for _, err := range violations {
		t.Error(err)
	}
}

// Guards against edits that overwrite each other, accepted edits that are lost,
// refused edits that take effect, and processes that revert to an older
// revision, when operators race on two entries while the store and an entry's
// connection to it fail.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Proxies: true})
	stopWatch := watchReverts(t, f)
	edits := history.NewEdits(f)
	loadCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for operator := range 6 {
		group.Go(func() { edits.SendContinuously(loadCtx, uint64(operator), 0) })
	}
	time.Sleep(time.Second) // edits without faults
	is.NoErr(storeRules(f, object{"fault": "lose_answer", "operation": "put", "key_prefix": "config/", "probability": 0.4}))
	time.Sleep(2 * time.Second)
	is.NoErr(storeRules(f, object{"fault": "hold", "operation": "put", "key_prefix": "config/", "probability": 0.2}))
	is.NoErr(repeatedly(300*time.Millisecond, func(int) error { return f.Faults(f.Platform, http.MethodPost, "/faults/release", nil) }))
	is.NoErr(endStoreFaults(f))
	is.NoErr(f.Entries[1].Store.Cut()) // its edits are refused, and it gets the configuration from its peer
	time.Sleep(2 * time.Second)
	is.NoErr(f.EndProxyFaults())
	is.NoErr(repeatedly(200*time.Millisecond, func(i int) error {
		return f.Faults(f.Platform, http.MethodPut, "/faults", object{"outage": []string{"refuse", ""}[i%2]})
	}))
	is.NoErr(endStoreFaults(f))
	time.Sleep(time.Second)
	stop()
	group.Wait()
	report(t, edits.Check)
	stopWatch()
	is.NoErr(f.Stop())
}

// Guards against accepted edits that are lost, and against processes that revert
// to an older revision, when the store is restored from an older copy, also while
// one entry cannot reach the store.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Orders: 1, Proxies: true})
	stopWatch := watchReverts(t, f)
	random := rand.New(rand.NewPCG(9, 9))
	edits := history.NewEdits(f)
	editAll := func() {
		for i := range 5 {
			edits.Edit(random, fmt.Sprintf("client/kept-%d", i))
		}
	}
	editAll()
	for round := range 3 {
		is.NoErr(f.Faults(f.Platform, http.MethodPost, "/faults/copy", nil))
		editAll()
		if round == 1 {
			is.NoErr(f.Entries[0].Store.Cut())
		}
		is.NoErr(f.Faults(f.Platform, http.MethodPost, "/faults/restore", nil))
		if round == 2 {
			is.NoErr(restart(f, f.Entries[1])) // reads the older copy unless a peer answers first
			is.NoErr(f.AwaitReady(ctx, f.Entries[1]))
		}
		restored := time.Now()
		var revision uint64
		await(t, inForceTimeout+5*time.Second, "an edit is accepted after the restore", func() bool {
			var err error
			revision, err = f.Edit(f.Entries[1], fleet.Change{Key: fmt.Sprintf("mark/none-%d", round), Value: object{"state": "leaving"}})
			return err == nil
		})
		t.Logf("round %d: an edit was accepted %v after the restore", round, time.Since(restored).Round(time.Millisecond))
		awaitInForce(t, f, 1, revision)
		endNetworkFaults(ctx, t, f)
		time.Sleep(time.Second) // the watcher of an entry that was cut off reads the store
	}
	report(t, edits.Check)
	stopWatch()
	is.NoErr(f.Stop())
}

// Guards against an edit that is reported as in force on a process where it is
// not, or that reaches an entry cut off from the store too late, and against new
// work for an agent that is marked as leaving while it is cut off from the store.
func TestInForceUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, Orders: 1, Proxies: true})
	paused := f.Agents[1]
	is.NoErr(paused.Signal(syscall.SIGSTOP))
	is.NoErr(f.Entries[1].Store.Cut())
	revision, err := f.Edit(f.Entries[0], fleet.Change{Key: "mark/none", Value: object{"state": "leaving"}})
	is.NoErr(err)
	started := time.Now()
	for entry := range f.Entries {
		await(t, inForceTimeout, "all but the paused process confirmed", func() bool {
			c := confirmationsOf(t, f, entry, revision)
			is.True(c.Confirmed < len(f.VMs())) // the paused process cannot have confirmed
			return c.Total == len(f.VMs()) && len(c.Missing) == 1 && c.Missing[0].VM == paused.Settings.VM
		})
	}
	t.Logf("in force on all but the paused process after %v", time.Since(started).Round(time.Millisecond))
	is.NoErr(paused.Signal(syscall.SIGCONT))
	awaitInForce(t, f, 1, revision)

	leaving := f.Agents[0]
	is.NoErr(leaving.Store.Cut())
	_, err = f.Edit(f.Entries[0], fleet.Change{Key: "mark/" + leaving.Settings.VM, Value: object{"state": "leaving"}})
	is.NoErr(err)
	time.Sleep(3 * time.Second) // by then a leaving server gets no new work (guarantee 6)
	for i := range 40 {
		a, err := caller(f, i%2).Complete(ctx, client.Request{Model: "standin", Prompt: prompt(fmt.Sprint("mark", i), 200), MaxTokens: 2, Stream: true})
		is.NoErr(err)
		is.Equal(a.Outcome, "completed")
		is.True(!strings.HasPrefix(a.LastEventID, leaving.Settings.VM+"/"))
	}
	is.NoErr(f.Stop())
}

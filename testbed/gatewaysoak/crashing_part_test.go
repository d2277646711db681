package gatewaysoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/platform/fleetsim"
)

// The load of TestPartThatCrashesServers.
const (
	crashGateways = 4
	crashEngines  = 16
	// crashedTime is how long a crashed engine takes to come back under a new ID.
	crashedTime = 2 * time.Second
	// soundInterval and badInterval are the times between two sound requests and
	// between two with the crashing part.
	soundInterval = 50 * time.Millisecond
	badInterval   = 100 * time.Millisecond
	crashLoadTime = 14 * time.Second
	// testBadPart is the part on which engines crash.
	testBadPart = "bad0"
)

// crashFleet is a fleet of gateways as processes and of engines in this process that
// crash on a part of a prompt.
type crashFleet struct {
	*run
	t          *testing.T
	chance     float64 // share of sound requests on which an engine crashes
	unregister bool    // the registration of an engine is removed as it crashes
	// soundParts returns the shared parts of a sound prompt; nil for three that all have.
	soundParts func() []string
	background sync.WaitGroup
	// crashesOn reports whether an engine crashes on a request.
	crashesOn func(fleetsim.Run) bool

	mu      sync.Mutex
	engines int // number of starts
	// sent and served count the sound requests by the second in which they were sent.
	sent, served map[int]int
	begun        time.Time
	stopped      bool
}

func newCrashFleet(t *testing.T, bin string, chance float64) *crashFleet {
	t.Helper()
	return newCrashFleetOf(t, bin, chance, nil)
}

// newCrashFleetOf returns a fleet whose engines crash as crashesOn says; nil for
// crashFleet.crashOn.
func newCrashFleetOf(t *testing.T, bin string, chance float64, crashesOn func(fleetsim.Run) bool) *crashFleet {
	t.Helper()
	is := is.New(t)
	f := &crashFleet{t: t, chance: chance, crashesOn: crashesOn, sent: map[int]int{}, served: map[int]int{}}
	f.run = newTestRun(t, bin)
	if f.crashesOn == nil {
		f.crashesOn = f.crashOn
	}
	for range crashEngines {
		f.startEngine()
	}
	route := fleetsim.Route{Name: "stream", Host: host, Prefix: "/stream/", Service: streamService, Kind: fleetsim.Streaming, Timeout: routeTimeout,
		LatencyTarget: latencyTarget, EventGap: eventGapLimit, MaxServers: 2}
	is.NoErr(f.store.Configure(fleetsim.Configuration{Version: 1, Routes: []fleetsim.Route{route}, Engines: []string{streamService},
		Accounts: []fleetsim.Account{{Name: account, Keys: []string{apiKey}}}}))
	t.Cleanup(f.printLogs)
	f.startGateways(t, crashGateways)
	return f
}

// printLogs prints the lines of the gateways' logs on quarantined parts and the last lines
// of each log if the test has failed.
func (f *crashFleet) printLogs() {
	if !f.t.Failed() {
		return
	}
	const lastBytes = 4000
	for i := range crashGateways {
		name := fmt.Sprintf("gateway-%d", i)
		data, err := os.ReadFile(f.fleet.LogFile(name))
		if err != nil {
			f.t.Log(err)
			continue
		}
		f.t.Logf("log of %s on quarantined parts:\n%s", name, quarantineLines(string(data)))
		f.t.Logf("end of the log of %s:\n%s", name, data[max(0, len(data)-lastBytes):])
	}
}

// quarantineLines returns the lines of a log on verdicts and trials, without those of single
// requests.
func quarantineLines(log string) string {
	var b strings.Builder
	for line := range strings.Lines(log) {
		if strings.Contains(line, "quarantined") && !strings.Contains(line, `"msg":"request `) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// startEngine starts and registers an engine under a new ID.
func (f *crashFleet) startEngine() {
	f.mu.Lock()
	f.engines++
	id := fmt.Sprintf("engine-%d", f.engines)
	f.mu.Unlock()
	engine := &fleetsim.Server{ID: id, Service: streamService, Events: streamEvents, EventInterval: eventPause,
		RunTime: func() time.Duration { return 20 * time.Millisecond }, CrashOn: f.crashesOn, OnRun: func(fleetsim.Run) {}}
	engine.OnCrash = func(r fleetsim.Run) { f.replace(engine, r) }
	if err := engine.Start(); err != nil {
		f.t.Error(err)
		return
	}
	f.t.Cleanup(engine.Crash)
	if err := f.store.Register(engine, engine.Address(), dataCentre, fleetsim.Live); err != nil {
		f.t.Error(err)
	}
}

func (f *crashFleet) crashOn(r fleetsim.Run) bool {
	return f.crashing.crashesOn(r) || rand.Float64() < f.chance
}

// replace starts another engine in place of one that has crashed under a request. The store
// lists the old one until then, as on the platform, unless unregister is set.
func (f *crashFleet) replace(old *fleetsim.Server, r fleetsim.Run) {
	if slices.Contains(r.SharedParts, testBadPart) {
		f.crashing.recordCrash()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	if f.unregister {
		f.store.Unregister(old)
	}
	f.background.Go(func() {
		time.Sleep(crashedTime)
		f.store.Unregister(old)
		f.startEngine()
	})
}

// send sends one request with the parts, and a last part of its own, to a random gateway.
// It returns the status, or 0 without a complete answer.
func (f *crashFleet) send(id string, parts ...string) int {
	call := fleetsim.Call{Method: http.MethodPost, Target: "/stream/" + id, Host: host, ID: id, Key: apiKey, TimeLeft: requestTimeout,
		PromptTokens: 1000, AnswerTokens: 100, Parts: append(parts, fmt.Sprintf("%x", rand.Uint64())), Body: id}
	response := sendOnce(f.gateways[rand.IntN(len(f.gateways))], &call)
	if response == nil {
		return 0 // also of a gateway that is being started
	}
	return response.StatusCode
}

// load sends sound requests, and bad ones whose crashing part is at the given position of
// the shared parts (negative for none), until crashLoadTime has passed. midway is called
// in the middle.
func (f *crashFleet) load(position int, midway func()) {
	f.begun = time.Now()
	f.crashing.set(testBadPart)
	var group sync.WaitGroup
	repeat := func(interval time.Duration, send func(n int)) {
		group.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; time.Since(f.begun) < crashLoadTime; n++ {
				<-ticker.C
				group.Go(func() { send(n) })
			}
		})
	}
	parts := f.soundParts
	if parts == nil {
		parts = func() []string { return []string{"a0", "b0", "c0"} }
	}
	repeat(soundInterval, func(n int) { f.sendSound(n, parts()) })
	if position >= 0 {
		repeat(badInterval, func(n int) {
			bad := parts()
			bad[position] = testBadPart
			if status := f.send(fmt.Sprintf("bad-%d", n), bad...); status == http.StatusOK {
				f.t.Error("a request with the crashing part was answered 200")
			}
		})
	}
	group.Go(func() {
		time.Sleep(crashLoadTime / 2)
		midway()
	})
	group.Wait()
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	f.background.Wait()
}

func (f *crashFleet) sendSound(n int, parts []string) {
	second := int(time.Since(f.begun).Seconds())
	status := f.send(fmt.Sprintf("sound-%d", n), parts...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[second]++
	if status == http.StatusOK {
		f.served[second]++
	}
}

// soundShare returns the share of the sound requests that were served among those sent
// later than soundSettleTime after the crash number crashesAllowed on the part, after the
// last one if there were fewer, or after the begin.
func (f *crashFleet) soundShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := f.begun
	if n := len(f.crashing.crashes); n > 0 {
		from = f.crashing.crashes[min(n, crashesAllowed)-1]
	}
	first := int(from.Add(soundSettleTime).Sub(f.begun).Seconds()) + 1
	sent, served := 0, 0
	for second, n := range f.sent {
		if second >= first {
			sent += n
			served += f.served[second]
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// Guards against requests with a part of their prompts that crashes servers going on to
// reach servers, on any gateway, also one that starts later, and against sound requests
// being refused that share their account and all other parts with them.
func TestPartThatCrashesServers(t *testing.T) {
	bin := binaries(t)
	for _, c := range []struct {
		name     string // part of a path that GORACE lists, which a comma would end
		position int
		chance   float64 // share of sound requests on which an engine crashes
		restart  bool    // a gateway is killed and started again midway
		minShare float64 // of the sound requests that must be served
		// unregister is set if the registration of an engine is removed as it crashes.
		unregister bool
	}{
		{"first part", 0, 0, false, 0.9, false},
		{"second part while a gateway starts midway", 1, 0, true, 0.9, false},
		{"third part of engines that are unregistered at once", 2, 0, false, 0.9, true},
		{"second part while engines also crash by chance", 1, 1.0 / 60, false, 0.8, false},
		{"no part while engines crash by chance", -1, 1.0 / 60, false, 0.8, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashFleet(t, bin, c.chance)
			f.unregister = c.unregister
			f.load(c.position, func() {
				if !c.restart {
					return
				}
				if err := f.gateways[0].restart(syscall.SIGKILL); err != nil {
					t.Error(err)
				}
			})
			after, share := f.crashing.lateArrivals(), f.soundShare()
			t.Logf("%d crashes on the part, %d requests with it sent later than %v after crash %d, %.2f of the sound requests served",
				len(f.crashing.crashes), after, contactTime, crashesAllowed, share)
			if after > sendsAllowed {
				t.Errorf("%d requests with the part reached engines, want at most %d", after, sendsAllowed)
			}
			if share < c.minShare {
				t.Errorf("%.2f of the sound requests were served, want at least %.2f", share, c.minShare)
			}
			for _, err := range append(f.fleet.Races(), f.report.Violations...) {
				t.Error(err)
			}
		})
	}
}

// Guards against a part that crashes servers never being found because it is one of many
// parts of its prompts: behind more others than are looked at, first or among them, with
// others that sound prompts share and with others that are new each time.
func TestPartAmongManyThatCrashesServers(t *testing.T) {
	bin := binaries(t)
	for _, c := range []struct {
		name            string
		parts, position int
		own             bool // the other parts are new each time
	}{
		{"behind 70 others", 71, 70, false},
		{"among 700 others", 701, 350, false},
		{"before 700 others", 701, 0, false},
		{"behind 700 others that are new each time", 701, 700, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashFleet(t, bin, 0)
			f.soundParts = func() []string {
				var parts []string
				for i := range c.parts {
					id := fmt.Sprintf("5%07x", i)
					if c.own {
						id = fmt.Sprintf("%08x", rand.Uint32())
					}
					parts = append(parts, id)
				}
				return parts
			}
			f.load(c.position, func() {})
			after, share := f.crashing.lateArrivals(), f.soundShare()
			t.Logf("%d crashes on the part, %d late requests, %.2f of the sound requests served", len(f.crashing.crashes), after, share)
			if after > sendsAllowed {
				t.Errorf("%d requests with the part reached engines, want at most %d", after, sendsAllowed)
			}
			if share < 0.9 {
				t.Errorf("%.2f of the sound requests were served, want at least 0.9", share)
			}
			for _, err := range append(f.fleet.Races(), f.report.Violations...) {
				t.Error(err)
			}
		})
	}
}

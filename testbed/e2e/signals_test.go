package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// Guards against a repeated SIGTERM that cuts the requests in flight at an entry or
// an agent.
func TestRepeatedSIGTERM(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1})
	text := prompt("repeated stop", 200)
	answer, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: text, MaxTokens: 300, Stream: true}, 5, func(client.Answer) {
		for range 3 {
			is.NoErr(f.Entries[0].Signal(syscall.SIGTERM))
			is.NoErr(f.Agents[0].Signal(syscall.SIGTERM))
			time.Sleep(50 * time.Millisecond) // equal signals that are pending together arrive as one
		}
	})
	is.NoErr(err)
	is.Equal(answer.Outcome, "completed")
	is.Equal(answer.Text, expected(text, 300))
	is.NoErr(f.Entries[0].Terminate())
	is.NoErr(f.Agents[0].Terminate())
}

// Guards against an operator who cannot end a drain: the second SIGINT aborts what
// is in flight.
func TestSecondSIGINT(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1})
	var interrupted time.Time
	answer, err := duringAnswer(ctx, f, 0, client.Request{Model: "standin", Prompt: prompt("abort", 200), MaxTokens: 4000, Stream: true}, 5, func(client.Answer) {
		is.NoErr(f.Entries[0].Signal(syscall.SIGTERM))
		is.NoErr(f.Entries[0].Signal(syscall.SIGINT))
		time.Sleep(50 * time.Millisecond)
		interrupted = time.Now()
		is.NoErr(f.Entries[0].Signal(syscall.SIGINT))
	})
	is.True(err != nil || answer.Outcome != "completed")
	select {
	case <-f.Entries[0].Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the entry did not exit")
	}
	t.Log("exited after", time.Since(interrupted))
}

const (
	gatewayHost, gatewayKey = "signals.example", "key"
	gatewayGrace            = 8 * time.Second
	gatewayRouteTimeout     = 5 * time.Second
	gatewayEvents           = 20
	gatewayEventInterval    = 100 * time.Millisecond
)

// gatewayFleet is one gateway process with its store and one server of streams.
type gatewayFleet struct {
	t        *testing.T
	fleet    *fleet.Fleet
	store    *fleetsim.Store
	server   *fleetsim.Server
	settings *settings.Settings
	file     string // name of the settings file
	process  *fleet.Process
	version  int64 // of the configuration
}

// newGatewayFleet returns a fleet whose gateway process is not started yet.
func newGatewayFleet(t *testing.T) *gatewayFleet {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	f, err := fleet.Empty(fleet.Options{Bin: binaries, Dir: dir})
	is.NoErr(err)
	g := &gatewayFleet{t: t, fleet: f, store: fleetsim.NewStore(), file: filepath.Join(dir, "gateway.json")}
	store := httptest.NewServer(g.store)
	g.server = &fleetsim.Server{ID: "server-1", Service: "streams", Events: gatewayEvents, EventInterval: gatewayEventInterval, OnRun: func(fleetsim.Run) {}}
	is.NoErr(g.server.Start())
	g.register(fleetsim.Live)
	g.configure("stream")
	g.settings = &settings.Settings{VM: "gateway-1", Role: settings.RoleGateway, DataCentre: "dc-1", ControlAddress: f.ReserveAddress(), OpsAddress: f.ReserveAddress(),
		InsecurePlaintext: true, Platform: settings.Platform{URL: store.URL},
		Gateway: &settings.Gateway{CallersAddress: f.ReserveAddress(), MemoryMB: 256, RetryRatio: 0.2, RetryExtra: 100, RetryWindowSeconds: 10, GraceSeconds: gatewayGrace.Seconds()}}
	g.writeSettings(g.settings)
	t.Cleanup(func() {
		f.Kill()
		reportRaces(t, f)
		g.server.Crash()
		_ = store.Listener.Close() // Close would wait for the calls that an unresponsive store holds
		if t.Failed() {
			printLogs(t, dir)
		}
	})
	return g
}

func (g *gatewayFleet) register(state fleetsim.State) {
	g.t.Helper()
	if err := g.store.Register(g.server, g.server.Address(), "dc-1", state); err != nil {
		g.t.Fatal(err)
	}
}

// configure writes the next version of the configuration, which has one route.
func (g *gatewayFleet) configure(route string) {
	g.t.Helper()
	g.version++
	err := g.store.Configure(fleetsim.Configuration{Version: g.version, Engines: []string{g.server.Service}, Accounts: []fleetsim.Account{{Name: "account", Keys: []string{gatewayKey}}},
		Routes: []fleetsim.Route{{Name: route, Host: gatewayHost, Prefix: "/" + route + "/", Service: g.server.Service, Kind: fleetsim.Streaming, Timeout: gatewayRouteTimeout,
			LatencyTarget: 300 * time.Millisecond, EventGap: 250 * time.Millisecond, MaxServers: 2}}})
	if err != nil {
		g.t.Fatal(err)
	}
}

// writeSettings replaces the settings file atomically.
func (g *gatewayFleet) writeSettings(s *settings.Settings) {
	g.t.Helper()
	data, err := json.Marshal(s)
	if err == nil {
		err = os.WriteFile(g.file+".new", data, 0o600)
	}
	if err == nil {
		err = os.Rename(g.file+".new", g.file)
	}
	if err != nil {
		g.t.Fatal(err)
	}
}

func (g *gatewayFleet) start() {
	g.t.Helper()
	p, err := g.fleet.StartProcess("camphorwick", "gateway-1", []string{"run", "--settings", g.file})
	if err != nil {
		g.t.Fatal(err)
	}
	g.process = p
}

func (g *gatewayFleet) awaitReady() {
	g.t.Helper()
	await(g.t, 20*time.Second, "the gateway is ready", func() bool {
		response, err := http.Get("http://" + g.settings.OpsAddress + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (g *gatewayFleet) signal(list ...syscall.Signal) {
	g.t.Helper()
	for _, s := range list {
		if err := g.process.Signal(s); err != nil {
			g.t.Fatalf("signal %v: %v", s, err)
		}
		time.Sleep(50 * time.Millisecond) // equal signals that are pending together arrive as one
	}
}

// awaitExit waits until the process has exited with status 0.
func (g *gatewayFleet) awaitExit(limit time.Duration) {
	g.t.Helper()
	select {
	case <-g.process.Done():
		if err := g.process.Err(); err != nil {
			g.t.Fatalf("the gateway ended with an error: %v", err)
		}
	case <-time.After(limit):
		g.t.Fatalf("the gateway did not exit within %v", limit)
	}
}

// stream sends one stream, calls during when its answer has begun, and checks
// that the answer is complete.
func (g *gatewayFleet) stream(during func()) {
	g.t.Helper()
	c, err := net.Dial("tcp", g.settings.Gateway.CallersAddress)
	if err != nil {
		g.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * gatewayRouteTimeout))
	call := fleetsim.Call{Method: http.MethodPost, Target: "/stream/1", Host: gatewayHost, ID: "r1", Key: gatewayKey, TimeLeft: gatewayRouteTimeout,
		PromptTokens: 100, AnswerTokens: gatewayEvents, Body: "prompt"}
	if _, err := io.WriteString(c, call.Text()); err != nil {
		g.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: call.Method})
	if err != nil {
		g.t.Fatalf("no answer: %v", err)
	}
	during()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || strings.Count(string(body), "data:") != gatewayEvents {
		g.t.Fatalf("incomplete answer: status %d, %d events, error %v", response.StatusCode, strings.Count(string(body), "data:"), err)
	}
}

// Guards against repeated signals that cut the requests in flight at a gateway:
// stops and reloads of one VM may overlap.
func TestRepeatedSignalsAtGateway(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":              {syscall.SIGTERM, syscall.SIGTERM},
		"SIGTERM five times":         {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM},
		"SIGTERM and SIGINT":         {syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM},
		"SIGHUP and SIGTERM":         {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
		"SIGHUP without other stops": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayFleet(t)
			g.start()
			g.awaitReady()
			g.stream(func() { g.signal(signals...) })
			g.awaitExit(gatewayGrace)
		})
	}
}

// Guards against a gateway that ignores, or is terminated by, signals that arrive
// before its ports are open.
func TestSignalsAtGatewayStart(t *testing.T) {
	is := is.New(t)
	g := newGatewayFleet(t)
	g.store.SetMode(fleetsim.Unresponsive) // no configuration can be read
	g.start()
	log := g.fleet.LogFile("gateway-1")
	await(t, 10*time.Second, "the gateway logs", func() bool {
		info, err := os.Stat(log)
		return err == nil && info.Size() > 0
	})
	g.signal(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	g.awaitExit(gatewayGrace)
	data, err := os.ReadFile(log)
	is.NoErr(err)
	is.True(strings.Contains(string(data), `"daemon stopped"`))
}

// Guards against a stop that cuts requests or does not end while the store is
// away.
func TestGatewayStopsWithoutStore(t *testing.T) {
	for _, mode := range []fleetsim.Mode{fleetsim.Busy, fleetsim.Reset, fleetsim.Unresponsive} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			g := newGatewayFleet(t)
			g.start()
			g.awaitReady()
			g.stream(func() {
				g.store.SetMode(mode)
				g.signal(syscall.SIGTERM)
			})
			g.awaitExit(gatewayGrace)
		})
	}
}

// Guards against requests that end with the route, the key or the server that they
// were admitted under.
func TestChangesDuringAnswerOfGateway(t *testing.T) {
	changes := map[string]func(g *gatewayFleet){
		"route removed":  func(g *gatewayFleet) { g.configure("other") },
		"server drained": func(g *gatewayFleet) { g.register(fleetsim.Draining) },
		"server removed": func(g *gatewayFleet) { g.store.Unregister(g.server) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayFleet(t)
			g.start()
			g.awaitReady()
			g.stream(func() { change(g) })
		})
	}
}

// Guards against a process that ends because its settings file was replaced by one
// of another role.
func TestSettingsOfAnotherRoleAtGateway(t *testing.T) {
	g := newGatewayFleet(t)
	g.start()
	g.awaitReady()
	other := *g.settings
	other.Role, other.Gateway = settings.RoleAgent, nil
	other.Agent = &settings.Agent{Service: &settings.Service{Name: "orders", URL: "http://127.0.0.1:1"}}
	other.LogLevel, other.DrainLimitSeconds = "info", 1
	other.Agent.OrphanGraceMillis = 1
	g.stream(func() {
		g.writeSettings(&other)
		g.signal(syscall.SIGHUP)
	})
	g.signal(syscall.SIGTERM)
	g.awaitExit(gatewayGrace)
}

// Guards against a process that SIGPIPE terminates because the reader of its log
// has ended, for instance while the platform replaces its log collector.
func TestLogReaderEnds(t *testing.T) {
	is := is.New(t)
	g := newGatewayFleet(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	cmd := exec.Command(filepath.Join(binaries, "camphorwick"), "run", "--settings", g.file)
	cmd.Stdout = writer
	is.NoErr(cmd.Start())
	is.NoErr(writer.Close())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	g.awaitReady()
	g.stream(func() {
		is.NoErr(reader.Close())
		is.NoErr(cmd.Process.Signal(syscall.SIGHUP)) // is logged
	})
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		is.NoErr(err)
	case <-time.After(gatewayGrace):
		t.Fatal("the gateway did not exit")
	}
}

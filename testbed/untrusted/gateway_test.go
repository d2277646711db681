// Package untrusted tests real processes under clients that do not keep within the limits of
// the users' pages, or that keep within them only to hold as much as they can. The tests
// check that the process lives, that its memory and descriptors stay under a bound, and that
// an ordinary request is answered while the crowd stays connected. They depend on no time and
// run one after the other, apart from other tests (.ci/test), with binaries without the race
// detector, which needs several times the memory.
package untrusted

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/fleet"
)

// The machine of the tests. The users' smallest ones have 136 MB and 2,870 descriptors.
const (
	memoryMB = 64
	maxFiles = 700
)

// The crowd. A body of largeBody is the largest that the configuration allows.
const (
	crowdSize = 800 // more than the machine has descriptors
	largeBody = 1 << 20
	smallBody = 32 << 10
	// longHead is within what the gateway's HTTP server accepts of a head.
	longHead = 60 << 10
)

// routeTimeout is longer than a test, so that the held requests end by no time limit.
const routeTimeout = 2 * time.Minute

// answerLimit is when a test gives up waiting for the answer to an ordinary request. It only
// ends a test that fails.
const answerLimit = 40 * time.Second

var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the binaries.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "camphorwick-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "work")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	limitFiles(filepath.Join(dir, "camphorwick"))
	binaries = dir
	return m.Run()
}

// limitFiles puts a script in the place of a program that limits its descriptors.
func limitFiles(program string) {
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec \"$0.program\" \"$@\"\n", maxFiles)
	if err := os.Rename(program, program+".program"); err != nil {
		panic(err)
	}
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		panic(err)
	}
}

// gateway is a gateway process with stand-ins for the platform and one server of each kind.
type gateway struct {
	t       *testing.T
	process *fleet.Process
	address string // of the callers' API
}

// endlessEvents is the number of events of the streams of the route "endless", more than the
// kernel's buffers hold.
const endlessEvents = 400_000

const (
	host   = "shop.example"
	apiKey = "key-1"
)

func startGateway(t *testing.T) *gateway {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	f, err := fleet.Empty(fleet.Options{Bin: binaries, Dir: dir})
	is.NoErr(err)
	store := fleetsim.NewStore()
	storeServer := httptest.NewServer(store)
	g := &gateway{t: t, address: f.ReserveAddress()}
	startServer(t, store, "streams", 5)
	startServer(t, store, "orders", 0)
	startServer(t, store, "endless", endlessEvents)
	route := func(name, service string, kind fleetsim.RouteKind) fleetsim.Route {
		return fleetsim.Route{Name: name, Host: host, Prefix: "/" + name + "/", Service: service, Kind: kind, Timeout: routeTimeout,
			LatencyTarget: 2 * time.Second, EventGap: time.Second, MaxServers: 2}
	}
	is.NoErr(store.Configure(fleetsim.Configuration{Version: 1, Engines: []string{"streams"}, Plain: []string{"orders", "endless"}, MaxBodyBytes: largeBody,
		HeaderTimeout: routeTimeout, IdleTimeout: routeTimeout, Accounts: []fleetsim.Account{{Name: "account", Keys: []string{apiKey}}},
		Routes: []fleetsim.Route{route("order", "orders", fleetsim.NonIdempotent), route("stream", "streams", fleetsim.Streaming),
			route("endless", "endless", fleetsim.Streaming)}}))
	s := &settings.Settings{VM: "gateway-1", Role: settings.RoleGateway, DataCentre: "dc-1", ControlAddress: f.ReserveAddress(), OpsAddress: f.ReserveAddress(),
		InsecurePlaintext: true, Platform: settings.Platform{URL: storeServer.URL},
		Gateway: &settings.Gateway{CallersAddress: g.address, MemoryMB: memoryMB, RetryRatio: 0.2, RetryExtra: 100, RetryWindowSeconds: 10, GraceSeconds: 8}}
	data, err := json.Marshal(s)
	is.NoErr(err)
	file := filepath.Join(dir, "gateway.json")
	is.NoErr(os.WriteFile(file, data, 0o600))
	g.process, err = f.StartProcess("camphorwick", "gateway-1", []string{"run", "--settings", file}, "GOGC=200") // as in deploy/system.toml
	is.NoErr(err)
	t.Cleanup(func() {
		f.Kill()
		if t.Failed() {
			printLog(t, f.LogFile("gateway-1"))
		}
		_ = storeServer.Listener.Close()
	})
	awaitReady(t, s.OpsAddress)
	return g
}

// startServer starts a server of a service, whose streams have so many events.
func startServer(t *testing.T, store *fleetsim.Store, service string, events int) {
	t.Helper()
	s := &fleetsim.Server{ID: "server-of-" + service, Service: service, Events: events, OnRun: func(fleetsim.Run) {}}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	if err := store.Register(s, s.Address(), "dc-1", fleetsim.Live); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
}

func awaitReady(t *testing.T, opsAddress string) {
	t.Helper()
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + opsAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the process is not ready")
}

// head returns the head of a request of the crowd with an ID of its own.
func head(n int, path, headers string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Ms: %d\r\n%s\r\n", path, host, apiKey, n, routeTimeout.Milliseconds(), headers)
}

// connect opens the connections of a crowd, at most a few at a time, and calls send for each
// one. The connections stay open until the test ends. Errors are allowed: a process may
// refuse a client or close its connection.
func connect(t *testing.T, address string, size int, send func(n int, c net.Conn)) {
	t.Helper()
	const atOnce = 64
	var mu sync.Mutex
	var all []net.Conn
	t.Cleanup(func() {
		for _, c := range all {
			_ = c.Close()
		}
	})
	var group sync.WaitGroup
	turns := make(chan struct{}, atOnce)
	for n := range size {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second)) // of a process that reads no more
			send(n, c)
		})
	}
	group.Wait()
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// checkOrdinary sends ordinary requests until one of each kind is answered by its server, and
// then checks the bounds of the process. A refusal is allowed meanwhile.
func (g *gateway) checkOrdinary() {
	g.t.Helper()
	for _, path := range []string{"/order/ordinary", "/stream/ordinary"} {
		deadline := time.Now().Add(answerLimit)
		for n := 0; !g.isServed(path, n); n++ {
			if time.Now().After(deadline) {
				g.t.Fatalf("no ordinary request to %s was answered", path)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	checkProcess(g.t, g.process, memoryMB)
}

// isServed sends one request with a usual body and reports whether its answer is complete.
func (g *gateway) isServed(path string, n int) bool {
	c, err := net.DialTimeout("tcp", g.address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	const body = 1200
	if !write(c, head(1_000_000+n, path, fmt.Sprintf("X-Token-Usage: 100,10\r\nX-Model: m\r\nContent-Length: %d\r\n", body))+strings.Repeat("o", body)) {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// Guards against a process that ends, or serves nobody else, because of many bodies of legal
// size that stop just short of their ends and stay open: they are held until their time is
// over, and so are their connections.
func TestBodiesThatStopShort(t *testing.T) {
	for name, tc := range map[string]struct {
		size   int
		pieces int
	}{
		"large, whole":     {largeBody, 1},
		"large, in pieces": {largeBody, 16},
		"small, whole":     {smallBody, 1},
		"small, in pieces": {smallBody, 8},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			piece := strings.Repeat("x", tc.size/tc.pieces)
			connect(t, g.address, crowdSize, func(n int, c net.Conn) {
				ok := write(c, head(n, "/order/held", fmt.Sprintf("Content-Length: %d\r\n", tc.size)))
				for range tc.pieces - 1 {
					ok = ok && write(c, piece)
				}
				if ok {
					write(c, piece[1:])
				}
			})
			g.checkOrdinary()
		})
	}
}

// Guards against the same with bodies in chunks, whose length is not known before their end,
// in large chunks and in chunks of one byte.
func TestChunkedBodiesThatStopShort(t *testing.T) {
	for name, tc := range map[string]struct{ size, chunk int }{
		"large chunks": {largeBody, 128 << 10},
		"one byte":     {smallBody, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			chunk := fmt.Sprintf("%x\r\n%s\r\n", tc.chunk, strings.Repeat("x", tc.chunk))
			batch := strings.Repeat(chunk, max(1, 4096/tc.chunk))
			connect(t, g.address, crowdSize, func(n int, c net.Conn) {
				ok := write(c, head(n, "/order/held", "Transfer-Encoding: chunked\r\n"))
				for sent := 0; ok && sent < tc.size-4096; sent += len(batch) / len(chunk) * tc.chunk {
					ok = write(c, batch)
				}
			})
			g.checkOrdinary()
		})
	}
}

// Guards against bodies far over the limit, announced or just sent, that take memory, or hold
// their connections after the refusal.
func TestBodiesOverTheLimit(t *testing.T) {
	for name, headers := range map[string]string{
		"announced": fmt.Sprintf("Content-Length: %d\r\n", 64*largeBody),
		"just sent": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			chunk := strings.Repeat("x", 64<<10)
			if strings.HasPrefix(headers, "Transfer") {
				chunk = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
			}
			connect(t, g.address, crowdSize, func(n int, c net.Conn) {
				ok := write(c, head(n, "/order/held", headers))
				for sent := 0; ok && sent < 4*largeBody; sent += len(chunk) {
					ok = write(c, chunk)
				}
			})
			g.checkOrdinary()
		})
	}
}

// Guards against connections that take the descriptors and the memory of a process: some send
// nothing, some stop short of the end of a long head, some are refused for their key and hold
// back the end of the body.
func TestConnectionsWithoutRequests(t *testing.T) {
	for name, text := range map[string]func(n int) string{
		"silent":     func(int) string { return "" },
		"long heads": func(n int) string { return strings.TrimSuffix(head(n, "/order/held", longLines()), "\r\n") },
		"unknown key": func(n int) string {
			return strings.Replace(head(n, "/order/held", "Content-Length: 9\r\n"), apiKey, "other", 1) + "short"
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			connect(t, g.address, crowdSize, func(n int, c net.Conn) { write(c, text(n)) })
			g.checkOrdinary()
		})
	}
}

// longLines returns header lines of longHead bytes in all.
func longLines() string {
	line := "X-Filler-%02d: " + strings.Repeat("f", 980) + "\r\n"
	var lines strings.Builder
	for n := 0; lines.Len() < longHead; n++ {
		fmt.Fprintf(&lines, line, n)
	}
	return lines.String()
}

// Guards against callers that send one request after the other and read no answer: what is
// written for them, and the connection, stay until the process ends.
func TestAnswersThatAreNotRead(t *testing.T) {
	g := startGateway(t)
	connect(t, g.address, crowdSize, func(n int, c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		write(c, head(n, "/endless/held", "X-Token-Usage: 100,10\r\nX-Model: m\r\nContent-Length: 0\r\n"))
	})
	g.checkOrdinary()
}

// Package e2e tests the product as separate processes against the stand-ins.
package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"camphorwick.dev/settings"
	"camphorwick.dev/standin/enginesim"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// testTimeout is the timeout of one test.
const testTimeout = 90 * time.Second

// binaries is the directory of the race-enabled binaries of all processes.
var binaries string

// TestMain builds the binaries unless CAMPHORWICK_BIN names a directory of
// binaries.
func TestMain(m *testing.M) {
	binaries = os.Getenv("CAMPHORWICK_BIN")
	if binaries != "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "camphorwick-bin-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-race", "-o", dir+string(filepath.Separator), "work")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start starts a fleet that is killed at the end of the test. Tests call Stop to
// check that no daemon exits with an error, for example after a data race.
func start(t *testing.T, o fleet.Options) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	o.Bin, o.Dir = binaries, t.TempDir()
	f, err := fleet.Start(ctx, o)
	if err != nil {
		cancel()
		t.Fatalf("start the fleet: %v", err)
	}
	t.Cleanup(func() {
		cancel()
		f.Kill()
		reportRaces(t, f)
		if t.Failed() {
			printLogs(t, o.Dir)
		}
	})
	return ctx, f
}

// reportRaces fails the test if a process of the fleet had a data race.
func reportRaces(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, err := range f.Races() {
		t.Error(err)
	}
}

func printLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		lines := strings.Split(string(data), "\n")
		t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

func caller(f *fleet.Fleet, entry int) *client.Client {
	return client.New(f.Entries[entry].Settings.Entry.CallersAddress, fleet.CallerKey)
}

// prompt returns a text of the given number of tokens that starts with name. A
// token has 4 bytes, the repeated word 8.
func prompt(name string, tokens int) string {
	return (name + " " + strings.Repeat("coating ", tokens/2+1))[:tokens*4]
}

// expected returns the complete answer of the stand-in engine.
func expected(prompt string, tokens int) string {
	texts, _ := enginesim.Answer([]byte(prompt), tokens, 0)
	return strings.Join(texts, "")
}

// engineStats is the part of an engine's statistics that the tests read.
type engineStats struct {
	KVUsedTokens int            `json:"kv_used_tokens"`
	Starts       map[string]int `json:"starts"`
	Streams      []any          `json:"streams"`
}

// awaitMemoryFreed waits until no engine holds memory for a stream.
func awaitMemoryFreed(t *testing.T, f *fleet.Fleet, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		held := 0
		for _, engine := range f.Engines {
			var stats engineStats
			if err := f.Stats(engine, "/stats", &stats); err != nil {
				continue // the engine was killed by the test
			}
			held += stats.KVUsedTokens + len(stats.Streams)
		}
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("engines still hold %d tokens and streams", held)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against failures on the path from caller to backend server without
// faults: streamed and unstreamed answers, idempotent calls, and orders.
func TestPath(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2, Orders: 1})
	text := prompt("primer", 1000)
	for _, stream := range []bool{true, false} {
		a, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: text, MaxTokens: 40, Stream: stream, ID: "req-1"})
		is.NoErr(err)
		is.Equal(a.Outcome, "completed")
		is.Equal(a.Text, expected(text, 40))
		is.Equal(a.RequestID, "req-1")
		is.True(a.TraceID != "")
	}
	get, err := caller(f, 1).Call(ctx, http.MethodGet, "/v1/services/orders/stock", nil, nil)
	is.NoErr(err)
	is.Equal(get.Outcome, "completed")
	key := history.NewKey()
	first, err := caller(f, 0).Order(ctx, "/v1/services/orders/coils", key, []byte("1"))
	is.NoErr(err)
	is.Equal(first.Outcome, "completed")
	second, err := caller(f, 1).Order(ctx, "/v1/services/orders/coils", key, []byte("1"))
	is.NoErr(err)
	is.True(second.Recorded)
	is.Equal(second.Text, first.Text)
	other, err := caller(f, 1).Order(ctx, "/v1/services/orders/coils", key, []byte("2"))
	is.NoErr(err)
	is.Equal(other.Code, "key_conflict")
	query, err := caller(f, 1).Call(ctx, http.MethodGet, "/v1/orders/"+key, nil, nil)
	is.NoErr(err)
	is.True(strings.Contains(query.Text, `"outcome":"completed"`))
	awaitMemoryFreed(t, f, 5*time.Second)
	is.NoErr(f.Stop())
}

// Guards against refusals of invalid requests with the wrong status, code or
// outcome, against refusals that the metrics do not count, and against refused
// requests that hold memory of an engine.
func TestBadRequests(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1, Orders: 1})
	c := caller(f, 0)
	json := func(s string) []byte { return []byte(s) }
	cases := []struct {
		name, method, path string
		body               []byte
		headers            map[string]string
		status             int
		code               string
	}{
		{"malformed JSON", "POST", "/v1/completions", json(`{"model"`), nil, 400, "invalid_request"},
		{"wrong type", "POST", "/v1/completions", json(`{"model":3}`), nil, 400, "invalid_request"},
		{"no prompt", "POST", "/v1/completions", json(`{"model":"standin"}`), nil, 400, "invalid_request"},
		{"unknown model", "POST", "/v1/completions", json(`{"model":"x","prompt":"a"}`), nil, 404, "unknown_model"},
		{"negative deadline", "POST", "/v1/completions", json(`{"model":"standin","prompt":"a","timeout_ms":-5}`), nil, 400, "invalid_request"},
		{"absurd deadline", "POST", "/v1/completions", json(`{"model":"standin","prompt":"a","timeout_ms":99999999999}`), nil, 400, "invalid_request"},
		{"too many tokens", "POST", "/v1/completions", json(`{"model":"standin","prompt":"a","max_tokens":9999999}`), nil, 400, "invalid_request"},
		{"unknown key", "POST", "/v1/completions", json(`{}`), map[string]string{"Authorization": "Bearer x"}, 401, "unauthenticated"},
		{"no key", "POST", "/v1/completions", json(`{}`), map[string]string{"Authorization": "none"}, 401, "unauthenticated"},
		{"oversized body", "POST", "/v1/completions", []byte(strings.Repeat("x", 13<<20)), nil, 413, "invalid_request"},
		{"unknown path", "GET", "/v1/none", nil, nil, 404, "not_found"},
		{"unknown service", "POST", "/v1/services/none/x", nil, nil, 404, "unknown_service"},
		{"order without key", "POST", "/v1/services/orders/x", nil, nil, 400, "invalid_request"},
		{"order with a random key", "POST", "/v1/services/orders/x", nil, map[string]string{"Idempotency-Key": uuid.NewString()}, 400, "invalid_request"},
		{"order with an old key", "POST", "/v1/services/orders/x", nil, map[string]string{"Idempotency-Key": "018f0000-0000-7000-8000-000000000000"}, 400, "key_expired"},
		{"bad event id", "GET", "/v1/requests/r1", nil, map[string]string{"Last-Event-ID": "x"}, 400, "invalid_request"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			a, err := c.Call(ctx, tc.method, tc.path, tc.body, tc.headers)
			is.NoErr(err)
			is.Equal(a.Status, tc.status)
			is.Equal(a.Code, tc.code)
			is.Equal(a.Outcome, "not_run")
			is.True(a.RequestID != "")
		})
	}
	is := is.New(t)
	is.Equal(sumOfMetric(t, f.Entries[0], "camphorwick_requests_total", `outcome="not_run"`), len(cases))
	awaitMemoryFreed(t, f, time.Second)
	is.NoErr(f.Stop())
}

func jsonNumber(n uint64) string { return fmt.Sprint(n) }

// peersOf returns the daemons of a fleet as peers for the settings of a daemon.
func peersOf(f *fleet.Fleet) []settings.Peer {
	var peers []settings.Peer
	for _, vm := range f.VMs() {
		peers = append(peers, settings.Peer{VM: vm.ID, Role: settings.Role(vm.Role), DataCentre: vm.DataCentre, Address: vm.Address})
	}
	return peers
}

// Guards against unauthenticated callers that use the memory of an entry with
// large bodies: they must be refused before their body is read.
func TestUnauthenticatedBodyIsNotRead(t *testing.T) {
	is := is.New(t)
	_, f := start(t, fleet.Options{Entries: 1, Engines: 1})
	for _, address := range []string{f.Entries[0].Settings.Entry.CallersAddress, f.Entries[0].Settings.Entry.AdminAddress} {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer none\r\nContent-Length: 3000000\r\n\r\n%s", strings.Repeat("x", 64<<10))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(3 * time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusUnauthorized)
		_ = conn.Close()
	}
}

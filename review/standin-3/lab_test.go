package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Names of the deployment that the cases play.
const (
	host        = "desk.example"
	streamPath  = "/ask/"
	orderPath   = "/order/"
	lookupPath  = "/stock/"
	llmService  = "llm"
	deskService = "desk"
	zone        = "zone-a"
	tenantKey   = "k0123456789abcdefghi"
	tenantName  = "tenant-a"
)

// lab is a small deployment: a store, servers, and gateways as processes.
type lab struct {
	dir      string // temporary folder
	record   *os.File
	mu       sync.Mutex // of record and servers
	start    time.Time
	store    *store
	address  string // of the store
	gateways []*gateway
	servers  []*server
	trouble  bool
}

func newLab(recordPath string) *lab {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("create a temporary folder", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fail("create the record", err)
	}
	l := &lab{dir: dir, record: record, start: time.Now(), store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	l.address = serve(l.store)
	l.note("store at %s, disruption %v", l.address, l.trouble)
	return l
}

func fail(what string, err error) {
	fmt.Fprintln(os.Stderr, what+":", err)
	os.Exit(exitNotRun)
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all gateways and ends the case.
func (l *lab) end(code int, format string, args ...any) {
	text := map[int]string{exitHeld: "HELD", exitBroken: "BROKEN", exitNotRun: "NOT RUN"}[code] + ": " + fmt.Sprintf(format, args...)
	l.note("%s", text)
	fmt.Println(text)
	for _, g := range l.gateways {
		g.kill()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
	os.Exit(code)
}

// serve serves a handler at a free loopback port and returns its address.
func serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen", err)
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String()
}

// firstPort and portCount are a range of ports that the kernel gives to no outgoing connection.
const (
	firstPort = 18000
	portCount = 12000
)

var nextPort = firstPort + os.Getpid()*37%portCount

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress() string {
	for {
		if nextPort++; nextPort >= firstPort+portCount {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
}

// gateway is a gateway as a process.
type gateway struct {
	name                  string
	callers, ops, control string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// settings of a gateway beside its addresses.
type settings struct{ memoryMB, maxFiles int }

// startGateway starts a gateway with the command of the deploy file and the settings that its
// template gives.
func (l *lab) startGateway(s settings) *gateway {
	g := &gateway{name: fmt.Sprintf("gateway-%d", len(l.gateways)+1), callers: freeAddress(), ops: freeAddress(), control: freeAddress(), ended: make(chan struct{})}
	fields := map[string]any{"callers_address": g.callers, "memory_mb": s.memoryMB, "max_files": s.maxFiles, "retry_ratio": 0.2, "retry_extra": 100, "retry_window_s": 10,
		"grace_s": 8, "unused_memory_ms": 9000, "drain_ms": 2000, "config_deadline_ms": 2000, "regions": map[string]string{zone: "region-a"}}
	file := filepath.Join(l.dir, g.name+".json")
	data, err := json.Marshal(map[string]any{"vm": g.name, "role": "gateway", "data_centre": zone, "control_address": g.control, "ops_address": g.ops,
		"insecure_plaintext": true, "platform": map[string]string{"url": "http://" + l.address}, "gateway": fields})
	if err != nil {
		fail("encode settings", err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		fail("write settings", err)
	}
	log, err := os.Create(filepath.Join(l.dir, g.name+".log"))
	if err != nil {
		fail("create a log", err)
	}
	g.cmd = exec.Command("target/camphorwick", "run")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORWICK_NODE_FILE=" + file, "GOGC=200"}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		fail("start a gateway", err)
	}
	go func() {
		_ = g.cmd.Wait()
		close(g.ended)
	}()
	l.gateways = append(l.gateways, g)
	l.note("%s started, process %d, callers %s", g.name, g.cmd.Process.Pid, g.callers)
	return g
}

// reset ends all gateways and servers and replaces the store by a new one.
func (l *lab) reset() {
	for _, g := range l.gateways {
		g.kill()
	}
	for _, s := range l.servers {
		s.crash()
	}
	l.gateways, l.servers = nil, nil
	l.store = newStore()
	l.address = serve(l.store)
	l.store.put("op/config", config(1))
	l.note("new store at %s", l.address)
}

// awaitReady waits until a gateway is ready.
func (l *lab) awaitReady(g *gateway) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + g.ops + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			l.note("%s is ready", g.name)
			return
		}
	}
	l.end(exitNotRun, "%s was not ready in time", g.name)
}

// startGateways starts gateways of the small deployments and waits until they are ready.
func (l *lab) startGateways(n int) {
	for range n {
		l.startGateway(settings{memoryMB: 284, maxFiles: 4200})
	}
	for _, g := range l.gateways {
		l.awaitReady(g)
	}
}

func (g *gateway) kill() {
	_ = g.cmd.Process.Kill()
	<-g.ended
}

func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// memoryKB returns a field of the process's status in KB, for instance VmHWM.
func (g *gateway) memoryKB(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// config returns the configuration of the deployment.
func config(version int) map[string]any {
	return map[string]any{"version": version,
		"routeTable": []map[string]any{
			{"name": "r-ask", "host": host, "prefix": streamPath, "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1, "service": llmService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 250},
			{"name": "r-review", "host": host, "prefix": longPath, "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 3000, "priority": 1, "service": llmService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 1000},
			{"name": "r-order", "host": host, "prefix": orderPath, "kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": deskService, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-stock", "host": host, "prefix": lookupPath, "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": deskService, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": llmService, "healthPath": "/healthz", "maxConns": 424, "protocol": "h1", "tlsMode": false, "engineName": map[string]any{"slotCount": 16, "kvCapacity": 315000, "kvTokenBytes": 163840.0, "linkMbps": 400000.0, "stepCount": 51,
				"models": []map[string]string{{"name": "m"}}, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.05}},
			{"name": deskService, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tlsMode": false},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}},
	}
}

// TestMain runs one case: the program is built as a test binary, because the names of the platform's
// protocol may stand in test files only. It never returns.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*lab){"heads": runHeads, "poison": runPoison, "drill": runDrill, "truncate": runTruncate}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	run(newLab(os.Args[2]))
}

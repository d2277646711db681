package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stamp formats a time for the record.
func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// fleet is the platform, the backend servers and the gateways of a case, each a process.
type fleet struct {
	root, dir string // of the repository; a temporary folder
	record    *os.File
	recordMu  sync.Mutex
	logs      []string // lines of the servers
	self      string   // this program
	store     string   // address
	processes []*process
	next      int // number of the next free port
}

type process struct {
	name    string
	cmd     *exec.Cmd
	done    chan struct{}
	address string // for callers
	ready   string
}

// unable ends the program because the case could not run.
func (f *fleet) unable(format string, args ...any) {
	f.note("case could not run: "+format, args...)
	f.stopAll()
	os.Exit(2)
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, stamp(time.Now())+" "+format+"\n", args...)
}

func (f *fleet) addLine(line string) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	f.logs = append(f.logs, line)
	fmt.Fprintln(f.record, line)
}

// lines returns the lines of the servers so far.
func (f *fleet) lines() []string {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	return append([]string{}, f.logs...)
}

// caseLimit bounds the time of a case.
const caseLimit = 100 * time.Second

func newFleet(folder string) *fleet {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f := &fleet{root: root, record: record}
	if f.self, err = os.Executable(); err != nil {
		f.unable("%v", err)
	}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		f.unable("%v", err)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupts:
			f.unable("interrupted")
		case <-time.After(caseLimit):
			f.unable("it took longer than %v", caseLimit)
		}
	}()
	return f
}

// freeAddress returns a free loopback address. It is free for TCP and UDP.
func (f *fleet) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.unable("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start starts a process. Its lines go to the record if it is a server, else to a file.
func (f *fleet) start(p *process, env []string, program string, args ...string) *process {
	p.cmd = exec.Command(program, args...)
	p.cmd.Dir = f.root
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		f.unable("%v", err)
	}
	p.cmd.Stderr = os.Stderr
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		f.unable("%v", err)
	}
	f.processes = append(f.processes, p)
	file, err := os.Create(filepath.Join(f.dir, p.name+".log"))
	if err != nil {
		f.unable("%v", err)
	}
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if strings.Contains(lines.Text(), " server ") && program == f.self {
				f.addLine(lines.Text())
			}
			fmt.Fprintln(file, lines.Text())
		}
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.done)
	}()
	return p
}

// stopAll ends all processes and removes the temporary folder, which KEEP=1 keeps.
func (f *fleet) stopAll() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

const heartbeat = 1200 * time.Millisecond

func (f *fleet) startStore() {
	f.store = f.freeAddress()
	f.start(&process{name: "store"}, nil, f.self, "store", "-address", f.store, "-heartbeat", heartbeat.String())
	f.await("the store", func() bool {
		answer, err := http.Get("http://" + f.store + "/-/kv-range?prefix=x")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

func (f *fleet) await(what string, ok func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.unable("%s did not get ready in time", what)
}

// startServer starts a backend server.
func (f *fleet) startServer(o serverOptions) *process {
	o.Address, o.Store, o.Heartbeat = f.freeAddress(), f.store, heartbeat
	options, _ := json.Marshal(o)
	return f.start(&process{name: o.ID, address: o.Address}, nil, f.self, "server", "-options", string(options))
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(config any) {
	data, err := json.Marshal(config)
	if err != nil {
		f.unable("%v", err)
	}
	admin(f.store, "/admin/put?key=op%2Fconfig", data)
	f.note("operator: configuration acknowledged by the store")
}

// bounds of the settings of a gateway.
type bounds struct {
	graceSeconds, drainMillis, configDeadlineMillis, memoryMB int
}

// smallBounds are those of the site wusta-spec.
var smallBounds = bounds{graceSeconds: 8, drainMillis: 2000, configDeadlineMillis: 2000, memoryMB: 284}

// grownBounds are those of the site wusta-spec-grown.
var grownBounds = bounds{graceSeconds: 8, drainMillis: 3000, configDeadlineMillis: 3000, memoryMB: 284}

// startGateway starts a gateway with the command of the deploy file and the settings that its
// template gives.
func (f *fleet) startGateway(name, zone string, zones []string, b bounds) *process {
	p := &process{name: name, address: f.freeAddress(), ready: f.freeAddress()}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "muscat"
	}
	settings, _ := json.Marshal(map[string]any{"vm": name, "role": "gateway", "data_centre": zone, "control_address": f.freeAddress(), "ops_address": p.ready,
		"insecure_plaintext": true, "platform": map[string]any{"url": "http://" + f.store},
		"gateway": map[string]any{"callers_address": p.address, "memory_mb": b.memoryMB, "max_files": 4200, "retry_ratio": 0.2, "retry_extra": 100,
			"retry_window_s": 10, "grace_s": b.graceSeconds, "unused_memory_ms": 9000, "drain_ms": b.drainMillis, "config_deadline_ms": b.configDeadlineMillis, "regions": regions}})
	file := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		f.unable("%v", err)
	}
	f.start(p, []string{"CAMPHORWICK_NODE_FILE=" + file, "GOGC=200"}, filepath.Join(f.root, "target", "camphorwick"), "run")
	return p
}

func (f *fleet) awaitReady(p *process) {
	f.await(p.name, func() bool {
		answer, err := http.Get("http://" + p.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

// result is what a client saw of one request.
type result struct {
	id         string
	sent       time.Time
	status     int
	events     []int
	total      int // events that the server announces
	complete   bool
	body       string
	err        error
	ended      time.Time
	stamp      string
	closesSoon bool // the answer has Connection: close
}

// channel is a client's connection, kept for several requests.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func (f *fleet) dial(p *process) *channel {
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		f.unable("%v", err)
	}
	return &channel{c, bufio.NewReader(c)}
}

// request sends a request and reads its answer.
func (f *fleet) request(c *channel, id, method, target string, limit time.Duration, headers string) *result {
	r := &result{id: id, sent: time.Now()}
	_ = c.SetDeadline(time.Now().Add(limit))
	f.note("client: sent %s %s %s", id, method, target)
	defer func() {
		r.ended = time.Now()
		f.note("client: end of %s status %d events %d of %d complete %t error %v", id, r.status, len(r.events), r.total, r.complete, r.err)
	}()
	if _, r.err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: key1\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", method, target, id, limit.Milliseconds(), headers); r.err != nil {
		return r
	}
	var answer *http.Response
	if answer, r.err = http.ReadResponse(c.br, nil); r.err != nil {
		return r
	}
	r.status, r.stamp, r.closesSoon = answer.StatusCode, answer.Header.Get("X-Server-Stamp"), answer.Close
	body := bufio.NewReader(answer.Body)
	for {
		line, err := body.ReadString('\n')
		r.body += line
		if rest, ok := strings.CutPrefix(line, "data: event "); ok {
			fields := strings.Fields(rest) // N of TOTAL for ID
			n, _ := strconv.Atoi(fields[0])
			r.total, _ = strconv.Atoi(fields[2])
			r.events = append(r.events, n)
		}
		if err != nil {
			if err.Error() != "EOF" {
				r.err = err
			}
			r.complete = r.err == nil
			return r
		}
	}
}

package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench holds what a case has started, and its record.
type bench struct {
	trouble bool
	started time.Time
	dir     string // temporary folder
	store   *store

	mu        sync.Mutex
	record    *os.File
	processes []*process
	servers   map[string]*server // by ID
	runs      []string           // IDs of the requests that servers have begun to run
	onEvent   func(serverEvent)  // called for each event of a server, with mu not held
}

func newBench(folder string, trouble bool) (*bench, error) {
	if _, err := os.Stat("target/camphorwick"); err != nil {
		return nil, fmt.Errorf("build the gateway with the command of deploy/system.toml first: %w", err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, started: time.Now(), dir: dir, record: record, servers: map[string]*server{}}
	b.store, err = newStore()
	if err != nil {
		return nil, err
	}
	b.log("disruption: %v", trouble)
	return b, nil
}

// log writes a line to the record, with the seconds since the start of the case.
func (b *bench) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(b.started).Seconds()) + fmt.Sprintf(format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintln(b.record, line)
}

// close ends all processes that the case has started.
func (b *bench) close() {
	b.mu.Lock()
	list := b.processes
	b.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	b.store.close()
	_ = os.RemoveAll(b.dir)
}

// process is a process that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

func (b *bench) start(cmd *exec.Cmd) (*process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p, nil
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// freePort returns a loopback address with a port that was free a moment ago, for TCP and
// UDP.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// gateway is a gateway process.
type gateway struct {
	*process
	vm, callers, ops, settings string
	memoryMB                   int
	graceS                     float64
	peers, storeURL            string
}

// startGateway starts a gateway with the command of the deploy file and settings like
// those that the platform writes from the template, and waits until it is ready.
func (b *bench) startGateway(vm string) (*gateway, error) {
	var ports [3]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	g := &gateway{vm: vm, callers: ports[0], ops: ports[1], peers: ports[2], memoryMB: 284, graceS: 8,
		storeURL: "http://" + b.store.address, settings: filepath.Join(b.dir, vm+".json")}
	if err := g.writeSettings(); err != nil {
		return nil, err
	}
	return g, b.launch(g)
}

// launch starts the process of a gateway, also once more after its end, and waits until it
// is ready.
func (b *bench) launch(g *gateway) error {
	out, err := os.OpenFile(filepath.Join(b.dir, g.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/camphorwick", "run")
	cmd.Env = append(os.Environ(), "CAMPHORWICK_NODE_FILE="+g.settings, "GOGC=200")
	cmd.Stdout, cmd.Stderr = out, out
	if g.process, err = b.start(cmd); err != nil {
		return err
	}
	b.log("gateway %s started, callers at %s", g.vm, g.callers)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := httpGet(g.ops, "/readyz"); status == 200 {
			b.log("gateway %s is ready", g.vm)
			return nil
		}
	}
	return errors.New("gateway " + g.vm + " is not ready after 20 s")
}

// writeSettings writes the settings file, which is deploy/gateway.json with its
// placeholders filled in.
func (g *gateway) writeSettings() error {
	text := fmt.Sprintf(`{
  "vm": %q,
  "role": "gateway",
  "data_centre": "zone-a",
  "control_address": %q,
  "ops_address": %q,
  "insecure_plaintext": true,
  "platform": { "url": %q },
  "gateway": {
    "callers_address": %q,
    "memory_mb": %d,
    "retry_ratio": 0.2,
    "retry_extra": 100,
    "retry_window_s": 10,
    "grace_s": %v,
    "unused_memory_ms": 9000,
    "drain_ms": 2000
  }
}
`, g.vm, g.peers, g.ops, g.storeURL, g.callers, g.memoryMB, g.graceS)
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// copyLog adds the lines of a gateway's log that contain a text to the record.
func (b *bench) copyLog(g *gateway, contains ...string) {
	data, err := os.ReadFile(filepath.Join(b.dir, g.vm+".log"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		for _, text := range contains {
			if strings.Contains(line, text) {
				b.log("log of %s: %s", g.vm, strings.ReplaceAll(strings.TrimSpace(line), b.dir, "TMP"))
				break
			}
		}
	}
}

// server is a backend server process.
type server struct {
	*process
	id, service, address string
	born                 int64
	state                string
}

// startServer starts a backend server and registers it. flags are those of serverMain.
func (b *bench) startServer(id, service string, flags ...string) (*server, error) {
	cmd := exec.Command(os.Args[0], append([]string{"server", "-id", id}, flags...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p, err := b.start(cmd)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewReader(out)
	first, err := lines.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", id, err)
	}
	s := &server{process: p, id: id, service: service, address: strings.TrimSpace(first), born: time.Now().UnixMilli()}
	b.mu.Lock()
	b.servers[id] = s
	b.mu.Unlock()
	go b.readEvents(lines)
	b.register(s, "ready")
	return s, nil
}

func (b *bench) readEvents(lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		var e serverEvent
		if json.Unmarshal([]byte(line), &e) != nil {
			continue
		}
		b.log("server %s: %s request %s parts %s", e.Server, e.Event, e.Request, e.Parts)
		if e.Event == "runs" {
			b.mu.Lock()
			b.runs = append(b.runs, e.Request)
			b.mu.Unlock()
		}
		if b.onEvent != nil {
			b.onEvent(e)
		}
	}
}

// ran returns the IDs of the requests that servers have begun to run.
func (b *bench) ran() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// register writes the registration of a server.
func (b *bench) register(s *server, state string) {
	s.state = state
	value, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": "zone-a", "version": 1, "slotCount": 16,
		"state": state, "coldLeftMs": 0, "sequence": 0, "born": s.born})
	b.store.put("servers/"+s.id, value)
	b.log("store: server %s at %s is %s", s.id, s.address, state)
}

// unregister removes the registration of a server.
func (b *bench) unregister(s *server) {
	b.store.remove("servers/" + s.id)
	b.log("store: server %s removed", s.id)
}

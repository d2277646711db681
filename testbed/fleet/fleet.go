// Package fleet starts the stand-ins and the product's daemons as separate
// processes on loopback, for the demo, the load tools and the integration
// tests. The daemons themselves start no processes.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"camphorwick.dev/cloud"
	"camphorwick.dev/settings"
)

// A daemon must be ready within startTimeout, which also bounds each call to it, and
// is asked every pollInterval. A process must exit within stopTimeout of SIGTERM.
const (
	startTimeout = 20 * time.Second
	stopTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Keys used by every test fleet.
const (
	AdminKey  = "test-admin-key"
	CallerKey = "test-caller-key"
)

// Options describe a fleet.
type Options struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is the directory for settings and logs; it must exist.
	Dir string
	// Entries, Engines and Orders are the numbers of processes of each kind.
	Entries, Engines, Orders int
	// DataCentres are assigned to the daemons in turn; the default is "dc-1".
	DataCentres []string
	// EngineFlags, OrderFlags and PlatformFlags are passed to the stand-ins.
	EngineFlags, OrderFlags, PlatformFlags []string
	// Proxies puts fault proxies in front of every daemon's control address,
	// between every daemon and the platform, and between every agent and its
	// backend server.
	Proxies bool
	// Adjust may change the settings of a daemon before it starts.
	Adjust func(*settings.Settings)
}

// Daemon is a process of the product with its settings.
type Daemon struct {
	*Process
	Settings *settings.Settings
	// Control is the proxy in front of the daemon's control address, through which
	// entries connect to it. Store is the proxy between the daemon and the
	// platform, Backend the one between an agent and its backend server. All are
	// nil if the fleet has no proxies.
	Control, Store, Backend *Proxy
	settingsFile            string
	starts                  atomic.Int64
}

// Starts returns how often the daemon was started. The count is incremented
// before the process is started.
func (d *Daemon) Starts() int64 { return d.starts.Load() }

// Fleet is a set of running processes.
type Fleet struct {
	Options  Options
	Platform *Process
	Engines  []*Process
	Orders   []*Process
	Agents   []*Daemon
	Entries  []*Daemon

	mu          sync.Mutex
	processes   []*Process
	portSockets []int // descriptors of the sockets that reserve ports
	portErr     error // of ReserveAddress
	proxies     []*Proxy
}

var errTimeoutOrNoAddress = errors.New("timeout, or the process printed no address")

// Start starts a fleet, commits the initial configuration and waits until every
// daemon is ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"dc-1"}
	}
	f := &Fleet{Options: o}
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

// Empty returns a fleet without processes, for tests that start their own.
func Empty(o Options) (*Fleet, error) {
	if o.Bin == "" || o.Dir == "" {
		return nil, errMissingDirs
	}
	return &Fleet{Options: o}, nil
}

var errMissingDirs = errors.New("directories of binaries and of logs are required")

func (f *Fleet) start(ctx context.Context) error {
	o := f.Options
	var err error
	if f.Platform, err = f.StartStandin("standin-platform", "platform", o.PlatformFlags); err != nil {
		return err
	}
	for i := range o.Engines {
		engine, err := f.StartStandin("standin-engine", fmt.Sprintf("engine-%d", i+1), o.EngineFlags)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine)
		f.Agents = append(f.Agents, f.newAgent(fmt.Sprintf("server-%d", i+1), i, &settings.Agent{Engine: &settings.Engine{URL: "http://" + engine.Address}}))
	}
	for i := range o.Orders {
		service, err := f.StartStandin("standin-orders", fmt.Sprintf("orders-%d", i+1), o.OrderFlags)
		if err != nil {
			return err
		}
		f.Orders = append(f.Orders, service)
		f.Agents = append(f.Agents, f.newAgent(fmt.Sprintf("order-server-%d", i+1), i, &settings.Agent{Service: &settings.Service{Name: "orders", URL: "http://" + service.Address}}))
	}
	for i := range o.Entries {
		f.Entries = append(f.Entries, f.newEntry(fmt.Sprintf("entry-%d", i+1), i))
	}
	for _, d := range f.daemons() {
		if err := f.addProxies(d); err != nil {
			return err
		}
	}
	if err := f.PublishVMs(true); err != nil {
		return err
	}
	for _, d := range f.daemons() {
		if err := f.StartDaemon(d); err != nil {
			return err
		}
	}
	return f.configure(ctx)
}

// LogFile returns the log file of a process.
func (f *Fleet) LogFile(name string) string { return filepath.Join(f.Options.Dir, name+".log") }

func (f *Fleet) commonSettings(vm string, role settings.Role, i int) *settings.Settings {
	return &settings.Settings{VM: vm, Role: role, DataCentre: f.Options.DataCentres[i%len(f.Options.DataCentres)],
		ControlAddress: f.ReserveAddress(), OpsAddress: f.ReserveAddress(), InsecurePlaintext: true, LogLevel: "info",
		Platform: settings.Platform{URL: "http://" + f.Platform.Address, VMPollMillis: 500}, Trace: settings.Trace{Log: true}}
}

func (f *Fleet) newAgent(vm string, i int, a *settings.Agent) *Daemon {
	s := f.commonSettings(vm, settings.RoleAgent, i)
	s.Agent = a
	return &Daemon{Settings: s}
}

func (f *Fleet) newEntry(vm string, i int) *Daemon {
	s := f.commonSettings(vm, settings.RoleEntry, i)
	s.Entry = &settings.Entry{CallersAddress: f.ReserveAddress(), AdminAddress: f.ReserveAddress(),
		AdminKeyHashes: []string{HashKey(AdminKey)}, UnreadyMillis: 200}
	return &Daemon{Settings: s}
}

// AddEntry adds the description of an entry, which StartDaemon starts.
func (f *Fleet) AddEntry(vm string) *Daemon {
	d := f.newEntry(vm, len(f.Entries))
	f.Entries = append(f.Entries, d)
	return d
}

// AddAgent adds the description of an agent, which StartDaemon starts.
func (f *Fleet) AddAgent(vm string, a *settings.Agent) *Daemon {
	d := f.newAgent(vm, len(f.Agents), a)
	f.Agents = append(f.Agents, d)
	return d
}

// HashKey returns the SHA-256 hash of a key in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// StartDaemon writes the settings of a daemon and starts it. It also restarts a
// daemon that has ended, and does not wait for readiness.
func (f *Fleet) StartDaemon(d *Daemon) error {
	if f.Options.Adjust != nil && d.settingsFile == "" {
		f.Options.Adjust(d.Settings)
	}
	if err := f.addProxies(d); err != nil {
		return err
	}
	data, err := json.MarshalIndent(d.Settings, "", "  ")
	if err != nil {
		return &StartError{d.Settings.VM, err}
	}
	d.settingsFile = filepath.Join(f.Options.Dir, d.Settings.VM+".json")
	if err := os.WriteFile(d.settingsFile, data, 0o644); err != nil {
		return &StartError{d.Settings.VM, err}
	}
	d.starts.Add(1)
	p, err := f.launch(d.Settings.VM, exec.Command(filepath.Join(f.Options.Bin, "camphorwick"), "run", "-s", d.settingsFile))
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// addProxies starts the proxies of a daemon if the fleet has proxies. A
// restarted daemon keeps its proxies.
func (f *Fleet) addProxies(d *Daemon) error {
	if !f.Options.Proxies || d.Control != nil {
		return nil
	}
	s := d.Settings
	var err error
	if d.Control, err = f.proxyTo("control of "+s.VM, s.ControlAddress); err != nil {
		return err
	}
	s.AdvertiseAddress = d.Control.Address()
	if d.Store, err = f.proxyURL("platform of "+s.VM, &s.Platform.URL); err != nil || s.Agent == nil {
		return err
	}
	url := new(string)
	switch {
	case s.Agent.Engine != nil:
		url = &s.Agent.Engine.URL
	case s.Agent.Service != nil:
		url = &s.Agent.Service.URL
	}
	d.Backend, err = f.proxyURL("backend server of "+s.VM, url)
	return err
}

// proxyURL starts a proxy in front of the host of a URL and replaces the host
// by the proxy.
func (f *Fleet) proxyURL(name string, url *string) (*Proxy, error) {
	p, err := f.proxyTo(name, strings.TrimPrefix(*url, "http://"))
	if err == nil {
		*url = "http://" + p.Address()
	}
	return p, err
}

// daemons returns all daemons, agents first.
func (f *Fleet) daemons() []*Daemon { return append(append([]*Daemon{}, f.Agents...), f.Entries...) }

// VMs returns the VM list that contains every daemon as live.
func (f *Fleet) VMs() []cloud.VM {
	var vms []cloud.VM
	for _, d := range f.daemons() {
		address := d.Settings.AdvertiseAddress
		if address == "" {
			address = d.Settings.ControlAddress
		}
		vms = append(vms, cloud.VM{ID: d.Settings.VM, Role: string(d.Settings.Role), DataCentre: d.Settings.DataCentre,
			Address: address, State: cloud.VMLive})
	}
	return vms
}

// PublishVMs sets the VM list of the stand-in platform. It takes effect after
// the lag of the platform unless immediate is set.
func (f *Fleet) PublishVMs(immediate bool) error {
	return f.Faults(f.Platform, http.MethodPut, "/vms", map[string]any{"vms": f.VMs(), "immediate": immediate})
}

// configure commits the plan and the client account of the tests and waits until
// every daemon is ready.
func (f *Fleet) configure(ctx context.Context) error {
	if len(f.Entries) == 0 {
		return nil
	}
	if err := f.await(ctx, "http://"+f.Entries[0].Settings.OpsAddress+"/healthz"); err != nil {
		return err
	}
	plan := map[string]any{"models": []string{"standin"}, "weight": 1, "services": []map[string]any{{"name": "orders",
		"idempotent": []map[string]string{{"method": "GET", "path_prefix": "/"}}}}}
	client := map[string]any{"plan": "standard", "key_hashes": []string{HashKey(CallerKey)}}
	if _, err := f.Edit(f.Entries[0], Change{Key: "plan/standard", Value: plan}, Change{Key: "client/tester", Value: client}); err != nil {
		return err
	}
	for _, d := range f.daemons() {
		if err := f.AwaitReady(ctx, d); err != nil {
			return err
		}
	}
	return f.AwaitSessions(ctx)
}

// AwaitReady waits until a daemon reports that it is ready.
func (f *Fleet) AwaitReady(ctx context.Context, d *Daemon) error {
	return f.await(ctx, "http://"+d.Settings.OpsAddress+"/readyz")
}

func (f *Fleet) await(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := call(http.MethodGet, url, "", nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w: %w", url, errTimeoutOrNoAddress, err)
		case <-time.After(pollInterval):
		}
	}
}

// AwaitSessions waits until every entry has a session with every other daemon.
func (f *Fleet) AwaitSessions(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, d := range f.Entries {
		for {
			live, err := f.countLiveVMs(d)
			if err == nil && live >= len(f.Agents)+len(f.Entries) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for the sessions of %s: %w", d.Settings.VM, errTimeoutOrNoAddress)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Stop stops entries, agents and stand-ins gracefully, in this order.
func (f *Fleet) Stop() error {
	var failures []error
	for _, list := range [][]*Daemon{f.Entries, f.Agents} {
		failures = append(failures, terminateAll(list)...)
	}
	f.Kill()
	return errors.Join(failures...)
}

// Kill kills every process that still runs, closes the proxies and releases the
// reserved ports.
func (f *Fleet) Kill() {
	f.mu.Lock()
	processes, proxies := f.processes, f.proxies
	f.mu.Unlock()
	for _, p := range proxies {
		p.proxy.Stop()
	}
	for _, p := range processes {
		select {
		case <-p.done:
		default:
			_ = p.Signal(syscall.SIGCONT)
			p.KillNow()
		}
	}
	f.releasePorts()
}

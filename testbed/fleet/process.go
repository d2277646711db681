package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Process is a process that the fleet has started: a process of the product (a
// daemon), or a simulated engine, order service or platform (a stand-in).
type Process struct {
	Name string
	// Address is that of a stand-in's API, FaultsAddress that of the API which
	// injects faults into it; both are empty for daemons.
	Address, FaultsAddress string
	cmd                    *exec.Cmd
	done                   chan struct{}
	err                    error // result of Wait, set before done is closed
}

// StartError is returned when a process or proxy could not be started.
type StartError struct {
	Name  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// StartStandin starts a stand-in and waits until it prints its addresses.
func (f *Fleet) StartStandin(binary, name string, args []string) (*Process, error) {
	cmd := exec.Command(filepath.Join(f.Options.Bin, binary), args...)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, &StartError{name, err}
	}
	p, err := f.launch(name, cmd)
	if err != nil {
		return nil, err
	}
	var ready struct {
		Address       string `json:"address"`
		FaultsAddress string `json:"faults_address"`
	}
	lines := bufio.NewScanner(stdout)
	for ready.Address == "" && lines.Scan() {
		_ = json.Unmarshal(lines.Bytes(), &ready) // other lines have no address
	}
	go func() { _, _ = io.Copy(io.Discard, stdout) }()
	if ready.Address == "" {
		return nil, &StartError{name, errTimeoutOrNoAddress}
	}
	p.Address, p.FaultsAddress = ready.Address, ready.FaultsAddress
	return p, nil
}

// StartProcess starts a process whose standard output goes to its log file. Unlike
// StartStandin, it does not wait for an address. environment, as KEY=value, is added
// to the environment of this process.
func (f *Fleet) StartProcess(binary, name string, args []string, environment ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(f.Options.Bin, binary), args...)
	cmd.Env = append(os.Environ(), environment...)
	log, err := os.OpenFile(f.LogFile(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &StartError{name, err}
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd.Stdout = log
	return f.launch(name, cmd)
}

// launch starts a command with its standard error in a log file.
func (f *Fleet) launch(name string, cmd *exec.Cmd) (*Process, error) {
	f.mu.Lock()
	portErr := f.portErr
	f.mu.Unlock()
	if portErr != nil {
		return nil, &StartError{name, portErr}
	}
	log, err := os.OpenFile(f.LogFile(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &StartError{name, err}
	}
	cmd.Stderr = log
	cmd.Env = append(cmd.Environ(), f.raceEnvironment(name))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneThread(cmd); err != nil {
		_ = log.Close()
		return nil, &StartError{name, err}
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// startRequests returns a channel of functions that run on one thread, which never
// exits and starts all processes.
var startRequests = sync.OnceValue(func() chan<- func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range requests {
			start()
		}
	}()
	return requests
})

// startOnOneThread starts a command from a thread that never exits. The kernel
// sends Pdeathsig to the started process when the thread that started it exits,
// so another thread could end the process while the test still runs.
func startOnOneThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	startRequests() <- func() { result <- cmd.Start() }
	return <-result
}

// Signal sends a signal to the process. It returns os.ErrProcessDone if the
// process has ended.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Pid returns the process id, also after the process has ended.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the result of waiting for the process: nil if it exited with status
// 0. It must only be called after Done is closed.
func (p *Process) Err() error { return p.err }

// Terminate sends SIGTERM and waits until the process has exited. It returns an
// error if the process exits with a status other than 0, or not within stopTimeout.
func (p *Process) Terminate() error {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("stop %s: %w", p.Name, p.err)
		}
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("stop %s: still running after SIGTERM: %w", p.Name, errTimeoutOrNoAddress)
	}
}

// KillNow sends SIGKILL and waits until the process has exited.
func (p *Process) KillNow() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

func terminateAll(list []*Daemon) []error {
	errs := make([]error, len(list))
	var group sync.WaitGroup
	for i, d := range list {
		if d.Process == nil {
			continue
		}
		group.Go(func() { errs[i] = d.Terminate() })
	}
	group.Wait()
	return errs
}

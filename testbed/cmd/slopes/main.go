// Command slopes measures how the cost of an entry grows (the slopes of its cost):
// the memory, bytes sent and processor time of each session with an agent, the
// memory and the time of the first request of each client account, and the memory of
// each agent in the agent table. docs/CAPACITY.md is computed from these figures.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/link"
	"camphorwick.dev/policy/admit"
	"camphorwick.dev/policy/choose"
	"camphorwick.dev/standin/process"
)

// measureSessions waits settleTime for all sessions to open, and then measures the
// traffic and the processor time of the idle sessions for measureTime.
const (
	settleTime  = 5 * time.Second
	measureTime = 20 * time.Second
)

// options are the flags.
type options struct {
	Agents   int `long:"peers" default:"120" description:"agents of one entry"`
	Accounts int `long:"accounts" default:"7100" description:"client accounts"`
}

func main() {
	var o options
	process.ParseFlags(&o)
	if err := measureSessions(o.Agents); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
	measureTables(o.Accounts)
}

// handler sends heartbeats; those of agents carry a Load message such as a busy
// agent sends.
type handler struct{ agent bool }

func (h handler) Heartbeat(*wire.Hello) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{ConfigRevision: 1_000_000}
	if h.agent {
		heartbeat.Load = &wire.Load{PrefillTokens: []uint64{8000, 40_000, 300_000}, KvReservedTokens: 350_000,
			Running: 20, Queued: 5, Models: []string{"model-a"}}
	}
	return heartbeat
}
func (handler) HeartbeatReceived(*wire.Hello, *wire.Heartbeat) {}
func (handler) ConfigReceived(*wire.Hello, *wire.ConfigUpdate) {}
func (handler) ConfigFor(uint64) *wire.ConfigUpdate            { return nil }
func (handler) PeerChanged(*wire.Hello, bool)                  {}
func (handler) Stream(context.Context, *link.Stream)           {}

// countingListener counts the bytes of all accepted connections, received and
// sent. The dialling ends do not count, so each byte is counted once.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureSessions connects one entry with a number of agents in this process and
// prints the cost of their sessions.
func measureSessions(agents int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	var bytes atomic.Int64
	memoryAtStart, goroutinesAtStart := memory(), runtime.NumGoroutine()
	var targets []link.Target
	for i := range agents {
		vm := fmt.Sprintf("agent-%d", i)
		address, err := startNode(ctx, &group, vm, wire.Role_ROLE_AGENT, &bytes, nil)
		if err != nil {
			return err
		}
		targets = append(targets, link.Target{VM: vm, Role: wire.Role_ROLE_AGENT, Address: address})
	}
	memoryBeforeEntry := memory()
	if _, err := startNode(ctx, &group, "entry", wire.Role_ROLE_ENTRY, &bytes, targets); err != nil {
		return err
	}
	time.Sleep(settleTime)
	// spent and sent are the counters at the start of the measurement, and then the
	// amounts spent and sent during it.
	memoryWithSessions, spent, sent := memory(), processorTime(), bytes.Load()
	time.Sleep(measureTime)
	spent, sent = processorTime()-spent, bytes.Load()-sent
	fmt.Printf("%d agents, both ends in one process, plain text:\n", agents)
	fmt.Printf("  memory per agent of its sessions with the entry, both ends: %d bytes (an agent without sessions: %d)\n", (memoryWithSessions-memoryBeforeEntry)/agents, (memoryBeforeEntry-memoryAtStart)/agents)
	fmt.Printf("  goroutines per agent of its sessions with the entry, both ends: %.1f\n", float64(runtime.NumGoroutine()-goroutinesAtStart)/float64(agents))
	fmt.Printf("  bytes of idle sessions per agent and second, both directions, without TCP/IP headers: %.1f\n", float64(sent)/measureTime.Seconds()/float64(agents))
	fmt.Printf("  bytes of all idle sessions of the entry per second: %.0f\n", float64(sent)/measureTime.Seconds())
	fmt.Printf("  processor time per agent and second, both ends: %.1f us\n", float64(spent.Microseconds())/measureTime.Seconds()/float64(agents))
	cancel()
	return group.Wait()
}

func startNode(ctx context.Context, group *errgroup.Group, vm string, role wire.Role, bytes *atomic.Int64, targets []link.Target) (string, error) {
	// Starts an entry or agent that only holds sessions, and returns the address on
	// which it listens.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen on loopback: %w", err)
	}
	node := link.NewNode(link.Config{Handler: handler{role == wire.Role_ROLE_AGENT}, Log: slog.New(slog.DiscardHandler),
		Self: func() *wire.Hello { return &wire.Hello{Vm: vm, Role: role, DataCentre: "dc-1", Epoch: 1} }})
	node.SetTargets(targets)
	group.Go(func() error { return node.Run(ctx, countingListener{listener, bytes}) })
	return listener.Addr().String(), nil
}

// measureTables measures and prints the memory that client accounts and the table
// of agents use in an entry, and the time to admit the first request of an account.
func measureTables(accounts int) {
	before := memory()
	limiter := admit.NewLimiter()
	limits := admit.Limits{RequestsPerSecond: 20, TokensPerSecond: 200_000, Concurrency: 100}
	now := time.Now()
	started := time.Now()
	for i := range accounts {
		if release, err := limiter.Admit(now, fmt.Sprintf("account-%d", i), limits, 1000, 1); err == nil {
			release()
		}
	}
	spent := time.Since(started)
	fmt.Printf("%d accounts: %d bytes in the limiter for each account, %v to admit a first request\n", accounts, (memory()-before)/accounts, spent/time.Duration(accounts))
	runtime.KeepAlive(limiter)
	before = memory()
	table := choose.New(choose.Config{Seed: 1})
	const agents = 1200
	for i := range agents {
		table.Upsert(choose.Agent{VM: fmt.Sprintf("agent-%d", i), DataCentre: "dc-1", Models: []string{"m"}, KVTokens: 400_000, PrefillTokensPerSecond: 30_000})
	}
	fmt.Printf("table of agents: %d bytes per agent\n", (memory()-before)/agents)
	runtime.KeepAlive(table)
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

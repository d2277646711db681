package peers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
	"camphorwick.dev/policy/suspect"
)

func newExchange(t *testing.T, vm string) (*Exchange, *schedule.Scheduler, *net.UDPConn) {
	t.Helper()
	return newExchangeOf(t, vm, 1)
}

// newExchangeOf returns the exchange of a gateway that knows the servers s0, s1
// ..., with its scheduler and its open port.
func newExchangeOf(t *testing.T, vm string, servers int) (*Exchange, *schedule.Scheduler, *net.UDPConn) {
	t.Helper()
	r := registry.New(func(registry.Change) {})
	for i := range servers {
		r.Put(&registry.Server{ID: fmt.Sprintf("s%d", i), Service: "service", DataCentre: "dc"})
	}
	s := schedule.New(r, vm, "dc")
	e := New(vm, s, slog.New(slog.NewJSONHandler(io.Discard, nil)), func() int64 { return 3 })
	s.OnPlaced = e.SendSoon
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	return e, s, conn
}

// Guards against gateways that place prompts without knowing each other's
// loads: the fifth prompt finds no slot, because a peer has taken all four. The
// slots are free again after the peer's requests have ended.
func TestPeersLearnOfPlacements(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, sa, connA := newExchange(t, "a")
	b, sb, connB := newExchange(t, "b")
	a.SetPeers(map[string]netip.AddrPort{"b": connB.LocalAddr().(*net.UDPAddr).AddrPort(), "a": connA.LocalAddr().(*net.UDPAddr).AddrPort()})
	is.Equal(a.Processes(), 2)
	is.Equal(b.Processes(), assumedProcesses)
	go func() { _ = a.Run(ctx, connA) }()
	go func() { _ = b.Run(ctx, connB) }()
	// Invalid datagrams must not end the exchange.
	_, err := connA.WriteToUDPAddrPort([]byte("\xff garbage"), connB.LocalAddr().(*net.UDPAddr).AddrPort())
	is.NoErr(err)
	engine := &dispatch.Engine{Slots: 4, MemoryTokens: 100_000, ChunkTokens: 2048, StepsPerPass: 10, StepMillis: 1, PrefillTokensPerMilli: 100}
	request := func(timeout time.Duration) schedule.Request {
		now := time.Now()
		return schedule.Request{Service: "service", Engine: engine, LatencyTarget: time.Second, Arrived: now, Deadline: now.Add(timeout),
			Prompt: dispatch.Prompt{Tokens: 1000, AnswerTokens: 10, TargetMillis: 1000}}
	}
	var taken []*schedule.Assignment
	for range 4 {
		got, err := sa.Acquire(ctx, request(10*time.Second))
		is.NoErr(err)
		taken = append(taken, got)
	}
	time.Sleep(200 * time.Millisecond)
	_, err = sb.Acquire(ctx, request(100*time.Millisecond))
	is.True(err != nil)
	for _, got := range taken {
		got.End()
	}
	time.Sleep(200 * time.Millisecond)
	_, err = sb.Acquire(ctx, request(100*time.Millisecond))
	is.NoErr(err)
}

// Guards against a configuration version of a peer that is not passed on, and against
// one of a late message that is.
func TestConfigVersionOfAPeer(t *testing.T) {
	is := is.New(t)
	e, _, conn := newExchange(t, "a")
	defer func() { _ = conn.Close() }()
	var versions []int64
	e.OnPeerConfig = func(version int64) { versions = append(versions, version) }
	e.handleLoads(&wire.PeerLoads{Vm: "b", Process: 1, Sequence: 2, ConfigVersion: 4, Complete: true})
	e.handleLoads(&wire.PeerLoads{Vm: "b", Process: 1, Sequence: 1, ConfigVersion: 3, Complete: true})
	is.Equal(versions, []int64{4})
}

// Guards against a gateway that starts at peak load and takes full engines for
// idle until its peers next send all of their loads.
func TestStartedGatewayRequestsAllLoads(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, sa, connA := newExchange(t, "a")
	_, _, connB := newExchange(t, "b")
	addressB := connB.LocalAddr().(*net.UDPAddr).AddrPort()
	a.SetPeers(map[string]netip.AddrPort{"b": addressB})
	go func() { _ = a.Run(ctx, connA) }()
	engine := &dispatch.Engine{Slots: 4, MemoryTokens: 100_000, ChunkTokens: 2048, StepsPerPass: 10, StepMillis: 1, PrefillTokensPerMilli: 100}
	place := func() {
		now := time.Now()
		_, err := sa.Acquire(ctx, schedule.Request{Service: "service", Engine: engine, Arrived: now, Deadline: now.Add(10 * time.Second),
			Prompt: dispatch.Prompt{Tokens: 1000, AnswerTokens: 10}})
		is.NoErr(err)
	}
	place()
	time.Sleep(2 * keepaliveInterval) // the first datagram, with all loads, reaches the socket of b before its restart
	is.NoErr(connB.Close())
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addressB))
	is.NoErr(err)
	b, sb, unused := newExchange(t, "b")
	is.NoErr(unused.Close())
	go func() { _ = b.Run(ctx, conn) }()
	time.Sleep(3 * keepaliveInterval) // b requests all loads; without that they come after completeInterval, which is longer
	now := time.Now()
	got, err := sb.Acquire(ctx, schedule.Request{Service: "service", Engine: engine, Arrived: now, Deadline: now.Add(time.Second),
		Prompt: dispatch.Prompt{Tokens: 1000, AnswerTokens: 10}})
	is.NoErr(err)
	is.Equal(got.Load.Decoding+got.Load.Prefilling, 1)
}

// Guards against an unresponsive server that each gateway has to detect by
// itself.
func TestPeersLearnOfUnreachableServers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, sa, connA := newExchangeOf(t, "a", 3)
	b, sb, connB := newExchangeOf(t, "b", 3)
	a.SetPeers(map[string]netip.AddrPort{"b": connB.LocalAddr().(*net.UDPAddr).AddrPort()})
	suspected := make(chan string, 1)
	sb.OnPeerSuspect = func(peer, service, id string) { suspected <- peer + " " + service + " " + id }
	now := time.Now()
	got, err := sa.Acquire(ctx, schedule.Request{Service: "service", Arrived: now, Deadline: now.Add(time.Second)})
	is.NoErr(err)
	got.Observe(suspect.Unreachable)
	got.End()
	go func() { _ = b.Run(ctx, connB) }()
	go func() { _ = a.Run(ctx, connA) }()
	select {
	case what := <-suspected:
		is.Equal(what, "a service "+got.Server.ID)
	case <-time.After(completeInterval):
		t.Fatal("the peer does not suspect the server")
	}
}

// Guards against the loads of a restarted gateway that its peers ignore until its
// clock, which was set back, has caught up; and against late datagrams that count.
func TestLoadsAfterARestartWithTheClockSetBack(t *testing.T) {
	is := is.New(t)
	e, s, conn := newExchange(t, "a")
	defer func() { _ = conn.Close() }()
	for _, m := range []*wire.PeerLoads{
		{Process: 1, Sequence: 1000, Loads: []*wire.ServerLoad{{Server: "s0", Writers: 3}}},
		{Process: 2, Sequence: 10, Loads: []*wire.ServerLoad{{Server: "s0", Writers: 1}}},
		{Process: 2, Sequence: 9, Loads: []*wire.ServerLoad{{Server: "s0", Writers: 2}}},
	} {
		m.Vm, m.Complete = "b", true
		e.handleLoads(m)
	}
	engine := &dispatch.Engine{Slots: 4, MemoryTokens: 100_000, ChunkTokens: 2048, StepsPerPass: 10, StepMillis: 1, PrefillTokensPerMilli: 100}
	now := time.Now()
	got, err := s.Acquire(context.Background(), schedule.Request{Service: "service", Engine: engine, Arrived: now, Deadline: now.Add(time.Second),
		Prompt: dispatch.Prompt{Tokens: 1000, AnswerTokens: 10}})
	is.NoErr(err)
	is.Equal(got.Load.Decoding, 1)
}

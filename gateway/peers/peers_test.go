package peers

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
)

func newExchange(t *testing.T, vm string) (*Exchange, *schedule.Scheduler, *net.UDPConn) {
	t.Helper()
	r := registry.New(func(registry.Change) {})
	r.Put(&registry.Server{ID: "s0", Service: "service", DataCentre: "dc"})
	s := schedule.New(r, vm, "dc")
	e := New(vm, s, slog.New(slog.NewJSONHandler(io.Discard, nil)), func() int64 { return 3 })
	s.OnPlaced = e.Kick
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	return e, s, conn
}

// Guards against gateways that place prompts without knowing of each other:
// the fifth prompt finds no slot, because a peer has taken them.
func TestPeersHearOfPlacements(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, sa, connA := newExchange(t, "a")
	b, sb, connB := newExchange(t, "b")
	a.SetPeers(map[string]netip.AddrPort{"b": connB.LocalAddr().(*net.UDPAddr).AddrPort(), "a": connA.LocalAddr().(*net.UDPAddr).AddrPort()})
	is.Equal(a.Processes(), 2)
	is.Equal(b.Processes(), unknownProcesses)
	go func() { _ = a.Run(ctx, connA) }()
	go func() { _ = b.Run(ctx, connB) }()
	// Garbage from elsewhere must not end the exchange.
	_, err := connA.WriteToUDPAddrPort([]byte("\xff garbage"), connB.LocalAddr().(*net.UDPAddr).AddrPort())
	is.NoErr(err)
	engine := &dispatch.Engine{Slots: 4, MemoryTokens: 100_000, ChunkTokens: 2048, StepsPerPass: 10, StepMillis: 1, ReadTokensPerMilli: 100}
	request := func(patience time.Duration) schedule.Request {
		now := time.Now()
		return schedule.Request{Service: "service", Engine: engine, LatencyTarget: time.Second, Arrived: now, Deadline: now.Add(patience),
			Prompt: dispatch.Prompt{Tokens: 1000, Answer: 10, TargetMillis: 1000}}
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

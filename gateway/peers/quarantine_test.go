package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/quarantine"
)

// Guards against crashes that gateways do not tell each other: each of three sees one, and
// all refuse the part.
func TestPeersShareCrashes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	addresses := map[string]netip.AddrPort{}
	var exchanges []*Exchange
	for _, vm := range []string{"a", "b", "c"} {
		e, _, conn := newExchange(t, vm)
		e.Quarantine = quarantine.New(quarantine.Options{VM: vm, Log: slog.New(slog.DiscardHandler), Changed: e.SendSoon})
		addresses[vm] = netip.MustParseAddrPort(conn.LocalAddr().String())
		exchanges = append(exchanges, e)
		group.Go(func() error { return e.Run(ctx, conn) })
	}
	for _, e := range exchanges {
		peers := map[string]netip.AddrPort{}
		for vm, address := range addresses {
			peers[vm] = address
		}
		e.SetPeers(peers)
	}
	for i, e := range exchanges {
		r := e.Quarantine.Track(fmt.Sprint("r", i), fmt.Sprint("account", i), []string{"bad"}, func(error) {})
		r.Sent(fmt.Sprint("s", i))
		r.ServerCrashed()
		r.Done()
		time.Sleep(300 * time.Millisecond)
	}
	for _, e := range exchanges {
		is.Equal(len(e.Quarantine.Entries()), 1)
	}
	cancel()
	is.NoErr(group.Wait())
}

// Guards against reports of another build or a failing gateway that end the process, or
// whose parts take all its memory and time.
func TestOddReportsOfCrashes(t *testing.T) {
	is := is.New(t)
	e, _, conn := newExchange(t, "a")
	defer func() { _ = conn.Close() }()
	e.Quarantine = quarantine.New(quarantine.Options{VM: "a", Log: slog.New(slog.DiscardHandler)})
	var many []string
	for i := range 20_000 {
		many = append(many, fmt.Sprintf("%x", i))
	}
	begun := time.Now()
	for i := range 100 {
		server := fmt.Sprint("s", i)
		e.handleReports(&wire.PeerLoads{Crashes: []*wire.ServerCrash{nil, {}, {Server: server, Parts: many, SentAgoMs: math.MaxUint32},
			{Server: server, Parts: []string{"", strings.Repeat("x", 50_000)}, EndedAgoMs: math.MaxUint32}},
			Cleared: []*wire.ClearedPart{nil, {}, {Part: "x", AgoMs: math.MaxUint32}}})
	}
	is.True(time.Since(begun) < 5*time.Second)
	out := &wire.PeerLoads{}
	is.True(!e.addReports(out, true)) // reports of others are not passed on
}

package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/quarantine"
)

// Guards against IDs that change on the way, and against odd bytes of another build.
func TestPackedParts(t *testing.T) {
	is := is.New(t)
	parts := []string{"0", "00", "abc", "0abc", "5c1e07a2"}
	for i := range 300 {
		parts = append(parts, fmt.Sprintf("%x", i))
	}
	packed, ok := packParts(parts)
	is.True(ok)
	is.Equal(unpackParts(packed), parts)
	_, ok = packParts([]string{"0", "part"})
	is.True(!ok)
	for range 10_000 {
		data := make([]byte, rand.IntN(40))
		for i := range data {
			data[i] = byte(rand.Uint32())
		}
		unpackParts(data)
	}
	is.Equal(len(unpackParts([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 1})), 0)
}

// Guards against a crash that peers never learn of, or without some of its parts, because
// its prompt has more parts than a bound, or than fit a datagram beside other reports.
func TestCrashesWithManyPartsReachPeers(t *testing.T) {
	for _, parts := range []int{63, 64, 65, 1000, 7000} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a, _, connA := newExchange(t, "a")
			b, _, connB := newExchange(t, "b")
			for _, e := range []*Exchange{a, b} {
				e.Quarantine = quarantine.New(quarantine.Options{VM: e.VM, Log: slog.New(slog.DiscardHandler), Changed: e.SendSoon})
			}
			a.SetPeers(map[string]netip.AddrPort{"b": connB.LocalAddr().(*net.UDPAddr).AddrPort()})
			go func() { _ = a.Run(ctx, connA) }()
			go func() { _ = b.Run(ctx, connB) }()
			all := make([]string, parts)
			for i := range all {
				all[i] = fmt.Sprintf("%08x", i)
			}
			for i := range 3 {
				r := a.Quarantine.Track(fmt.Sprint("r", i), "account", all, func(error) {})
				r.Sent(fmt.Sprint("s", i))
				r.ServerCrashed()
				r.Done()
				time.Sleep(300 * time.Millisecond)
			}
			deadline := time.Now().Add(3 * time.Second)
			for len(b.Quarantine.Entries()) == 0 && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			entries := b.Quarantine.Entries()
			is.True(len(entries) > 0)
			others := len(entries[0].With)
			if !entries[0].Group {
				others++
			}
			is.Equal(others, parts)
		})
	}
}

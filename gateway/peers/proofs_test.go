package peers

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/follow"
)

// Guards against gateways that do not share their checks of the store, of which each would
// make as many as one alone, and against a proof that is told only with the next complete
// datagram, before which the others check the store themselves.
func TestProofsReachPeersAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, _, connA := newExchangeOf(t, "a", 1)
	b, _, connB := newExchangeOf(t, "b", 1)
	a.SetPeers(map[string]netip.AddrPort{"b": connB.LocalAddr().(*net.UDPAddr).AddrPort()})
	a.Proofs = func() []follow.Proof {
		return []follow.Proof{{Prefix: "config", LastChange: 7, Through: 9, At: time.Now().Add(-time.Second)}}
	}
	type told struct {
		proofs []follow.Proof
		at     time.Time
	}
	got := make(chan told, 100)
	b.OnProofs = func(proofs []follow.Proof) { got <- told{proofs, time.Now()} }
	go func() { _ = a.Run(ctx, connA) }()
	go func() { _ = b.Run(ctx, connB) }()
	<-got // of the first complete datagram
	sent := time.Now()
	a.SendProofs()
	next := <-got
	is.True(next.at.Sub(sent) < completeInterval/2)
	is.Equal(len(next.proofs), 1)
	p := next.proofs[0]
	is.Equal(p.Prefix, "config")
	is.Equal(p.LastChange, follow.Position(7))
	is.Equal(p.Through, follow.Position(9))
	age := next.at.Sub(p.At)
	is.True(age >= 900*time.Millisecond && age < 1500*time.Millisecond)
}

// Guards against a datagram with proofs without end.
func TestOddProofsAreBounded(t *testing.T) {
	is := is.New(t)
	e, _, conn := newExchangeOf(t, "a", 1)
	defer func() { _ = conn.Close() }()
	count := 0
	e.OnProofs = func(proofs []follow.Proof) { count += len(proofs) }
	m := &wire.PeerLoads{Vm: "b", Sequence: 1}
	for range 10_000 {
		m.Proofs = append(m.Proofs, &wire.StateProof{Prefix: "x", Through: -1, AgoMs: 1 << 31})
	}
	e.handleLoads(m)
	is.Equal(count, maxProofs)
}

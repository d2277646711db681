package peers

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/evacuation"
	"camphorwick.dev/gateway/follow"
)

// newEvacuations returns a list that has read an empty store, and the data centres that it
// reports as evacuated.
func newEvacuations(e *Exchange) (*evacuation.List, <-chan map[string]bool) {
	changes := make(chan map[string]bool, 10)
	l := evacuation.New(evacuation.Options{Log: slog.New(slog.DiscardHandler), Revision: func() follow.Position { return 1 }, Changed: func(evacuated map[string]bool) {
		changes <- evacuated
		e.SendEvacuations()
	}})
	l.Replace(nil)
	<-changes
	e.Evacuations = l
	return l, changes
}

// Guards against a gateway that the store turns away and that goes on to use an evacuated
// data centre, although its peers know of the evacuation.
func TestEvacuationsReachPeersAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, _, connA := newExchangeOf(t, "a", 1)
	b, _, connB := newExchangeOf(t, "b", 1)
	a.SetPeers(map[string]netip.AddrPort{"b": connB.LocalAddr().(*net.UDPAddr).AddrPort()})
	la, _ := newEvacuations(a)
	_, changes := newEvacuations(b)
	go func() { _ = a.Run(ctx, connA) }()
	go func() { _ = b.Run(ctx, connB) }()
	la.MergePeer("c", []evacuation.Mark{{DataCentre: "dc-1", Revision: 7, Evacuated: true}})
	for _, want := range []bool{true, false} {
		select {
		case evacuated := <-changes:
			is.Equal(evacuated["dc-1"], want)
		case <-time.After(2 * time.Second):
			t.Fatal("the peer was not told")
		}
		la.MergePeer("c", []evacuation.Mark{{DataCentre: "dc-1", Revision: 9}})
	}
}

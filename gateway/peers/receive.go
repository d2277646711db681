package peers

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
)

// takeSyncRequesters returns and clears the peers that have requested all
// loads.
func (e *Exchange) takeSyncRequesters() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	syncRequesters := e.syncRequesters
	e.syncRequesters = nil
	return syncRequesters
}

// maxSyncRequesters bounds the pending sync requests. A peer beyond it receives
// all loads at the end of completeInterval.
const maxSyncRequesters = 64

func (e *Exchange) addSyncRequester(peer netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.syncRequesters) < maxSyncRequesters && !slices.Contains(e.syncRequesters, peer) {
		e.syncRequesters = append(e.syncRequesters, peer)
	}
}

// requestSync requests all loads of a peer, at most once in syncRequestInterval.
func (e *Exchange) requestSync(conn *net.UDPConn, vm string, peer netip.AddrPort) {
	now := time.Now()
	if now.Sub(e.lastSyncRequest[vm]) < syncRequestInterval {
		return
	}
	e.lastSyncRequest[vm] = now
	e.sendTo(conn, &wire.PeerLoads{Vm: e.VM, Asks: true}, []netip.AddrPort{peer})
}

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.Log.Debug("datagram not read", "error", err.Error())
			continue
		}
		message := &wire.PeerLoads{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil || message.GetVm() == "" {
			e.Log.Debug("datagram is not a peer message", "bytes", n)
			continue
		}
		switch {
		case message.GetAsks():
			e.addSyncRequester(source)
			e.SendSoon()
		case !e.handleLoads(message):
			e.requestSync(conn, message.GetVm(), source)
		}
	}
}

// handleLoads records the loads of a peer. It returns false if a complete
// message must be requested: m has only the changed loads, and the others are
// not known because this process has started or has dropped the loads of the
// peer.
func (e *Exchange) handleLoads(m *wire.PeerLoads) bool {
	id := messageID{m.GetProcess(), m.GetSequence()}
	if last := e.newest[m.GetVm()]; id.process == last.process && id.sequence <= last.sequence {
		return true // a late or duplicate datagram is ignored
	}
	e.newest[m.GetVm()] = id
	e.OnPeerConfig(m.GetConfigVersion())
	e.handleReports(m)
	e.handleLeaving(m)
	e.handleProofs(m)
	e.handleEvacuations(m)
	loads := make(map[string]dispatch.Load, len(m.GetLoads()))
	for _, l := range m.GetLoads() {
		loads[l.GetServer()] = dispatch.Load{Decoding: int(l.GetWriters()), Prefilling: int(l.GetWaiting()), Helping: int(l.GetHelping()),
			ReservedTokens: int(l.GetContextTokens()), EventGapLimitMillis: float64(l.GetGapMs()),
			Prefill: dispatch.PrefillWork{Tokens: float64(l.GetReadingTokens()), MillionPairs: float64(l.GetReadingMillionPairs())}}
	}
	if list := m.GetUnreachable(); len(list) > 0 {
		reported := make([]schedule.UnreachableServer, 0, len(list))
		for _, u := range list {
			reported = append(reported, schedule.UnreachableServer{Service: u.GetService(), ID: u.GetServer(), Remaining: time.Duration(u.GetHoldMs()) * time.Millisecond})
		}
		e.Scheduler.ReportUnreachable(m.GetVm(), reported)
	}
	return e.Scheduler.SetPeer(m.GetVm(), loads, m.GetComplete())
}

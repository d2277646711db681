package peers

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/policy/dispatch"
)

func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	// Peers of earlier builds compare the sequence alone, so it increases across
	// restarts as long as the clock is not set back.
	sequence := uint64(time.Now().UnixNano())
	sent := map[string]*wire.ServerLoad{} // the last loads sent, by server
	groups := remoteGroups{exchange: e, last: map[string]*groupState{}}
	var lastComplete, lastSent time.Time
	timer := time.NewTimer(changesInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		case <-timer.C:
		}
		complete := time.Since(lastComplete) >= completeInterval
		loads := e.loads(sent, complete)
		hasReports := e.addReports(loads, complete)
		hasReports = e.addLeaving(loads) || hasReports
		hasReports = e.addProofs(loads) || hasReports
		hasReports = e.addEvacuations(loads) || hasReports
		targets := e.targets()
		if complete || hasReports || len(loads.GetLoads()) > 0 || len(loads.GetUnreachable()) > 0 || len(sent) > 0 && time.Since(lastSent) >= keepaliveInterval {
			sequence++
			loads.Sequence = sequence
			e.sendTo(conn, loads, targets)
			lastSent = time.Now()
		}
		sequence = groups.send(conn, loads, sequence)
		if complete {
			lastComplete = time.Now()
		}
		if syncRequesters := e.takeSyncRequesters(); len(syncRequesters) > 0 {
			full := e.loads(map[string]*wire.ServerLoad{}, true)
			e.addReports(full, true)
			e.addLeaving(full)
			e.addEvacuations(full)
			sequence++
			full.Sequence = sequence
			e.sendTo(conn, full, syncRequesters)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(minInterval, time.Duration(len(targets))*intervalPerPeer)):
		}
		timer.Reset(changesInterval)
	}
}

func (e *Exchange) sendTo(conn *net.UDPConn, loads *wire.PeerLoads, targets []netip.AddrPort) {
	body, err := proto.Marshal(loads)
	if err != nil {
		e.Log.Error("datagram not encoded", "servers", len(loads.GetLoads()), "error", err.Error())
		return
	}
	if len(body) > maxDatagram {
		e.Log.Error("datagram too large, not sent", "servers", len(loads.GetLoads()), "bytes", len(body), "limit", maxDatagram)
		return
	}
	for _, target := range targets {
		if _, err := conn.WriteToUDPAddrPort(body, target); err != nil && !errors.Is(err, net.ErrClosed) {
			e.Log.Debug("datagram not sent", "peer", target.String(), "error", err.Error())
		}
	}
}

// targets returns the peers that are told all loads as they change.
func (e *Exchange) targets() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := make([]netip.AddrPort, 0, len(e.peers))
	for vm, address := range e.peers {
		if _, remote := e.remote[vm]; !remote {
			targets = append(targets, address)
		}
	}
	return targets
}

// loads returns all loads of this process if complete is set, otherwise those
// that differ from sent, and records them in sent. It adds the servers that this
// process cannot reach.
func (e *Exchange) loads(sent map[string]*wire.ServerLoad, complete bool) *wire.PeerLoads {
	out := &wire.PeerLoads{Vm: e.VM, Process: e.process, ConfigVersion: e.ConfigVersion(), Complete: complete}
	active := map[string]bool{}
	e.Scheduler.OwnLoads(func(id string, l dispatch.Load) {
		active[id] = true
		load := encodeLoad(id, l)
		if !complete && proto.Equal(load, sent[id]) {
			return
		}
		sent[id] = load
		out.Loads = append(out.Loads, load)
	})
	for id := range sent {
		if active[id] {
			continue
		}
		delete(sent, id)
		if !complete {
			out.Loads = append(out.Loads, &wire.ServerLoad{Server: id})
		}
	}
	e.Scheduler.Unreachable(func(service, id string, remaining time.Duration) {
		out.Unreachable = append(out.Unreachable, &wire.UnreachableServer{Service: service, Server: id, HoldMs: uint32(remaining.Milliseconds())})
	})
	return out
}

func encodeLoad(id string, l dispatch.Load) *wire.ServerLoad {
	return &wire.ServerLoad{Server: id, Writers: uint32(l.Decoding), Waiting: uint32(l.Prefilling),
		Helping: uint32(l.Helping), ContextTokens: uint32(l.ReservedTokens), GapMs: uint32(l.EventGapLimitMillis),
		ReadingTokens: round(l.Prefill.Tokens, tokenStep), ReadingMillionPairs: round(l.Prefill.MillionPairs, millionPairStep)}
}

// Rounding steps for the remaining prefill, in tokens and in millions of token
// pairs, so that its steady decrease is not sent as a change each time. A
// receiver adds the loads of all peers and with them the rounding errors, so the
// steps are far smaller than a usual prompt.
const (
	tokenStep       = 512
	millionPairStep = 32
)

func round(x, step float64) float32 { return float32(math.Round(x/step) * step) }

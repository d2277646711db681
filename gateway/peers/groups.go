package peers

import (
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
)

// In a large installation a process tells all its loads only to the peers in its own data
// centre. Those in another one are told the loads on the servers there, which they mostly
// use, and reports. So the datagrams of a process, and the bytes between data centres,
// grow with the gateways of one data centre and with the requests that leave it, not with
// all gateways.
const (
	// groupInterval is the shortest time between two datagrams to the peers of another data
	// centre, groupKeepalive the longest while this process has requests on servers there.
	groupInterval  = 100 * time.Millisecond
	groupKeepalive = 300 * time.Millisecond
)

// remotePeers returns the data centres of the peers that are not in the given one, by VM,
// or nil for an installation in which all gateways are told the same.
func remotePeers(peers map[string]netip.AddrPort, dataCentres map[string]string, own string) map[string]string {
	if len(peers) < schedule.LargeInstallation || len(dataCentres) == 0 {
		return nil
	}
	remote := map[string]string{}
	for vm := range peers {
		if dataCentre := dataCentres[vm]; dataCentre != own {
			remote[vm] = dataCentre
		}
	}
	return remote
}

// remoteGroups sends datagrams to the peers in other data centres. Only Exchange.send uses
// it.
type remoteGroups struct {
	exchange *Exchange
	last     map[string]*groupState // by data centre
}

// groupState is what the peers of a data centre were told last.
type groupState struct {
	loads map[string]*wire.ServerLoad
	at    time.Time
}

// send sends each data centre its datagram if it is due. message is what the peers in the
// own data centre were told, of which the reports go to all. It returns the sequence number
// of the last datagram.
func (g *remoteGroups) send(conn *net.UDPConn, message *wire.PeerLoads, sequence uint64) uint64 {
	targets := g.targets()
	if len(targets) == 0 {
		return sequence
	}
	now := time.Now()
	loads := g.loads()
	// Answers to suspected parts are repeated with each complete datagram; other data
	// centres are told only the first reports of them.
	reports := len(message.GetCrashes()) > 0 || len(message.GetCleared()) > 0 && !message.GetComplete() ||
		len(message.GetEvacuations()) > 0 && !message.GetComplete()
	for dataCentre, addresses := range targets {
		last := g.last[dataCentre]
		if last == nil {
			last = &groupState{}
			g.last[dataCentre] = last
		}
		leaving := g.leavingIn(dataCentre, message)
		if !reports && len(leaving) == 0 && !last.due(loads[dataCentre], now) {
			continue
		}
		sequence++
		out := &wire.PeerLoads{Vm: message.GetVm(), Process: message.GetProcess(), ConfigVersion: message.GetConfigVersion(), Sequence: sequence,
			Complete: true, Crashes: message.GetCrashes(), Cleared: message.GetCleared(), Leaving: leaving, Evacuations: message.GetEvacuations()}
		for _, load := range loads[dataCentre] {
			out.Loads = append(out.Loads, load)
		}
		g.exchange.sendTo(conn, out, addresses)
		last.loads, last.at = loads[dataCentre], now
	}
	return sequence
}

// leavingIn returns the servers of a data centre that leave, of those in a message.
func (g *remoteGroups) leavingIn(dataCentre string, message *wire.PeerLoads) []*wire.LeavingServer {
	var out []*wire.LeavingServer
	for _, s := range message.GetLeaving() {
		if g.exchange.DataCentreOf(s.GetServer()) == dataCentre {
			out = append(out, s)
		}
	}
	return out
}

// due reports whether a data centre is to be told loads now.
func (s *groupState) due(loads map[string]*wire.ServerLoad, now time.Time) bool {
	elapsed := now.Sub(s.at)
	if elapsed < groupInterval {
		return false
	}
	if len(loads) > 0 && elapsed >= groupKeepalive || len(loads) != len(s.loads) {
		return true
	}
	for id, load := range loads {
		if !proto.Equal(load, s.loads[id]) {
			return true
		}
	}
	return false
}

// loads returns the own loads by the data centre of the server and by server.
func (g *remoteGroups) loads() map[string]map[string]*wire.ServerLoad {
	e := g.exchange
	out := map[string]map[string]*wire.ServerLoad{}
	e.Scheduler.OwnLoads(func(id string, l dispatch.Load) {
		dataCentre := e.DataCentreOf(id)
		if dataCentre == e.DataCentre {
			return
		}
		if out[dataCentre] == nil {
			out[dataCentre] = map[string]*wire.ServerLoad{}
		}
		out[dataCentre][id] = encodeLoad(id, l)
	})
	return out
}

// targets returns the addresses of the peers in other data centres, by data centre.
func (g *remoteGroups) targets() map[string][]netip.AddrPort {
	e := g.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.remote) == 0 {
		return nil
	}
	out := map[string][]netip.AddrPort{}
	for vm, dataCentre := range e.remote {
		out[dataCentre] = append(out[dataCentre], e.peers[vm])
	}
	return out
}

package node

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"camphorwick.dev/gateway/follow"
	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
)

// configHandler is the follow.Handler that puts configurations from the store in
// force.
type configHandler struct{ node *Node }

// Replace puts the listed configuration in force.
func (h *configHandler) Replace(items []follow.Item) {
	for _, item := range items {
		h.Change(item)
	}
}

// Change puts a new configuration in force if it can be decoded.
func (h *configHandler) Change(item follow.Item) {
	n := h.node
	if item.Key != n.protocol.ConfigKey || item.Deleted {
		return
	}
	config, err := n.protocol.DecodeConfig(item.Value)
	if err != nil {
		n.options.Log.Error("configuration not decoded, the last one stays in force", "revision", item.Revision, "error", err.Error())
		return
	}
	if n.gateway.SetTable(routing.NewTable(config)) {
		n.options.Log.Info("configuration in force", "version", config.Version, "revision", item.Revision, "routes", len(config.Routes))
	}
}

// Failed does nothing: the last configuration stays in force.
func (h *configHandler) Failed(error) {}

// Restored does nothing: a changed configuration arrives by Change.
func (h *configHandler) Restored() {}

// serverHandler is the follow.Handler that updates the registry from the store.
type serverHandler struct {
	node *Node
	era  int64 // of the store, at the last read
}

// Replace replaces the list of servers. That of a new era is from a copy of the store.
func (h *serverHandler) Replace(items []follow.Item) {
	before := h.era
	var list []*registry.Server
	for _, item := range items {
		if s := h.decode(item); s != nil {
			list = append(list, s)
		}
		h.era = max(h.era, item.Revision.Era())
	}
	if before > 0 && h.era > before {
		h.node.registry.Restore(list, time.Now())
		return
	}
	h.node.registry.Replace(list, time.Now())
}

// Change adds, updates or removes one server. A server whose registration cannot
// be decoded is removed.
func (h *serverHandler) Change(item follow.Item) {
	id := strings.TrimPrefix(item.Key, h.node.protocol.ServersPrefix)
	if item.Deleted {
		h.node.registry.Remove(id, time.Now())
		return
	}
	if s := h.decode(item); s != nil {
		h.node.registry.Put(s)
		return
	}
	h.node.registry.Remove(id, time.Now())
}

func (h *serverHandler) decode(item follow.Item) *registry.Server {
	s, err := h.node.protocol.DecodeServer(item.Key, item.Value)
	if err != nil {
		h.node.options.Log.Warn("server registration not decoded", "key", item.Key, "revision", item.Revision, "error", err.Error())
		return nil
	}
	return s
}

// Failed lets the registry distrust removals of servers.
func (h *serverHandler) Failed(error) { h.node.registry.DistrustRemovals(time.Now()) }

// Restored restarts the grace period in which servers register again after an
// outage.
func (h *serverHandler) Restored() { h.node.registry.DistrustRemovals(time.Now()) }

// peerHandler is the follow.Handler that maintains the list of the other
// gateways.
type peerHandler struct {
	node  *Node
	known map[string]peer // by VM
	self  bool            // this gateway is listed
}

type peer struct {
	address    netip.AddrPort // of the port for peers
	dataCentre string
}

// Replace replaces the list of gateways.
func (h *peerHandler) Replace(items []follow.Item) {
	clear(h.known)
	wasListed := h.self
	h.self = false
	for _, item := range items {
		h.update(item)
	}
	if wasListed && !h.self {
		h.node.reportRegistrationLost()
	}
	h.publish()
}

// Change adds, updates or removes one gateway.
func (h *peerHandler) Change(item follow.Item) {
	h.update(item)
	if item.Deleted && strings.TrimPrefix(item.Key, peersPrefix) == h.node.options.VM {
		h.node.reportRegistrationLost()
	}
	h.publish()
}

func (h *peerHandler) update(item follow.Item) {
	vm := strings.TrimPrefix(item.Key, peersPrefix)
	delete(h.known, vm)
	if vm == h.node.options.VM {
		h.self = !item.Deleted
		return
	}
	if item.Deleted {
		return
	}
	var e registration
	err := json.Unmarshal(item.Value, &e)
	if err == nil {
		var address netip.AddrPort
		if address, err = netip.ParseAddrPort(e.Address); err == nil {
			h.known[vm] = peer{address: address, dataCentre: e.DataCentre}
			return
		}
	}
	h.node.options.Log.Warn("gateway registration not decoded", "key", item.Key, "error", err.Error())
}

func (h *peerHandler) publish() {
	addresses := make(map[string]netip.AddrPort, len(h.known))
	dataCentres := make(map[string]string, len(h.known))
	gateways := []schedule.Gateway{{VM: h.node.options.VM, DataCentre: h.node.options.DataCentre}}
	for vm, p := range h.known {
		addresses[vm], dataCentres[vm] = p.address, p.dataCentre
		gateways = append(gateways, schedule.Gateway{VM: vm, DataCentre: p.dataCentre})
	}
	h.node.peers.SetPeersIn(addresses, dataCentres)
	h.node.schedule.SetGateways(gateways)
}

// Failed does nothing: the last list of gateways stays in use.
func (h *peerHandler) Failed(error) {}

// Restored does nothing: changes arrive by Change.
func (h *peerHandler) Restored() {}

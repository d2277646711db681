package member

import (
	"context"
	"errors"
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/link"
)

// maxUpdateBytes is the largest size of a configuration update in bytes. It
// leaves 16 KiB of a control message for the framing.
const maxUpdateBytes = link.MaxControlBytes - 16<<10

// handler implements link.Handler for a Member.
type handler Member

func (h *handler) Heartbeat(peer *wire.Hello) *wire.Heartbeat {
	return &wire.Heartbeat{ConfigRevision: h.Replica.Revision(), Load: h.hooks.Load(peer), Demand: h.hooks.Demand(peer)}
}

func (h *handler) HeartbeatReceived(peer *wire.Hello, heartbeat *wire.Heartbeat) {
	h.Replica.ObservePeerRevision(heartbeat.ConfigRevision)
	h.Tracker.Merge(time.Now(), &wire.Confirmation{Vm: peer.Vm, Role: peer.Role, DataCentre: peer.DataCentre,
		Epoch: peer.Epoch, ConfigRevision: heartbeat.ConfigRevision})
	// A confirmation states which configuration revision is in force at a process.
	// Confirmations expire, so this process renews its own with each heartbeat.
	(*Member)(h).confirmSelf()
	if heartbeat.Load != nil {
		h.hooks.PeerLoad(peer, heartbeat.Load)
	}
	if peer.Role == wire.Role_ROLE_ENTRY {
		h.hooks.PeerDemand(peer, heartbeat.Demand)
	}
}

func (h *handler) ConfigReceived(peer *wire.Hello, update *wire.ConfigUpdate) {
	_, err := h.Replica.Apply(update)
	var gap *fleetconf.MissingRevisionsError
	switch {
	case errors.As(err, &gap):
		// The next heartbeat tells the peer which revisions are missing.
		h.Log.Debug("configuration update skips revisions", "peer", peer.Vm, "error", err.Error())
	case err != nil:
		h.Log.Error("configuration update cannot be applied", "peer", peer.Vm, "error", err.Error())
	}
}

func (h *handler) ConfigFor(revision uint64) *wire.ConfigUpdate {
	// The changes that a peer with this revision is missing.
	return h.Replica.UpdateSince(revision, maxUpdateBytes)
}

func (h *handler) PeerChanged(peer *wire.Hello, usable bool) {
	h.Log.Info("peer changed", "peer", peer.Vm, "peer_data_centre", peer.DataCentre, "usable", usable)
	h.hooks.PeerChanged(peer, usable)
}

func (h *handler) Stream(ctx context.Context, s *link.Stream) { h.hooks.Stream(ctx, s) }

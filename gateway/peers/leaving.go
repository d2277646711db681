package peers

import (
	"time"

	"camphorwick.dev/api/wire"
)

// maxLeaving bounds the leaving servers in one datagram, sent or received.
const maxLeaving = 256

// addLeaving adds the servers to a datagram that have told this process that they leave.
// A datagram with changed loads has them only if there are others than in the one before.
// It reports whether that is so.
func (e *Exchange) addLeaving(out *wire.PeerLoads) (changed bool) {
	e.Scheduler.EachLeaving(func(id string, age time.Duration) {
		if len(out.GetLeaving()) < maxLeaving {
			out.Leaving = append(out.Leaving, &wire.LeavingServer{Server: id, AgoMs: uint32(age.Milliseconds())})
		}
	})
	changed = len(out.GetLeaving()) != e.toldLeaving
	e.toldLeaving = len(out.GetLeaving())
	if !changed && !out.GetComplete() {
		out.Leaving = nil
	}
	return changed
}

// handleLeaving passes on which servers have told a peer that they leave.
func (e *Exchange) handleLeaving(m *wire.PeerLoads) {
	for _, s := range m.GetLeaving()[:min(len(m.GetLeaving()), maxLeaving)] {
		e.Scheduler.HintLeaving(m.GetVm(), s.GetServer(), time.Duration(s.GetAgoMs())*time.Millisecond)
	}
}

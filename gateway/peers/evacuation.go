package peers

import (
	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/evacuation"
	"camphorwick.dev/gateway/follow"
)

// maxEvacuations bounds the marks that are taken from a datagram.
const maxEvacuations = 64

// SendEvacuations triggers a datagram with the evacuations that this process knows. It
// never blocks.
func (e *Exchange) SendEvacuations() {
	e.evacuationsDue.Store(true)
	e.SendSoon()
}

// addEvacuations adds the evacuations to a datagram if it has all loads, or if they have
// changed. It reports whether the latter is so.
func (e *Exchange) addEvacuations(out *wire.PeerLoads) bool {
	due := e.evacuationsDue.Swap(false)
	if e.Evacuations == nil || !due && !out.GetComplete() {
		return false
	}
	for _, m := range e.Evacuations.Marks() {
		out.Evacuations = append(out.Evacuations, &wire.EvacuationMark{DataCentre: m.DataCentre, Revision: int64(m.Revision), Evacuated: m.Evacuated})
	}
	return due
}

// handleEvacuations passes on which evacuations a peer knows.
func (e *Exchange) handleEvacuations(m *wire.PeerLoads) {
	list := m.GetEvacuations()
	if e.Evacuations == nil || len(list) == 0 {
		return
	}
	list = list[:min(len(list), maxEvacuations)]
	marks := make([]evacuation.Mark, 0, len(list))
	for _, mark := range list {
		marks = append(marks, evacuation.Mark{DataCentre: mark.GetDataCentre(), Revision: follow.Position(mark.GetRevision()), Evacuated: mark.GetEvacuated()})
	}
	e.Evacuations.MergePeer(m.GetVm(), marks)
}

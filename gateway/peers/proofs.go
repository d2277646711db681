package peers

import (
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/follow"
)

// maxProofs bounds the proofs that are taken from a datagram. A gateway follows fewer
// prefixes.
const maxProofs = 16

// SendProofs triggers a datagram with the proofs of this process. It never blocks.
func (e *Exchange) SendProofs() {
	e.proofsDue.Store(true)
	e.SendSoon()
}

// addProofs adds the proofs of this process to a datagram if it has all loads, or if new
// proofs are to be told. It reports whether the latter is so.
func (e *Exchange) addProofs(out *wire.PeerLoads) bool {
	due := e.proofsDue.Swap(false)
	if e.Proofs == nil || !due && !out.GetComplete() {
		return false
	}
	now := time.Now()
	for _, p := range e.Proofs() {
		out.Proofs = append(out.Proofs, &wire.StateProof{Prefix: p.Prefix, LastChange: int64(p.LastChange), Through: int64(p.Through), Exact: p.Exact, AgoMs: ageMillis(now, p.At)})
	}
	return due
}

// handleProofs passes on the proofs of a peer.
func (e *Exchange) handleProofs(m *wire.PeerLoads) {
	list := m.GetProofs()
	if e.OnProofs == nil || len(list) == 0 {
		return
	}
	now := time.Now()
	proofs := make([]follow.Proof, 0, len(list))
	for _, p := range list[:min(len(list), maxProofs)] {
		proofs = append(proofs, follow.Proof{Prefix: p.GetPrefix(), LastChange: follow.Position(p.GetLastChange()), Through: follow.Position(p.GetThrough()), Exact: p.GetExact(),
			At: now.Add(-time.Duration(p.GetAgoMs()) * time.Millisecond)})
	}
	e.OnProofs(proofs)
}

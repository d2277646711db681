package link

import (
	"context"
	"time"
)

// retirePollInterval is the interval at which a node checks whether the streams
// to a peer have ended.
const retirePollInterval = 20 * time.Millisecond

// retireTarget marks a target as no longer wanted; the caller holds n.mu. Its
// peer gets no new streams, and its sessions are closed when the streams have
// ended.
func (n *Node) retireTarget(state targetState) {
	if state.retired {
		return
	}
	p := n.peers[state.VM]
	if p == nil || state.stop == nil || n.ended {
		n.stopTarget(state)
		return
	}
	state.retired = true
	n.targets[state.VM] = state
	p.setRetired(true)
	n.group.Go(func() error {
		n.updateUsable(p)
		n.stopWhenUnused(n.ctx, state.VM, p)
		return nil
	})
}

// reuseTarget makes a retired target that is wanted again usable; the caller
// holds n.mu.
func (n *Node) reuseTarget(state targetState) {
	if !state.retired {
		return
	}
	state.retired = false
	n.targets[state.VM] = state
	p := n.peers[state.VM]
	p.setRetired(false)
	n.group.Go(func() error {
		n.updateUsable(p)
		return nil
	})
}

// stopTarget stops the diallers of a target and closes its sessions; the caller
// holds n.mu.
func (n *Node) stopTarget(state targetState) {
	if state.stop != nil {
		state.stop()
	}
	delete(n.targets, state.VM)
}

// stopWhenUnused stops a retired target when no stream to its peer is open. It
// returns early if the target is wanted again.
func (n *Node) stopWhenUnused(ctx context.Context, vm string, p *peer) {
	ticker := time.NewTicker(retirePollInterval)
	defer ticker.Stop()
	for !n.stopIfUnused(vm, p) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stopIfUnused reports whether a retired target needs no more checks.
func (n *Node) stopIfUnused(vm string, p *peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, ok := n.targets[vm]
	if !ok || !state.retired {
		return true
	}
	if p.inUse() {
		return false
	}
	n.stopTarget(state)
	return true
}

func (p *peer) setRetired(retired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = retired
}

// inUse reports whether streams to the peer are open. The streams of a peer that
// is lost end by themselves.
func (p *peer) inUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usable || p.alive && p.data != nil && p.data.inUse()
}

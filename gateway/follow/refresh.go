package follow

import (
	"context"
	"sync"
	"time"
)

// refreshRequest records that a prefix is to be read, and ends the watch that waits
// meanwhile. It is safe for concurrent use.
type refreshRequest struct {
	mu        sync.Mutex
	requested bool               // since the last read began
	delivered *delivery          // changes that need not be asked for; nil for none
	interrupt context.CancelFunc // ends the watch that waits for its answer; nil if none does
}

// delivery is the answer to a check, as far as it concerns one prefix.
type delivery struct {
	items    []Item
	revision Position
	began    time.Time
}

// deliver makes the follower handle changes without a call of its own.
func (r *refreshRequest) deliver(d delivery) {
	r.mu.Lock()
	r.delivered = &d
	r.mu.Unlock()
	r.request()
}

// takeDelivery ends the request if it is for changes that are delivered, and returns them.
func (r *refreshRequest) takeDelivery() *delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.delivered
	if d == nil {
		return nil
	}
	r.requested, r.delivered = false, nil
	return d
}

func (r *refreshRequest) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requested = true
	if r.interrupt != nil {
		r.interrupt()
	}
}

// restartWatch ends the watch that waits for its answer, so that it is sent again.
func (r *refreshRequest) restartWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupt != nil {
		r.interrupt()
	}
}

func (r *refreshRequest) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested
}

// clear is called when a read begins.
func (r *refreshRequest) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requested, r.delivered = false, nil
}

// startWait records that a watch waits for its answer. It returns false if the prefix
// is to be read instead.
func (r *refreshRequest) startWait(interrupt context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requested {
		return false
	}
	r.interrupt = interrupt
	return true
}

// endWait records that the answer to the watch arrives or that the watch has ended.
func (r *refreshRequest) endWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupt = nil
}

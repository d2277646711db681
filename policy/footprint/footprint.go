// Package footprint bounds what a process holds for its callers: connections, and the memory
// of requests. It answers the load "many callers hold back the ends of their requests": each
// of them keeps within its own limits, and together they take all descriptors and all memory.
//
// A Tracker has one Holder for each connection. When room is short, the holder that has kept the
// process waiting longest is ended in favour of a new one. A holder whose request is complete
// is never ended: it waits for this process, not the other way round. Small requests have room
// of their own, which large ones cannot take.
package footprint

import (
	"sync"
	"time"
)

// Stage is what a connection waits for.
type Stage uint8

// Stages of a holder.
const (
	Idle    Stage = iota // nothing of a request has arrived
	Head                 // the head of a request is incomplete
	Body                 // the body of a request is incomplete
	Busy                 // the request is complete and not yet answered
	Writing              // the caller has to read before more of its answer can be written
	Refused              // the request is answered, and the rest of its body is awaited
)

const (
	// SmallRoom is the most that may be taken of the room for small requests at once, in
	// bytes.
	SmallRoom = 64 << 10
	// minBodyTime and minWriteTime are how long a body has been incomplete, and a write
	// has waited for its caller, before it is ended because other requests need the memory.
	minBodyTime  = 250 * time.Millisecond
	minWriteTime = time.Second
)

// Limits bound the sums over all holders; 0 means no limit.
type Limits struct {
	Holders int
	// Bytes is the memory of requests, SmallBytes that which only takes of at most
	// SmallRoom may use besides.
	Bytes, SmallBytes int64
}

// Tracker holds the holders of a process. It is safe for concurrent use. The functions that end
// holders are called without a lock.
type Tracker struct {
	limits Limits

	mu      sync.Mutex
	holders map[*Holder]struct{}
	taken   int64 // of Limits.Bytes
	small   int64 // of Limits.SmallBytes
	leaving int64 // part of taken and small that belongs to holders that were ended
	ended   int   // holders that were ended, in all
}

// NewTracker returns a tracker without holders.
func NewTracker(limits Limits) *Tracker {
	return &Tracker{limits: limits, holders: map[*Holder]struct{}{}}
}

// Holder is what is held for one connection. A nil Holder is not bounded.
type Holder struct {
	tracker *Tracker

	// The following fields are guarded by tracker.mu.

	stage  Stage
	since  time.Time // start of the stage
	end    func()
	served bool  // a request was answered
	bytes  int64 // taken and not returned
	ended  bool
}

// Room is memory that a holder has taken. The zero Room is empty.
type Room struct {
	holder *Holder
	bytes  int64
	small  bool
}

// Open adds a holder in stage Idle, which end ends. If there are too many, another one is
// ended; false means that none may be.
func (t *Tracker) Open(end func(), now time.Time) (*Holder, bool) {
	h := &Holder{tracker: t, since: now, end: end}
	t.mu.Lock()
	endOther := func() {}
	if t.limits.Holders > 0 && len(t.holders) >= t.limits.Holders {
		victim := t.longestWaiting()
		if victim == nil {
			t.mu.Unlock()
			return nil, false
		}
		endOther = t.remove(victim)
	}
	t.holders[h] = struct{}{}
	t.mu.Unlock()
	endOther()
	return h, true
}

// rank orders the holders that may be ended for a new connection: the lowest first, those of
// the same rank by their time. Idle connections that have brought requests before are those
// of ordinary callers. It returns false for a holder that may not be ended.
func (h *Holder) rank() (int, bool) {
	switch h.stage {
	case Refused:
		return 0, true
	case Idle:
		if h.served {
			return 5, true
		}
		return 1, true
	case Head:
		return 2, true
	case Body:
		return 3, true
	case Writing:
		return 4, true
	}
	return 0, false
}

// longestWaiting returns the holder to end for a new connection, or nil. mu is held.
func (t *Tracker) longestWaiting() *Holder {
	var worst *Holder
	worstRank := 0
	for h := range t.holders {
		rank, ok := h.rank()
		if !ok {
			continue
		}
		if worst == nil || rank < worstRank || rank == worstRank && h.since.Before(worst.since) {
			worst, worstRank = h, rank
		}
	}
	return worst
}

// remove takes a holder out of the tracker and returns the function that ends it, to be called
// without the lock. What it has taken counts until it returns it. mu is held.
func (t *Tracker) remove(h *Holder) (end func()) {
	h.ended = true
	t.leaving += h.bytes
	t.ended++
	delete(t.holders, h)
	return h.end
}

// Enter records the start of a stage, which end ends.
func (h *Holder) Enter(stage Stage, end func(), now time.Time) {
	if h == nil {
		return
	}
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	if stage == Idle && h.stage != Idle {
		h.served = true
	}
	h.stage, h.since, h.end = stage, now, end
}

// Ended reports whether the holder was ended in favour of another one.
func (h *Holder) Ended() bool {
	if h == nil {
		return false
	}
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	return h.ended
}

// Close removes the holder. Room that it has taken counts until it is returned.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	delete(h.tracker.holders, h)
}

// Take takes n bytes. It returns false if there is no room, or if the holder was ended; coming
// then says that other holders were ended, so that there will be room soon.
func (h *Holder) Take(n int64, now time.Time) (room Room, ok, coming bool) {
	if h == nil {
		return Room{}, true, false
	}
	t := h.tracker
	t.mu.Lock()
	if h.ended {
		t.mu.Unlock()
		return Room{}, false, false
	}
	if room, ok = h.take(n); ok {
		t.mu.Unlock()
		return room, true, false
	}
	victims, enough := t.victims(h, n, now)
	ends := make([]func(), 0, len(victims))
	for _, v := range victims {
		ends = append(ends, t.remove(v))
	}
	t.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return Room{}, false, enough
}

// take takes n bytes if there is room. mu is held.
func (h *Holder) take(n int64) (Room, bool) {
	t := h.tracker
	switch {
	case n <= SmallRoom && t.small+n <= t.limits.SmallBytes:
		t.small += n
		h.bytes += n
		return Room{h, n, true}, true
	case t.limits.Bytes == 0 || t.taken+n <= t.limits.Bytes:
		t.taken += n
		h.bytes += n
		return Room{h, n, false}, true
	}
	return Room{}, false
}

// victims returns the holders to end so that n bytes become free, longest waiting first, and
// whether these are enough. It returns none if they are not. mu is held.
func (t *Tracker) victims(taker *Holder, n int64, now time.Time) ([]*Holder, bool) {
	missing := t.taken + n - t.limits.Bytes - t.leaving
	var victims []*Holder
	chosen := map[*Holder]bool{taker: true}
	for missing > 0 {
		var worst *Holder
		for h := range t.holders {
			if !chosen[h] && h.bytes > 0 && h.stalled(now) && (worst == nil || h.since.Before(worst.since)) {
				worst = h
			}
		}
		if worst == nil {
			return nil, false
		}
		chosen[worst] = true
		victims = append(victims, worst)
		missing -= worst.bytes
	}
	return victims, true
}

// stalled reports whether the memory of a holder may be given to others.
func (h *Holder) stalled(now time.Time) bool {
	waited := now.Sub(h.since)
	return h.stage == Body && waited >= minBodyTime || h.stage == Writing && waited >= minWriteTime
}

// Return gives the room back.
func (r Room) Return() {
	if r.holder == nil {
		return
	}
	t := r.holder.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.small {
		t.small -= r.bytes
	} else {
		t.taken -= r.bytes
	}
	r.holder.bytes -= r.bytes
	if r.holder.ended {
		t.leaving -= r.bytes
	}
}

// Usage is what the holders of a tracker hold.
type Usage struct {
	Holders int
	Bytes   int64
	// Ended is the number of holders that were ended in favour of others so far.
	Ended int
}

// Usage returns what is held now.
func (t *Tracker) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Usage{Holders: len(t.holders), Bytes: t.taken + t.small, Ended: t.ended}
}

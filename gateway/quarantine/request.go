package quarantine

import (
	"fmt"
	"slices"
	"time"

	"camphorwick.dev/policy/quarantine"
)

// soundAfter is how long an answer must go on after its first event until its prompt counts as
// sound; an answer that ends as it should proves it at once. A server that crashes on its
// prompt does so as it begins to write.
const soundAfter = 30 * time.Millisecond

// Request is a request whose prompt has shared parts. Its methods but end may be called on
// a nil Request, which has none.
type Request struct {
	list    *List
	id      string // of the caller, with a number that no other request has
	account string
	parts   partSet
	end     func(error)

	// The following fields are guarded by List.mu.

	trial      []claim // entries of whose parts the request is a trial
	trialSent  bool    // a server may have run the trial, so it must not be sent to another one
	mayBeEnded bool    // no event has been received since the last call of Admit
	server     string  // server that the request was sent to last; empty for none
	sentAt     time.Time
	firstEvent time.Time // zero before the first event of the answer
	// sound is set when the prompt has proved to be sound. Only the goroutine that handles
	// the request uses it.
	sound bool
}

// Track begins to track a request. end is called with a RefusedError, not more than once
// and possibly before Track returns, to end a request that may no longer be sent or whose
// answer has not begun. Done must be called at the end of the request. It returns nil for
// a prompt without shared parts.
func (l *List) Track(id, account string, parts []string, end func(error)) *Request {
	if len(parts) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	r := &Request{list: l, id: fmt.Sprintf("%s#%x.%d", id, uint32(l.process), l.requests), account: account, parts: newPartSet(parts), end: end}
	l.tracked[r] = true
	return r
}

// Done ends the tracking.
func (r *Request) Done() {
	if r == nil {
		return
	}
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	delete(r.list.tracked, r)
	if !r.trialSent {
		r.list.returnTrials(r.trial)
	}
}

// Sent records that the request is being sent to a server.
func (r *Request) Sent(server string) {
	if r == nil {
		return
	}
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.server, r.sentAt, r.firstEvent = server, time.Now(), time.Time{}
	r.trialSent = len(r.trial) > 0
}

// NotRun records that the server which the request was sent to last has not run it. A trial
// may be sent to another server then.
func (r *Request) NotRun() {
	if r == nil {
		return
	}
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.trialSent = false
}

// Event records that an event of the answer was received. The prompt is sound if the
// answer has gone on for a while.
func (r *Request) Event() {
	if r == nil || r.sound && !r.firstEvent.IsZero() {
		return
	}
	var ended []ending
	defer func() { endAll(ended) }()
	l := r.list
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r.mayBeEnded = false
	if r.firstEvent.IsZero() {
		r.firstEvent = now
		return
	}
	if now.Sub(r.firstEvent) >= soundAfter {
		ended = r.markSound(now)
	}
}

// Answered records that a server has answered the request with success, to the end of its
// answer.
func (r *Request) Answered() {
	if r == nil {
		return
	}
	r.list.mu.Lock()
	r.mayBeEnded = false
	ended := r.markSound(time.Now())
	r.list.mu.Unlock()
	endAll(ended)
}

// markSound clears the parts of the prompt and returns the requests to be ended. mu of the
// list is held.
func (r *Request) markSound(now time.Time) []ending {
	r.sound = true
	l := r.list
	cleared := make([]string, 0, len(r.parts.list))
	for _, part := range r.parts.list {
		if l.clear(part, now) {
			cleared = append(cleared, part)
		}
	}
	if len(l.entries) == 0 {
		return nil
	}
	return l.removeFromWith(newPartSet(cleared), true)
}

// Suspicious reports whether the end of the request's server, once it was sent, counts
// against its parts.
func (r *Request) Suspicious() bool {
	if r == nil || r.sound {
		return false
	}
	r.list.mu.Lock()
	var ended []ending
	if now := time.Now(); !r.firstEvent.IsZero() && now.Sub(r.firstEvent) >= soundAfter {
		ended = r.markSound(now)
	}
	r.list.mu.Unlock()
	endAll(ended)
	return !r.sound
}

// ServerCrashed records that the server of the request has crashed before the prompt had
// proved to be sound.
func (r *Request) ServerCrashed() {
	if r == nil {
		return
	}
	l := r.list
	l.mu.Lock()
	c := quarantine.Crash{Server: r.server, Request: r.id, Account: r.account, Parts: slices.Clone(r.parts.list), Sent: r.sentAt, Ended: time.Now()}
	l.crashes++
	l.outgoing.addCrash(c)
	ended := l.recordCrash(c, true)
	l.mu.Unlock()
	l.Changed()
	endAll(ended)
}

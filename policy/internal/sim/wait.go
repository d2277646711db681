package sim

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// WaitCause is what a request waits for before its first token.
type WaitCause int

// Causes of waiting.
const (
	// WaitMemory is the time queued while the engine had too little free
	// KV-cache memory for the request.
	WaitMemory WaitCause = iota
	// WaitQueue is the time queued behind other requests although enough memory
	// was free.
	WaitQueue
	// WaitFailure is the time from sending an attempt until the entry learned
	// that it failed.
	WaitFailure
	// WaitPrefill is the time on the engine until the first token.
	WaitPrefill
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name of the cause.
func (c WaitCause) String() string {
	return [CauseCount]string{"memory", "order in the queue", "failed attempt", "prefill"}[c]
}

// Late is a short request that arrived at a peak and got no first token within
// FirstTokenTarget.
type Late struct {
	At     time.Duration // arrival since the start of the run
	Tokens int           // prompt length in tokens
	Server int           // index of the server of the last attempt
	// FirstToken is the time to first token, 0 if there was none.
	FirstToken time.Duration
	// Wait is the time that the request waited for each cause.
	Wait     [CauseCount]time.Duration
	Attempts int
	// KVHeld is the KV-cache memory in tokens that each band held on the server
	// when the last attempt arrived there.
	KVHeld [outcome.BandCount]int
}

// MainCause returns the cause with the longest wait.
func (l Late) MainCause() WaitCause {
	main := WaitCause(0)
	for c, wait := range l.Wait {
		if wait > l.Wait[main] {
			main = WaitCause(c)
		}
	}
	return main
}

// switchCause adds the time since the last switch to the current cause and makes
// next the current cause. No time is added at the first switch, which has no
// cause before it, or after the first token of the request.
func (a *attempt) switchCause(now time.Duration, next WaitCause) {
	if a.request.firstToken == 0 && a.causeSince > 0 {
		a.wait[a.cause] += now - a.causeSince
	}
	a.causeSince, a.cause = now, next
}

// chargeWaits adds the waits of an attempt to its request. err is the error of a
// failed attempt, whose whole time counts as WaitFailure.
func (r *request) chargeWaits(a *attempt, now time.Duration, err error) {
	if err != nil {
		r.wait[WaitFailure] += now - a.sentAt
		return
	}
	for c, wait := range a.wait {
		r.wait[c] += wait
	}
}

// updateWaitCauses updates the causes of all short attempts that are queued here.
func (s *server) updateWaitCauses() {
	free := engineKVTokens - s.queue.load(s.loop.time()).KVReserved
	for _, a := range s.attempts {
		if a.started || a.request.band != outcome.Short {
			continue
		}
		cause := WaitQueue
		if a.prefill+a.answer > free {
			cause = WaitMemory
		}
		a.switchCause(s.loop.now, cause)
	}
}

// kvHeld returns the KV-cache memory in tokens that each band holds.
func (s *server) kvHeld() (kvHeld [outcome.BandCount]int) {
	for _, a := range s.attempts {
		if a.started {
			kvHeld[a.request.band] += a.prefill + a.answer
		}
	}
	return kvHeld
}

func (r *Result) recordLate(q *request) {
	late := Late{At: q.arrival, Tokens: q.tokens, Wait: q.wait, Attempts: q.attempts, KVHeld: q.kvHeld, Server: q.server}
	if q.firstToken > 0 {
		late.FirstToken = q.firstToken - q.arrival
	}
	r.Late = append(r.Late, late)
}

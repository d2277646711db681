package sim

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// Cause is what a request waited for before its first token.
type Cause int

// The causes.
const (
	// WaitMemory is the time queued while the engine had too little free
	// KV-cache memory for the request.
	WaitMemory Cause = iota
	// WaitOrder is the time queued behind other work although memory was free.
	WaitOrder
	// WaitFailure is the time from sending an attempt until the entry learned
	// that it failed.
	WaitFailure
	// WaitPrefill is the time on the engine until the first token.
	WaitPrefill
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name of the cause.
func (c Cause) String() string {
	return [CauseCount]string{"memory", "order in the queue", "failed attempt", "prefill"}[c]
}

// Late is a short request at a peak that got no first token in time.
type Late struct {
	At     time.Duration // arrival since the start of the run
	Tokens int           // prompt length
	Server int           // the one of the last attempt
	// First is the time to first token, 0 if there was none.
	First time.Duration
	// Wait is the time that went to each cause.
	Wait     [CauseCount]time.Duration
	Attempts int
	// Held is the memory in tokens that each band held on the server when the
	// last attempt arrived there.
	Held [outcome.BandCount]int
}

// Main returns the cause with the longest wait.
func (l Late) Main() Cause {
	main := Cause(0)
	for c, wait := range l.Wait {
		if wait > l.Wait[main] {
			main = Cause(c)
		}
	}
	return main
}

// account adds the time since the last change to the cause in force, and
// notes the cause from now on.
func (a *attempt) account(now time.Duration, next Cause) {
	if a.request.first == 0 && a.changed > 0 {
		a.wait[a.cause] += now - a.changed
	}
	a.changed, a.cause = now, next
}

// charge adds the waits of an ended attempt to its request. All the time of a
// failed attempt counts as failure.
func (r *request) charge(a *attempt, now time.Duration, err error) {
	if err != nil {
		r.wait[WaitFailure] += now - a.sentAt
		return
	}
	for c, wait := range a.wait {
		r.wait[c] += wait
	}
}

// accountWaits updates the causes of all short attempts that are queued here.
func (s *server) accountWaits() {
	free := engineKV - s.queue.load(s.loop.time()).KVReserved
	for _, a := range s.attempts {
		if a.started || a.request.band != outcome.Short {
			continue
		}
		cause := WaitOrder
		if a.prefill+a.answer > free {
			cause = WaitMemory
		}
		a.account(s.loop.now, cause)
	}
}

// held returns the memory in tokens that each band holds.
func (s *server) held() (held [outcome.BandCount]int) {
	for _, a := range s.attempts {
		if a.started {
			held[a.request.band] += a.prefill + a.answer
		}
	}
	return held
}

func (r *Result) recordLate(q *request) {
	late := Late{At: q.at, Tokens: q.tokens, Wait: q.wait, Attempts: q.attempts, Held: q.held, Server: q.server}
	if q.first > 0 {
		late.First = q.first - q.at
	}
	r.Late = append(r.Late, late)
}

// Package quarantine finds the parts of prompts on which servers crash, so that prompts
// with such a part can be refused.
//
// When a server crashes, each shared part of each prompt whose answer had not gone on for
// a while is a suspect. A prompt with the part that is answered clears it, so that the
// parts that sound prompts share with crashing ones are cleared all the time. A part with
// several crashes in a row and no answer in between is the cause. Crashes count as "in a
// row" only if the part was tried again after the crash before, or some time later:
// otherwise servers that crash together for another reason would convict every part that
// was waiting on them.
//
// The package performs no I/O and takes times as arguments.
package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes in a row after which a part is the
	// cause, of at least minRequests requests. The users allow five.
	crashesToQuarantine = 3
	minRequests         = 2
	// minRowTime is the shortest time from the first of these crashes to the last. Repeats
	// of a request crash several servers within milliseconds, in which no sound prompt can
	// be answered.
	minRowTime = 400 * time.Millisecond
	// crashesToHold is the number of crashes in a row from which further prompts with the
	// part wait until a later crash would be enough.
	crashesToHold = 2
	// minCrashInterval is the time from a crash that counts to the next one that counts
	// although its request was sent before.
	minCrashInterval = time.Second
	// sentSlack is by how much the times of two gateways may differ.
	sentSlack = 5 * time.Millisecond
	// maxSuspects bounds the memory for suspected parts; suspectLife is how long a part is
	// suspected after its last crash that counts.
	maxSuspects = 2048
	suspectLife = 30 * time.Minute
	// maxEvidence bounds the crashes that are kept of a suspect; the oldest go first.
	maxEvidence = 16
)

// Crash is the crash of a server that had a request whose answer had not proved yet that
// its prompt is sound.
type Crash struct {
	// Server is the ID of the server incarnation, Request that of the request.
	Server, Request string
	// Account is the name of the client account of the request; empty for none.
	Account string
	// Parts are the shared parts of the prompt.
	Parts []string
	// Sent is when the request was sent to the server, Ended when its connection ended.
	Sent, Ended time.Time
}

// Evidence is a crash under a request with a suspected part.
type Evidence struct {
	Server, Request, Account string
	Sent, Ended              time.Time
}

// Finding is a part on which servers crash, with the crashes that show it.
type Finding struct {
	Part string
	// With are other parts for which the same crashes show the same, so that any of them
	// may be the cause. Prompts that lack one of them have not been tried.
	With     []string
	Evidence []Evidence
}

// Tracker finds parts on which servers crash. It is not safe for concurrent use.
type Tracker struct {
	suspects map[string][]Evidence // by part, oldest first; never empty
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker { return &Tracker{suspects: map[string][]Evidence{}} }

// Record records a crash. It returns the parts for which it completes the evidence, which
// are no suspects any more.
func (t *Tracker) Record(c Crash) []Finding {
	var found []Finding
	for _, part := range c.Parts {
		if t.suspects[part] == nil && len(t.suspects) >= maxSuspects {
			t.dropOldest()
		}
		evidence := insert(t.suspects[part], Evidence{Server: c.Server, Request: c.Request, Account: c.Account, Sent: c.Sent, Ended: c.Ended})
		t.suspects[part] = evidence
		if row := inARow(evidence); sufficient(row) {
			delete(t.suspects, part)
			found = append(found, Finding{Part: part, Evidence: row})
		}
	}
	for i := range found {
		for j := range found {
			if i != j && slices.EqualFunc(found[i].Evidence, found[j].Evidence, sameServer) {
				found[i].With = append(found[i].With, found[j].Part)
			}
		}
	}
	return found
}

func sameServer(a, b Evidence) bool { return a.Server == b.Server }

// insert adds a crash to the evidence in the order of their ends, because reports of other
// gateways may be late. A server crashes once.
func insert(evidence []Evidence, e Evidence) []Evidence {
	if slices.ContainsFunc(evidence, func(other Evidence) bool { return other.Server == e.Server }) {
		return evidence
	}
	i, _ := slices.BinarySearchFunc(evidence, e, func(a, b Evidence) int { return a.Ended.Compare(b.Ended) })
	evidence = slices.Insert(evidence, i, e)
	return evidence[max(0, len(evidence)-maxEvidence):]
}

// inARow returns the crashes that count: the first one, and each one after which the part
// had been tried again or that came some time later.
func inARow(evidence []Evidence) []Evidence {
	var row []Evidence
	for _, e := range evidence {
		if len(row) == 0 || e.Sent.After(row[len(row)-1].Ended.Add(-sentSlack)) || e.Ended.Sub(row[len(row)-1].Ended) >= minCrashInterval {
			row = append(row, e)
		}
	}
	return row
}

// sufficient reports whether crashes in a row show that the part is the cause.
func sufficient(row []Evidence) bool {
	if len(row) < crashesToQuarantine || row[len(row)-1].Ended.Sub(row[0].Ended) < minRowTime {
		return false
	}
	requests := map[string]bool{}
	for _, e := range row {
		requests[e.Request] = true
	}
	return len(requests) >= minRequests
}

// HoldUntil returns until when prompts with a part should wait: it has crashes in a row,
// and the next one would not be enough yet. It returns the zero time for other parts.
func (t *Tracker) HoldUntil(part string) time.Time {
	row := inARow(t.suspects[part])
	if len(row) < crashesToHold {
		return time.Time{}
	}
	return row[0].Ended.Add(minRowTime)
}

// Clear records that a prompt with the part was answered at a time, which disproves the
// crashes before. It reports whether there were any.
func (t *Tracker) Clear(part string, at time.Time) bool {
	evidence, ok := t.suspects[part]
	if !ok || evidence[0].Ended.After(at) {
		return false
	}
	evidence = slices.DeleteFunc(evidence, func(e Evidence) bool { return !e.Ended.After(at) })
	if len(evidence) == 0 {
		delete(t.suspects, part)
	} else {
		t.suspects[part] = evidence
	}
	return true
}

// Forget drops the evidence against a part.
func (t *Tracker) Forget(part string) { delete(t.suspects, part) }

// Expire drops the suspects without a crash for suspectLife.
func (t *Tracker) Expire(now time.Time) {
	for part, evidence := range t.suspects {
		if now.Sub(evidence[len(evidence)-1].Ended) > suspectLife {
			delete(t.suspects, part)
		}
	}
}

// Suspects returns the number of suspected parts.
func (t *Tracker) Suspects() int { return len(t.suspects) }

// dropOldest drops the suspect with the fewest crashes, the oldest of these, so that one
// crash with many parts does not displace a part with several crashes.
func (t *Tracker) dropOldest() {
	oldest, found := "", false
	for part, evidence := range t.suspects {
		if !found || before(evidence, t.suspects[oldest]) {
			oldest, found = part, true
		}
	}
	delete(t.suspects, oldest)
}

// before reports whether a is to be dropped before b.
func before(a, b []Evidence) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[len(a)-1].Ended.Before(b[len(b)-1].Ended)
}

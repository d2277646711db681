// Package quarantine finds the parts of prompts on which servers crash, so that prompts
// with such a part can be refused.
//
// When a server crashes, each shared part of each prompt whose answer had not gone on for
// a while is a suspect. Two kinds of evidence show that a part is the cause:
//
//   - Crashes in a row: several crashes and no answer in between. A prompt with the part
//     that is answered ends the row, so the rows of parts that sound prompts share with
//     crashing ones end all the time.
//   - Frequent crashes: crashes and answers of the last seconds are far more likely if
//     every other prompt with the part crashes its server than if servers crash at the
//     rate at which sound prompts meet crashes. This finds parts that crash only some
//     servers, or not each time.
//
// Crashes count only if the part was tried again after the crash before, or some time
// later: otherwise servers that crash together for another reason would convict every part
// that was waiting on them. A crash counts against a part only if no other part on that
// server is a likelier cause, because a larger share of its prompts crashed their servers.
//
// The package performs no I/O and takes times as arguments.
package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes in a row after which a part is the
	// cause, of at least minRequests requests. The users allow five.
	crashesToQuarantine = 3
	minRequests         = 2
	// usualCrashesToQuarantine replaces crashesToQuarantine for a part of which prompts were
	// answered at least minUsualAnswers times lately: prompts with other parts are more
	// likely to crash then.
	usualCrashesToQuarantine = 5
	minUsualAnswers          = 5
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
	// maxSuspects bounds the memory for suspected parts, about 0.5 KB each. A prompt has
	// some thousand parts at most, as its head is bounded. suspectLife is how long a part is
	// suspected after its last crash that counts.
	maxSuspects = 16384
	suspectLife = 30 * time.Minute
	// maxSeparateParts bounds the parts with the same evidence of which each is a finding of
	// its own.
	maxSeparateParts = 64
	// maxEvidence bounds the crashes in a row that are kept of a suspect; the oldest go
	// first.
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

func (c *Crash) evidence() Evidence {
	return Evidence{Server: c.Server, Request: c.Request, Account: c.Account, Sent: c.Sent, Ended: c.Ended}
}

// Evidence is a crash under a request with a suspected part.
type Evidence struct {
	Server, Request, Account string
	Sent, Ended              time.Time
}

// Finding is a part on which servers crash, with the crashes that show it.
type Finding struct {
	// Part is empty for a group of more than maxSeparateParts parts, With, for which the
	// same crashes show the same, so that any of them may be the cause.
	Part string
	// With are other parts for which the same crashes show the same, so that any of them
	// may be the cause. Prompts that lack one of them have not been tried.
	With     []string
	Evidence []Evidence
	// Frequent is set if prompts with the part were also answered between the crashes, so
	// that one more answer does not disprove them.
	Frequent bool
}

// Tracker finds parts on which servers crash. It is not safe for concurrent use.
type Tracker struct {
	suspects     map[string][]*Evidence // crashes in a row by part, oldest first; never empty
	suspectOrder *ranking               // of suspects, by the number of crashes
	recent       map[string]*history    // crashes and answers of the last seconds by part
	recentOrder  *ranking               // of recent, by the number of outcomes
	crashed      crashedServers
	usual        usualAnswers
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[string][]*Evidence{}, suspectOrder: newRanking(), recent: map[string]*history{}, recentOrder: newRanking(),
		crashed: crashedServers{parts: map[string]*serverParts{}}, usual: usualAnswers{}}
}

// Record records a crash. It returns the parts for which it completes the evidence, which
// are no suspects any more.
func (t *Tracker) Record(c Crash) []Finding {
	t.crashed.add(&c)
	e := c.evidence()
	isNew := make(map[string]bool, len(c.Parts))
	// Parts that are suspected already come first, so that those that are new do not displace
	// them in this crash.
	for _, part := range c.Parts {
		if t.suspects[part] != nil {
			t.addSuspect(part, &e)
			isNew[part] = t.addRecent(part, &e)
		}
	}
	for _, part := range c.Parts {
		if _, done := isNew[part]; !done {
			t.addSuspect(part, &e)
			isNew[part] = t.addRecent(part, &e)
		}
	}
	var found []Finding
	causes := t.likelierCauses()
	for _, part := range c.Parts {
		if row := inARow(causes.without(part, t.suspects[part])); sufficient(row, t.neededRow(part)) {
			found = append(found, Finding{Part: part, Evidence: copyEvidence(row)})
		} else if !isNew[part] {
			continue
		} else if frequent := t.evidence(part, causes); frequent != nil {
			found = append(found, Finding{Part: part, Evidence: frequent, Frequent: true})
		}
	}
	for _, f := range found {
		t.ForgetRow(f.Part)
	}
	return together(found)
}

// addSuspect adds a crash to the evidence against a part.
func (t *Tracker) addSuspect(part string, e *Evidence) {
	evidence := t.suspects[part]
	if evidence == nil {
		if len(t.suspects) >= maxSuspects {
			t.ForgetRow(t.suspectOrder.lowest())
		}
		part = strings.Clone(part) // it may be a piece of a long header
	}
	evidence = insert(evidence, e)
	t.suspects[part] = evidence
	t.suspectOrder.set(part, len(evidence))
}

// together sets the other parts of findings with the same evidence, and makes one finding of
// those of a large group.
func together(found []Finding) []Finding {
	groups := map[string][]string{} // parts by evidence
	for i := range found {
		key := found[i].evidenceKey()
		groups[key] = append(groups[key], found[i].Part)
	}
	var out []Finding
	for _, f := range found {
		key := f.evidenceKey()
		parts := groups[key]
		switch {
		case len(parts) <= maxSeparateParts:
			f.With = without(parts, f.Part)
		case parts[0] == f.Part:
			f.Part, f.With = "", parts
		default:
			continue
		}
		out = append(out, f)
	}
	return out
}

// evidenceKey returns a text that is the same for findings with crashes of the same servers.
func (f *Finding) evidenceKey() string {
	var b strings.Builder
	for _, e := range f.Evidence {
		b.WriteString(e.Server)
		b.WriteByte(0)
	}
	return b.String()
}

// without returns the parts except one; nil for none.
func without(parts []string, part string) []string {
	var out []string
	for _, other := range parts {
		if other != part {
			out = append(out, other)
		}
	}
	return out
}

func copyEvidence(list []*Evidence) []Evidence {
	out := make([]Evidence, 0, len(list))
	for _, e := range list {
		out = append(out, *e)
	}
	return out
}

// insert adds a crash to the evidence in the order of their ends, because reports of other
// gateways may be late. A server crashes once.
func insert(evidence []*Evidence, e *Evidence) []*Evidence {
	if slices.ContainsFunc(evidence, func(other *Evidence) bool { return other.Server == e.Server }) {
		return evidence
	}
	i, _ := slices.BinarySearchFunc(evidence, e, func(a, b *Evidence) int { return a.Ended.Compare(b.Ended) })
	evidence = slices.Insert(evidence, i, e)
	return evidence[max(0, len(evidence)-maxEvidence):]
}

// inARow returns the crashes that count: the first one, and each one after which the part
// had been tried again or that came some time later.
func inARow(evidence []*Evidence) []*Evidence {
	var row []*Evidence
	for _, e := range evidence {
		if len(row) == 0 || e.Sent.After(row[len(row)-1].Ended.Add(-sentSlack)) || e.Ended.Sub(row[len(row)-1].Ended) >= minCrashInterval {
			row = append(row, e)
		}
	}
	return row
}

// without returns the crashes that no other part explains better.
func (l *likelierCauses) without(part string, evidence []*Evidence) []*Evidence {
	if len(evidence) < crashesToHold {
		return evidence // too few to matter
	}
	var out []*Evidence
	for _, e := range evidence {
		if !l.exist(part, e.Server) {
			out = append(out, e)
		}
	}
	return out
}

// neededRow returns the number of crashes in a row after which a part is the cause.
func (t *Tracker) neededRow(part string) int {
	if h := t.recent[part]; h != nil && h.priorAnswers >= minUsualAnswers {
		return usualCrashesToQuarantine
	}
	return crashesToQuarantine
}

// sufficient reports whether crashes in a row, of which so many are needed, show that the
// part is the cause.
func sufficient(row []*Evidence, needed int) bool {
	if len(row) < needed || row[len(row)-1].Ended.Sub(row[0].Ended) < minRowTime {
		return false
	}
	requests := map[string]bool{}
	for _, e := range row {
		requests[e.Request] = true
	}
	return len(requests) >= minRequests
}

// HoldUntil returns until when a prompt with some parts should wait: one of them has crashes
// in a row, and the next one would not be enough yet. It returns the zero time if there is
// none.
func (t *Tracker) HoldUntil(parts ...string) time.Time {
	var until time.Time
	causes := t.likelierCauses()
	for _, part := range parts {
		evidence := t.suspects[part]
		if len(evidence) < crashesToHold {
			continue
		}
		row := inARow(causes.without(part, evidence))
		if len(row) < crashesToHold {
			continue
		}
		if at := row[0].Ended.Add(minRowTime); at.After(until) {
			until = at
		}
	}
	return until
}

// Clear records that a prompt with the part was answered at a time, which disproves the
// crashes before. It reports whether there were any.
func (t *Tracker) Clear(part string, at time.Time) bool {
	evidence, ok := t.suspects[part]
	if !ok || evidence[0].Ended.After(at) {
		return false
	}
	evidence = slices.DeleteFunc(evidence, func(e *Evidence) bool { return !e.Ended.After(at) })
	if len(evidence) == 0 {
		t.ForgetRow(part)
	} else {
		t.suspects[part] = evidence
		t.suspectOrder.set(part, len(evidence))
	}
	return true
}

// SuspectsAmong returns those of some parts that have crashes in a row.
func (t *Tracker) SuspectsAmong(parts []string) []string {
	var out []string
	causes := t.likelierCauses()
	for _, part := range parts {
		if len(causes.without(part, t.suspects[part])) > 0 {
			out = append(out, part)
		}
	}
	return out
}

// Forget drops the evidence against a part.
func (t *Tracker) Forget(part string) {
	t.ForgetRow(part)
	t.forgetRecent(part)
}

// ForgetRow drops the crashes in a row of a part.
func (t *Tracker) ForgetRow(part string) {
	delete(t.suspects, part)
	t.suspectOrder.remove(part)
}

// Expire drops the suspects without a crash for suspectLife.
func (t *Tracker) Expire(now time.Time) {
	t.expireRecent(now)
	t.usual.expire(now)
	for part, evidence := range t.suspects {
		if now.Sub(evidence[len(evidence)-1].Ended) > suspectLife {
			t.ForgetRow(part)
		}
	}
}

// Suspects returns the number of suspected parts.
func (t *Tracker) Suspects() int { return len(t.suspects) }

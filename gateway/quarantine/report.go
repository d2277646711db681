package quarantine

import (
	"slices"
	"strings"
	"time"

	"camphorwick.dev/policy/quarantine"
)

const (
	// reportLife is how long a crash, or a part that was cleared, is reported to the other
	// gateways. Reports are repeated in it because datagrams get lost.
	reportLife = 5 * time.Second
	// promptReports is how often a report is sent without waiting for the next complete
	// datagram.
	promptReports = 3
	// maxReports bounds the crashes that are reported, maxClearedReports the parts that were
	// cleared. One answer clears all suspected parts of its prompt.
	maxReports        = 512
	maxClearedReports = 16384
	// A crash whose parts take more than largeReport bytes is reported largeReports times at
	// most.
	largeReport  = 4096
	largeReports = 5
)

// Cleared is a part of which prompts were answered, the last one at a time.
type Cleared struct {
	Part string
	At   time.Time
	// Answers is how many prompts with the part the process has answered since the part had
	// its first recent crash; 0 if it is not known.
	Answers uint32
	// Lifted is set if the process has ended the quarantine of the part.
	Lifted bool
}

// Reports are what gateways tell each other. Times are those of the steady clock of the
// process that holds the reports.
type Reports struct {
	// Process identifies the process that has seen what is reported.
	Process uint64
	Crashes []quarantine.Crash
	Cleared []Cleared
}

// size returns the bytes of a crash's strings.
func size(c *quarantine.Crash) int {
	n := len(c.Server) + len(c.Request) + len(c.Account)
	for _, part := range c.Parts {
		n += len(part)
	}
	return n
}

// Empty reports whether there is nothing to tell.
func (r Reports) Empty() bool { return len(r.Crashes)+len(r.Cleared) == 0 }

// outgoing holds the reports of this process, oldest first.
type outgoing struct {
	crashes []outgoingCrash
	cleared []*outgoingCleared
	byPart  map[string]*outgoingCleared // of cleared
}

type outgoingCrash struct {
	quarantine.Crash
	size int
	sent int
}

type outgoingCleared struct {
	Cleared
	sent int
}

func (o *outgoing) addCrash(c quarantine.Crash) {
	o.crashes = append(o.crashes, outgoingCrash{Crash: c, size: size(&c)})
	o.crashes = o.crashes[max(0, len(o.crashes)-maxReports):]
}

func (o *outgoing) addCleared(c Cleared) { o.putCleared(outgoingCleared{Cleared: c}) }

// addAnswers is addCleared for answers that can wait for the next complete datagram.
func (o *outgoing) addAnswers(c Cleared) {
	o.putCleared(outgoingCleared{Cleared: c, sent: promptReports})
}

func (o *outgoing) putCleared(c outgoingCleared) {
	if old := o.byPart[c.Part]; old != nil {
		c.Part, c.Lifted, c.sent = old.Part, c.Lifted || old.Lifted, min(c.sent, old.sent)
		*old = c
		return
	}
	if o.byPart == nil {
		o.byPart = map[string]*outgoingCleared{}
	}
	c.Part = strings.Clone(c.Part) // it may be a piece of a long header
	o.cleared = append(o.cleared, &c)
	o.byPart[c.Part] = &c
	if len(o.cleared) > maxClearedReports {
		delete(o.byPart, o.cleared[0].Part)
		o.cleared = o.cleared[1:]
	}
}

// expire drops the reports of what was earlier than a time.
func (o *outgoing) expire(oldest time.Time) {
	o.crashes = slices.DeleteFunc(o.crashes, func(c outgoingCrash) bool { return c.Ended.Before(oldest) })
	o.cleared = slices.DeleteFunc(o.cleared, func(c *outgoingCleared) bool {
		if !c.At.Before(oldest) {
			return false
		}
		delete(o.byPart, c.Part)
		return true
	})
}

// dueCrashes returns the crashes to be told, those first that were told least often, of
// these the newest.
func (o *outgoing) dueCrashes(complete bool) []*outgoingCrash {
	var due []*outgoingCrash
	for i := len(o.crashes) - 1; i >= 0; i-- {
		c := &o.crashes[i]
		if complete && (c.size < largeReport || c.sent < largeReports) || c.sent < promptReports {
			due = append(due, c)
		}
	}
	slices.SortStableFunc(due, func(a, b *outgoingCrash) int { return a.sent - b.sent })
	return due
}

// dueCleared returns the cleared parts to be told, those first that were told least often.
func (o *outgoing) dueCleared(complete bool) []*outgoingCleared {
	var due []*outgoingCleared
	for _, c := range o.cleared {
		if complete || c.sent < promptReports {
			due = append(due, c)
		}
	}
	slices.SortStableFunc(due, func(a, b *outgoingCleared) int { return a.sent - b.sent })
	return due
}

// answeredParts holds when prompts with a part were last answered, because reports of
// earlier crashes may come later.
type answeredParts map[string]answerTime

type answerTime struct {
	at  time.Time
	own bool // answered by way of this gateway
}

// maxAnsweredParts bounds answeredParts. Beyond it the oldest go, for which a late report
// counts.
const maxAnsweredParts = 32768

func (a answeredParts) add(part string, answer answerTime) {
	old, known := a[part]
	if known && old.at.After(answer.at) {
		return
	}
	if !known {
		if len(a) >= maxAnsweredParts {
			a.dropOldest()
		}
		part = strings.Clone(part) // it may be a piece of a long header
	}
	a[part] = answer
}

// dropOldest drops the quarter of the parts that were answered longest ago.
func (a answeredParts) dropOldest() {
	times := make([]time.Time, 0, len(a))
	for _, answer := range a {
		times = append(times, answer.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := times[len(times)/4]
	for part, answer := range a {
		if !answer.at.After(limit) {
			delete(a, part)
		}
	}
}

// expire drops the parts whose crashes before that answer are no longer reported.
func (a answeredParts) expire(now time.Time) {
	for part, answer := range a {
		if now.Sub(answer.at) > 2*reportLife {
			delete(a, part)
		}
	}
}

// recentReports holds when crashes were recorded, by server and request, because reports
// of them are repeated.
type recentReports map[string]time.Time

// maxRecentReports bounds recentReports. A report beyond it may count again.
const maxRecentReports = 4096

// add reports whether a crash is new.
func (r recentReports) add(key string, now time.Time) bool {
	if _, known := r[key]; known {
		return false
	}
	if len(r) < maxRecentReports {
		r[key] = now
	}
	return true
}

// expire drops the crashes that are no longer reported.
func (r recentReports) expire(now time.Time) {
	for key, at := range r {
		if now.Sub(at) > 2*reportLife {
			delete(r, key)
		}
	}
}

// Reports returns what to tell the other gateways now: all reports if complete is set,
// otherwise those that were sent less than promptReports times. Their strings take maxBytes
// at most, unless there is one crash alone; what does not fit comes with the next calls.
func (l *List) Reports(complete bool, maxBytes int) Reports {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing.expire(time.Now().Add(-reportLife))
	out := Reports{Process: l.process}
	left := maxBytes
	for _, c := range l.outgoing.dueCleared(complete) {
		if left -= len(c.Part) + clearedOverhead; left < maxBytes/2 {
			left = maxBytes / 2 // for crashes
			break
		}
		c.sent++
		out.Cleared = append(out.Cleared, c.Cleared)
	}
	for _, c := range l.outgoing.dueCrashes(complete) {
		if left -= c.size; left < 0 && len(out.Crashes) > 0 {
			break
		}
		c.sent++
		out.Crashes = append(out.Crashes, c.Crash)
	}
	if complete && l.Store != nil {
		for _, c := range l.unstoredEvidence() {
			if left -= size(&c); left >= 0 {
				out.Crashes = append(out.Crashes, c)
			}
		}
	}
	return out
}

// clearedOverhead is the size of a cleared part in a datagram without its ID, in bytes.
const clearedOverhead = 16

// unstoredEvidence returns the evidence of the entries that are not in the store, from
// which the other gateways would learn of them. mu is held.
func (l *List) unstoredEvidence() []quarantine.Crash {
	var out []quarantine.Crash
	for _, r := range l.entries {
		if r.revision != 0 || len(out) >= maxReports {
			continue
		}
		for _, e := range r.evidence {
			out = append(out, quarantine.Crash{Server: e.Server, Request: e.Request, Account: e.Account, Parts: r.members(), Sent: e.Sent, Ended: e.Ended})
		}
	}
	return out
}

// Handle records the reports of another gateway.
func (l *List) Handle(reports Reports) {
	l.mu.Lock()
	var ended []ending
	for _, c := range reports.Cleared { // first, because a process that starts gets both
		ended = append(ended, l.handleCleared(reports.Process, c)...)
	}
	ended = append(ended, l.narrowGroups(reports.Cleared)...)
	for _, c := range reports.Crashes {
		ended = append(ended, l.recordCrash(c, false)...)
	}
	l.mu.Unlock()
	endAll(ended)
}

// handleCleared records that another gateway has answered prompts with a part, and returns
// the requests to be ended. The gateway that ends a quarantine removes it from the store.
// mu is held.
func (l *List) handleCleared(process uint64, c Cleared) []ending {
	l.answered.add(c.Part, answerTime{at: c.At})
	l.tracker.Clear(c.Part, c.At)
	answers := l.answers.newOf(process, c)
	l.tracker.AddAnswers(c.Part, answers, c.At)
	r := l.entries[c.Part]
	if r == nil || !c.At.After(r.decided) || !c.Lifted && !l.disprovedBy(r, answers) {
		return nil
	}
	l.forget(r)
	l.Log.Info("part no longer quarantined, another gateway has cleared it", "part", c.Part, "since", r.Since)
	return l.removeFromWith(newPartSet([]string{c.Part}), false)
}

// narrowGroups removes the parts from groups of which other gateways have answered prompts
// since, and returns the requests to be ended. mu is held.
func (l *List) narrowGroups(cleared []Cleared) []ending {
	var ended []ending
	for _, r := range l.groups {
		at := map[string]time.Time{}
		for _, c := range cleared {
			at[c.Part] = c.At
		}
		ended = append(ended, l.narrow(r, func(part string) bool { return at[part].After(r.decided) }, false)...)
	}
	return ended
}

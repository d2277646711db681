package quarantine

import (
	"strings"
	"time"
)

const (
	// answersToLift is the number of answers in a row that end a quarantine because of
	// frequent crashes. One answer is enough for one because of crashes in a row.
	answersToLift = 6
	// maxAnswerCounts bounds the parts whose answers are counted. The answers of others
	// count once for each report.
	maxAnswerCounts = 32768
)

// answerCounts counts answers to prompts with parts that have recent crashes, so that a
// report that is repeated, or lost and followed by another, counts once.
type answerCounts struct {
	own  map[string]uint32 // of this process, by part
	seen map[reportedPart]uint32
}

// reportedPart is a part in the reports of a process.
type reportedPart struct {
	process uint64
	part    string
}

func newAnswerCounts() answerCounts {
	return answerCounts{own: map[string]uint32{}, seen: map[reportedPart]uint32{}}
}

// addOwn counts an answer of this process and returns their number.
func (a *answerCounts) addOwn(part string) uint32 {
	count, known := a.own[part]
	switch {
	case known:
		a.own[part]++
	case len(a.own) < maxAnswerCounts:
		a.own[strings.Clone(part)] = 1 // it may be a piece of a long header
	}
	return count + 1
}

// newOf returns the number of answers in a report that earlier reports did not have.
func (a *answerCounts) newOf(process uint64, c Cleared) int {
	key := reportedPart{process, c.Part}
	before, known := a.seen[key]
	if known || len(a.seen) < maxAnswerCounts {
		a.seen[key] = c.Answers
	}
	if c.Answers < before { // the process counts anew
		before = 0
	}
	return int(c.Answers - before)
}

// expire drops the counts of the parts that are not kept.
func (a *answerCounts) expire(keep func(part string) bool) {
	for part := range a.own {
		if !keep(part) {
			delete(a.own, part)
		}
	}
	for key := range a.seen {
		if !keep(key.part) {
			delete(a.seen, key)
		}
	}
}

// disprovedBy records answers to prompts with a quarantined part and reports whether they
// disprove the verdict. If not, the next trial follows soon. mu is held.
func (l *List) disprovedBy(r *record, answers int) bool {
	if !r.Frequent {
		return true
	}
	r.Passed += answers
	if r.Passed >= answersToLift {
		return true
	}
	if next := time.Now().Add(nextPassDelay); answers > 0 && r.Trials < len(trialDelays) && next.Before(r.NextTrial) {
		r.NextTrial = next
	}
	return false
}

// clear records that a prompt with a part was answered here. It returns false if the part
// may be the cause of crashes nevertheless. mu is held.
func (l *List) clear(part string, now time.Time) bool {
	l.answered.add(part, answerTime{at: now, own: true})
	l.tracker.CountAnswer(part, now)
	counts := l.tracker.AddAnswers(part, 1, now)
	report := Cleared{Part: part, At: now}
	if counts || l.entries[part] != nil {
		report.Answers = l.answers.addOwn(part)
	}
	if r := l.entries[part]; r != nil && !l.disprovedBy(r, 1) {
		l.outgoing.addCleared(report)
		l.scheduleWrite(r, true)
		l.Changed()
		return false
	}
	switch {
	case l.lift(part, "a prompt with it was answered"):
	case l.tracker.Clear(part, now):
		l.outgoing.addCleared(report)
		l.Changed()
	case counts:
		l.outgoing.addAnswers(report)
	}
	return true
}

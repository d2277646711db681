package quarantine

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// recentWindow is how long crashes and answers count for the evidence of frequent
	// crashes.
	recentWindow = 30 * time.Second
	// A part is the cause if its crashes and answers are e^frequentLevel times as likely
	// with causeCrashShare of the prompts crashing their servers as with usualCrashShare,
	// which is at least the share of sound prompts whose servers crash for another reason.
	frequentLevel   = 12
	causeCrashShare = 0.5
	usualCrashShare = 0.02
	// maxRecentItems bounds the crashes and answers of a part, maxRecentParts the parts.
	maxRecentItems = 96
	maxRecentParts = maxSuspects
)

// crashWeight and answerWeight are the logarithms of these likelihoods.
var (
	crashWeight  = math.Log(causeCrashShare / usualCrashShare)
	answerWeight = math.Log((1 - causeCrashShare) / (1 - usualCrashShare))
)

// history holds the crashes and answers of prompts with a part, oldest first.
type history struct {
	items            []outcome
	crashes, answers int // in items
	// priorAnswers is the number of answers in the time before the first crash, which lose weight
	// with their age.
	priorAnswers float64
}

// outcome is a crash, or a number of answers at about one time.
type outcome struct {
	at      time.Time
	crash   *Evidence // nil for answers
	answers int
}

// add inserts an outcome in the order of times.
func (h *history) add(o outcome) {
	i, _ := slices.BinarySearchFunc(h.items, o, func(a, b outcome) int { return a.at.Compare(b.at) })
	h.items = slices.Insert(h.items, i, o)
	h.count(o, 1)
	if len(h.items) > maxRecentItems {
		h.count(h.items[0], -1)
		h.items = h.items[1:]
	}
}

// count adds an outcome to the numbers of crashes and answers, or removes it.
func (h *history) count(o outcome, sign int) {
	if o.crash != nil {
		h.crashes += sign
	}
	h.answers += sign * o.answers
}

func (h *history) has(server string) bool {
	return slices.ContainsFunc(h.items, func(o outcome) bool { return o.crash != nil && o.crash.Server == server })
}

// hasCrash reports whether there is a crash that still counts.
func (h *history) hasCrash(now time.Time) bool {
	return slices.ContainsFunc(h.items, func(o outcome) bool { return o.crash != nil && now.Sub(o.at) <= recentWindow })
}

// crashShare returns the share of the recent prompts with the part whose servers crashed,
// and the number of these crashes.
func (h *history) crashShare() (share float64, crashes int) {
	return float64(h.crashes) / max(float64(h.crashes+h.answers)+h.priorAnswers, 1), h.crashes
}

// evidence returns the crashes that show that the part is the cause, or nil. The history
// may begin with other crashes and answers, since a part may not have been the cause before.
func (t *Tracker) evidence(part string, causes likelierCauses) []Evidence {
	h := t.recent[part]
	if h == nil || h.crashes < usualCrashesToQuarantine {
		return nil
	}
	newest := h.items[len(h.items)-1].at
	var counted []Evidence // the crashes that count since the sum was 0
	sum := 0.0
	var last *Evidence
	for _, o := range h.items {
		switch {
		case newest.Sub(o.at) > recentWindow:
			continue
		case o.crash == nil:
			sum += float64(o.answers) * answerWeight
		case causes.exist(part, o.crash.Server):
			continue
		case last == nil || o.crash.Sent.After(last.Ended.Add(-sentSlack)) || o.crash.Ended.Sub(last.Ended) >= minCrashInterval:
			last = o.crash
			sum += crashWeight
			counted = append(counted, *o.crash)
		}
		if sum <= 0 {
			sum, counted = 0, nil
		}
	}
	if sum < frequentLevel || len(counted) < usualCrashesToQuarantine || counted[len(counted)-1].Ended.Sub(counted[0].Ended) < minRowTime {
		return nil
	}
	return counted
}

// addRecent adds a crash to the history of a part. It reports whether the crash is new.
func (t *Tracker) addRecent(part string, e *Evidence) bool {
	h := t.recent[part]
	if h == nil {
		if len(t.recent) >= maxRecentParts {
			t.forgetRecent(t.recentOrder.lowest())
		}
		part = strings.Clone(part)
		h = &history{priorAnswers: t.usual.count(part, e.Ended)}
		t.recent[part] = h
	}
	if h.has(e.Server) {
		return false
	}
	h.add(outcome{at: e.Ended, crash: e})
	t.recentOrder.set(part, len(h.items))
	return true
}

func (t *Tracker) forgetRecent(part string) {
	delete(t.recent, part)
	t.recentOrder.remove(part)
}

// minLikelierCrashes is the number of crashes from which a part is a likelier cause than
// another one of which more prompts were answered.
const minLikelierCrashes = 2

// likelierCauses tells for crashed servers whether one of their requests had a part of whose
// prompts a larger share crashed their servers lately than of another part. Prompts with a
// bad part have parts that many prompts share, which would gather all its crashes otherwise.
// It is valid until the next change of the tracker.
type likelierCauses struct {
	tracker *Tracker
	shares  map[string]float64 // largest share of the parts on a server, by server
}

func (t *Tracker) likelierCauses() likelierCauses {
	return likelierCauses{tracker: t, shares: map[string]float64{}}
}

// largestShare returns the largest share of the parts on a server with
// minLikelierCrashes crashes or more.
func (l *likelierCauses) largestShare(server string) float64 {
	largest, known := l.shares[server]
	if known {
		return largest
	}
	if crashed := l.tracker.crashed.parts[server]; crashed != nil {
		for part := range crashed.parts {
			h := l.tracker.recent[part]
			if h == nil {
				continue
			}
			if share, crashes := h.crashShare(); crashes >= minLikelierCrashes {
				largest = max(largest, share)
			}
		}
	}
	l.shares[server] = largest
	return largest
}

// exist reports whether the crash of a server has a likelier cause than a part.
func (l *likelierCauses) exist(part, server string) bool {
	own := 1.0
	if h := l.tracker.recent[part]; h != nil {
		own, _ = h.crashShare()
	}
	return l.largestShare(server) > own
}

// OnAllServers reports whether each of the servers that crashed had a prompt with a part.
// Servers whose crash is no longer known do not count.
func (t *Tracker) OnAllServers(part string, servers map[string]bool) bool {
	for server := range servers {
		if crashed := t.crashed.parts[server]; crashed != nil {
			if _, has := crashed.parts[part]; !has {
				return false
			}
		}
	}
	return true
}

// Share returns the share of the recent prompts with a part whose servers crashed; 0 for a
// part without recent crashes.
func (t *Tracker) Share(part string) float64 {
	h := t.recent[part]
	if h == nil {
		return 0
	}
	share, _ := h.crashShare()
	return share
}

// AddCrash adds a crash to the recent ones of a part that is known to be a cause, alone or
// together with others.
func (t *Tracker) AddCrash(part string, c Crash) {
	t.crashed.add(&c)
	e := c.evidence()
	t.addRecent(part, &e)
}

// AddAnswers records that a number of prompts with a part were answered at about a time. It
// reports whether the part has recent crashes, without which answers are not kept.
func (t *Tracker) AddAnswers(part string, n int, at time.Time) bool {
	h := t.recent[part]
	if h == nil || !h.hasCrash(at) {
		return false
	}
	if last := len(h.items) - 1; last >= 0 && h.items[last].crash == nil && !at.Before(h.items[last].at) {
		h.items[last].answers += n
		h.answers += n
		return true
	}
	h.add(outcome{at: at, answers: n})
	t.recentOrder.set(part, len(h.items))
	return true
}

// HasRecent reports whether a part has recent crashes.
func (t *Tracker) HasRecent(part string) bool { return t.recent[part] != nil }

// expireRecent drops the histories without a recent crash.
func (t *Tracker) expireRecent(now time.Time) {
	for part, h := range t.recent {
		if !h.hasCrash(now) {
			t.forgetRecent(part)
		}
	}
	t.crashed.expire(t.HasRecent)
}

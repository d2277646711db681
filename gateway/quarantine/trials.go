package quarantine

import (
	"context"
	"time"

	"camphorwick.dev/gateway/follow"
)

const (
	// laterTrialDelay is the time between the trials after those of trialDelays. With these
	// no more than three trials are sent in a day, later than some seconds after the verdict.
	laterTrialDelay = 24 * time.Hour
	// maxCleanTrialWait is how long a trial that is due waits for a prompt without other
	// suspects.
	maxCleanTrialWait = 1500 * time.Millisecond
	// nextPassDelay is the time to the next trial after an answered one that is not enough
	// to end the quarantine.
	nextPassDelay = 50 * time.Millisecond
	// maxTrialParts bounds the quarantined parts of a prompt that is a trial; each costs a
	// call to the store.
	maxTrialParts = 4
	// returnedTrialDelay is the time from the end of a trial that no server has run to the
	// next one. Servers that cannot take a request now may take one then.
	returnedTrialDelay = 500 * time.Millisecond
	// probeTime is how long a prompt of another account may take until it counts as lost.
	probeTime = 3 * time.Second
)

// trialDelays are the times from the verdict to the first trial and from each trial to the
// next one. The first two mostly come while the users allow any number of requests; they
// end a wrong verdict on a part of which much is asked within seconds.
var trialDelays = [...]time.Duration{1500 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second, time.Minute, 15 * time.Minute}

// trialDue reports whether a trial of an entry is due. mu is held.
func (l *List) trialDue(r *record, now time.Time) bool {
	return !now.Before(r.NextTrial) && (l.Store == nil || r.revision != 0)
}

// delayAfterTrial returns the time from a trial, counted from 1, to the next one.
func delayAfterTrial(trial int) time.Duration {
	if trial < len(trialDelays) {
		return trialDelays[trial]
	}
	return laterTrialDelay
}

// claim is an entry of which a request is to be a trial. probe is set for the first prompt
// of another account than those whose servers have crashed.
type claim struct {
	record
	probe bool
}

// probeDue reports whether a prompt of another account may be let through. mu is held.
func (l *List) probeDue(r *record, now time.Time) bool {
	return now.Sub(r.probedAt) >= probeTime && (l.Store == nil || r.revision != 0)
}

// claimTrials claims the next trials of entries, each of which only one request of all
// gateways gets. A trial that is claimed together with one that is not is lost.
func (l *List) claimTrials(ctx context.Context, claims []claim) bool {
	for _, c := range claims {
		if !l.claimTrial(ctx, c) {
			return false
		}
	}
	return true
}

// claimTrial claims the next trial of an entry. The trials between answers that together
// end a quarantine count as one.
func (l *List) claimTrial(ctx context.Context, c claim) bool {
	e := c.Entry
	e.Claims++
	switch {
	case c.probe:
		e.Probes++
	case e.Passed == 0:
		e.Trials++
		fallthrough
	default:
		e.NextTrial = time.Now().Add(delayAfterTrial(e.Trials))
	}
	if !l.takeTrial(e) {
		return false
	}
	if l.Store != nil {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		err := l.put(ctx, e, func(ctx context.Context, key string, value []byte, _ follow.Lease) error {
			return l.Store.PutIf(ctx, key, value, c.revision)
		})
		if err != nil {
			l.Log.Info("trial of a quarantined part not claimed", "part", e.Part, "trial", e.Trials, "error", err.Error())
			return false
		}
	}
	l.Log.Warn("trial of a quarantined part", "part", e.Part, "trial", e.Trials, "probe", c.probe, "answered", e.Passed, "next", e.NextTrial)
	return true
}

// returnTrials makes trials that no server has run due again soon. mu is held.
func (l *List) returnTrials(claims []claim) {
	next := time.Now().Add(returnedTrialDelay)
	for _, c := range claims {
		r := l.entries[c.Part]
		if c.probe || r == nil || r.Claims != c.Claims+1 || !next.Before(r.NextTrial) { // there may have been another trial since
			continue
		}
		r.Claims, r.Trials, r.NextTrial = r.Claims+1, c.Trials, next
		l.scheduleWrite(r, true)
		l.Log.Info("trial of a quarantined part not sent", "part", c.Part, "next", next)
	}
}

// takeTrial records a trial in this process, so that no other request of it claims it. A
// trial that the store then refuses, or does not confirm, is lost: it may have been
// claimed by another gateway.
func (l *List) takeTrial(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.entries[e.Part]
	if r == nil || r.Claims >= e.Claims {
		return false
	}
	if e.Probes > r.Probes {
		r.probedAt = time.Now()
	}
	r.Claims, r.Trials, r.NextTrial, r.Probes = e.Claims, e.Trials, e.NextTrial, e.Probes
	return true
}

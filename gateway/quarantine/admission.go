package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minRetryAfter is the shortest Retry-After of a refusal, unsyncedRetryAfter that while the
	// list is not known.
	minRetryAfter      = 1500 * time.Millisecond
	unsyncedRetryAfter = 500 * time.Millisecond
	// holdPoll is the time between looks whether a request still has to wait,
	// maxHoldSpread the longest time by which the ends of the waits differ.
	holdPoll      = 10 * time.Millisecond
	maxHoldSpread = 400 * time.Millisecond
)

// Admit reports whether the request may be sent to a server: it returns a RefusedError if
// its prompt has a quarantined part, unless this request is chosen as a trial, and an
// UnknownError while the list is not known.
func (r *Request) Admit(ctx context.Context) error {
	if r == nil {
		return nil
	}
	if !r.list.Synced() {
		return &UnknownError{RetryAfter: unsyncedRetryAfter}
	}
	refused, claims := r.check()
	if len(claims) > 0 {
		r.setTrial(claims) // before the store reports the claims, which would end the request
		if r.list.claimTrials(ctx, claims) {
			refused, _ = r.check()
		} else {
			r.setTrial(nil)
			refused = cmp.Or(refused, claims[0].refusal(time.Now()))
		}
	}
	if refused != nil {
		return refused
	}
	return r.hold(ctx)
}

// hold waits while a part of the prompt is about to be quarantined or cleared, so that the
// prompts that come in this time do not crash a server each. They go on at different
// times, for the first of them may bring the verdict.
func (r *Request) hold(ctx context.Context) error {
	spread := rand.N(maxHoldSpread)
	for time.Now().Before(r.holdUntil(spread)) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(holdPoll):
		}
	}
	if refused, _ := r.check(); refused != nil {
		return refused
	}
	return nil
}

// holdUntil returns until when the request waits; spread is added to the times at which
// its parts may be tried again.
func (r *Request) holdUntil(spread time.Duration) time.Time {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	until := r.list.tracker.HoldUntil(r.parts.list...)
	if until.IsZero() {
		return until
	}
	return until.Add(spread)
}

func (r *Request) setTrial(claims []claim) {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.trial = claims
}

// isTrialOf reports whether the request is a trial of a part. mu of the list is held.
func (r *Request) isTrialOf(part string) bool {
	return slices.ContainsFunc(r.trial, func(c claim) bool { return c.Part == part })
}

// check returns an error if the request is refused, and the entries of which it may be a
// trial. Without an error and with such entries it is refused unless it becomes a trial.
func (r *Request) check() (*RefusedError, []claim) {
	l := r.list
	l.mu.Lock()
	defer l.mu.Unlock()
	r.mayBeEnded = true
	now := time.Now()
	var refusing, others []*record // others have no crashes of the request's account
	for _, e := range l.covering(r.parts) {
		switch {
		case !r.trialSent && r.isTrialOf(e.Part):
		case e.refusesAccount(r.account) || r.trialSent:
			refusing = append(refusing, e)
		default:
			others = append(others, e)
		}
	}
	if len(refusing) == 0 {
		return r.checkAccount(others, now)
	}
	l.refused++
	refused := refusing[0].refusal(now)
	if len(r.trial) > 0 || len(refusing) > maxTrialParts || now.Sub(refusing[0].NextTrial) < maxCleanTrialWait && l.hasOtherSuspect(r.parts.list, refusing[0]) {
		return refused, nil
	}
	var claims []claim
	mayClaim := l.Store == nil
	for _, e := range refusing {
		if !l.trialDue(e, now) {
			return refused, nil
		}
		mayClaim = mayClaim || e.Claims > 0 || e.Owner == l.VM
		claims = append(claims, claim{record: *e})
	}
	if !mayClaim {
		return refused, nil
	}
	return refused, claims
}

// checkAccount is check for entries that rest on crashes of one other account. An account
// must not make parts be refused to others, and prompts of a second account must not crash a
// server each: one of them is let through, of all gateways, and the others are refused until
// it has been answered or has crashed its server. mu of the list is held.
func (r *Request) checkAccount(entries []*record, now time.Time) (*RefusedError, []claim) {
	if len(entries) == 0 {
		return nil, nil
	}
	var claims []claim
	for _, e := range entries {
		if len(r.trial) > 0 || len(entries) > maxTrialParts || !r.list.probeDue(e, now) {
			r.list.refused++
			return e.refusal(now), nil
		}
		claims = append(claims, claim{record: *e, probe: true})
	}
	return nil, claims
}

// hasOtherSuspect reports whether a prompt has a part with a crash that no answer has
// disproved, and that is not quarantined. Its crash would not show on which part it was.
// Parts that were on all servers which crashed on the quarantined part do not count: each
// prompt may have them. mu is held.
func (l *List) hasOtherSuspect(parts []string, quarantined *record) bool {
	members := newPartSet(quarantined.members())
	return slices.ContainsFunc(l.tracker.SuspectsAmong(parts), func(part string) bool {
		return l.entries[part] == nil && !members.has(part) && !l.tracker.OnAllServers(part, quarantined.servers)
	})
}

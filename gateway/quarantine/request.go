package quarantine

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorwick.dev/policy/quarantine"
)

const (
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 1500 * time.Millisecond
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
	// soundAfter is how long an answer must go on after its first event until its prompt
	// counts as sound; an answer that ends as it should proves it at once.
	// A server that crashes on its prompt does so as it begins to write.
	soundAfter = 30 * time.Millisecond
	// holdPoll is the time between looks whether a request still has to wait,
	// maxHoldSpread the longest time by which the ends of the waits differ.
	holdPoll      = 10 * time.Millisecond
	maxHoldSpread = 400 * time.Millisecond
	// unsyncedRetryAfter is the Retry-After while the list is not known.
	unsyncedRetryAfter = 500 * time.Millisecond
)

// trialDelays are the times from the verdict to the first trial and from each trial to the
// next one. The first two mostly come while the users allow any number of requests; they
// end a wrong verdict on a part of which much is asked within seconds.
var trialDelays = [...]time.Duration{1500 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second, time.Minute, 15 * time.Minute}

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

// Package quarantine refuses prompts with a part on which servers crash.
//
// A gateway tracks each request whose prompt has shared parts while a server works on it.
// If the server crashes, the gateway records that and reports it to the other gateways
// (package peers), so that all of them hold the same evidence and reach the same verdict
// (package policy/quarantine). The part is then quarantined: requests with it are refused
// before they are sent, those that wait for a server or for its first event are ended.
// The list of quarantined parts is kept in the platform's store, where gateways that start
// later read it before they are ready.
//
// A verdict ends when a prompt with the part is answered: one that a server was already
// answering when the verdict fell, or a trial, of which there are few a day over all
// gateways. An operator may end it as well.
//
// Lock order: List.mu is the only lock. Functions of requests, which List calls to end
// them, are called without it.
package quarantine

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"camphorwick.dev/gateway/follow"
	"camphorwick.dev/policy/quarantine"
)

const (
	// maxEntries bounds the quarantined parts, in memory and in the store.
	maxEntries = 1024
	// entryLife is how long a part stays quarantined at most.
	entryLife = 14 * 24 * time.Hour
)

// record is an entry and what is known of it in the store.
type record struct {
	Entry
	revision follow.Position // in the store; 0 if it is not known to be stored
	write    time.Time       // when the entry is to be written; zero if it need not be
	decided  time.Time       // when this process learnt of the entry, by its steady clock
	// evidence is what led this process to the entry; nil if it was read from the store.
	evidence []quarantine.Evidence
	// answers counts those to prompts with the parts of a group, for which several are needed.
	answers map[string]int
	// probedAt is when a prompt of an account without crashes was let through last, by this
	// gateway or another.
	probedAt time.Time
	// servers are those that are known to have crashed on the part, by ID; more than Crashes
	// names.
	servers map[string]bool
}

// Options configure a List.
type Options struct {
	VM  string
	Log *slog.Logger
	// Store keeps the list; nil for a list that ends with the process.
	Store Store
	// Position returns the position of the store up to which the stored entries are known, in
	// Replace at least that of the read; nil for a store without eras. It is called with the
	// lock of the list held.
	Position func() follow.Position
	// Changed is called when there is something to report to the other gateways; nil for
	// no other gateways. It must not block.
	Changed func()
	// OnCrash is called for each crash, own or reported; nil for nothing. It must not block.
	OnCrash func()
}

// List holds the quarantined parts and the evidence against others. It is safe for
// concurrent use.
type List struct {
	Options
	process uint64        // random number of this process
	wake    chan struct{} // triggers work of Run; its capacity is 1

	mu       sync.Mutex
	tracker  *quarantine.Tracker
	entries  map[string]*record
	groups   map[string]*record    // those of entries that are groups
	removals map[string]bool       // parts whose entry in the store is to be removed
	ended    map[string]endedEntry // by part
	tracked  map[*Request]bool
	requests uint64 // number of requests tracked so far
	outgoing outgoing
	recent   recentReports
	answered answeredParts
	answers  answerCounts
	synced   bool // the list was read from the store
	refused  int64
	crashes  int64
}

// New returns an empty list.
func New(o Options) *List {
	if o.Changed == nil {
		o.Changed = func() {}
	}
	if o.OnCrash == nil {
		o.OnCrash = func() {}
	}
	return &List{Options: o, process: rand.Uint64(), wake: make(chan struct{}, 1), tracker: quarantine.NewTracker(), entries: map[string]*record{}, groups: map[string]*record{},
		removals: map[string]bool{}, ended: map[string]endedEntry{}, tracked: map[*Request]bool{}, recent: recentReports{}, answered: answeredParts{}, answers: newAnswerCounts(), synced: o.Store == nil}
}

// Synced reports whether the list was read from the store, which must precede requests
// with shared parts.
func (l *List) Synced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced
}

// Idle reports whether no part is quarantined or suspected, so that the entries in the store
// matter only once there are any.
func (l *List) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)+len(l.removals)+l.tracker.Suspects() == 0
}

// Entries returns the quarantined parts, sorted by part.
func (l *List) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, part := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[part].Entry
		e.With, e.Accounts, e.Crashes = slices.Clone(e.With), slices.Clone(e.Accounts), slices.Clone(e.Crashes)
		out = append(out, e)
	}
	return out
}

// Lift ends the quarantine of a part on all gateways until there is new evidence. It
// returns false if the part is not quarantined.
func (l *List) Lift(part, reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lift(part, reason)
}

// lift is Lift. mu is held.
func (l *List) lift(part, reason string) bool {
	r := l.entries[part]
	if r == nil {
		return false
	}
	l.forget(r)
	l.recordEnd(r)
	l.Log.Warn("part no longer quarantined", "part", part, "reason", reason, "since", r.Since, "trials", r.Trials)
	if l.Store != nil {
		l.removals[part] = true
		l.wakeUp()
	}
	l.outgoing.addCleared(Cleared{Part: part, At: time.Now(), Lifted: true})
	l.Changed()
	return true
}

// recordCrash records a crash that this or another gateway has seen. own is set for the
// former. It returns the requests to be ended. mu is held.
func (l *List) recordCrash(c quarantine.Crash, own bool) []ending {
	if !l.recent.add(c.Server+" "+c.Request, time.Now()) {
		return nil // a report that was repeated
	}
	l.OnCrash()
	var ended []ending
	explained := map[string]bool{} // parts that are quarantined
	for _, r := range l.covering(newPartSet(c.Parts)) {
		r.Passed = 0
		l.addServer(r, c.Server)
		l.tracker.AddCrash(r.Part, c)
		for _, part := range r.members() {
			explained[part] = true
		}
		if r.addCrash(Crash{Server: c.Server, Request: c.Request, Account: c.Account}) {
			l.Log.Warn("quarantine extended to another account", "part", r.Part, "account", c.Account, "server", c.Server)
			l.scheduleWrite(r, own)
			ended = append(ended, l.affected(r)...)
		}
	}
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(part string) bool {
		return explained[part] || l.disproved(part, c.Ended)
	})
	found := l.tracker.Record(c)
	slices.SortStableFunc(found, func(a, b quarantine.Finding) int { return len(b.Evidence) - len(a.Evidence) })
	for _, f := range found {
		if !l.isExplained(f.Part, f.With, serversOf(f), 0) {
			ended = append(ended, l.quarantine(f, own)...)
		}
	}
	return ended
}

// disproved reports whether a prompt with a part was answered after a crash, of which the
// report came later. If it was answered here, the other gateways are told. mu is held.
func (l *List) disproved(part string, crashed time.Time) bool {
	answer, ok := l.answered[part]
	if !ok || !answer.at.After(crashed) {
		return false
	}
	if answer.own {
		l.outgoing.addCleared(Cleared{Part: part, At: answer.at, Answers: l.answers.own[part]})
		l.Changed()
	}
	return true
}

// quarantine makes a part be refused and returns the requests to be ended. own is set if
// this gateway has seen the last crash. mu is held.
func (l *List) quarantine(f quarantine.Finding, own bool) []ending {
	isGroup := f.Part == ""
	if isGroup {
		f.Part = groupName(f.With)
	}
	known := l.entries[f.Part]
	if known == nil && len(l.entries) >= maxEntries {
		l.Log.Error("part not quarantined, the list is full", "part", f.Part, "entries", len(l.entries))
		return nil
	}
	r := &record{decided: time.Now(), evidence: f.Evidence, Entry: Entry{Part: f.Part, Group: isGroup, With: f.With, Since: time.Now(), Owner: l.VM, NextTrial: time.Now().Add(trialDelays[0]), Frequent: f.Frequent, Share: l.tracker.Share(f.Part)}}
	for _, e := range f.Evidence {
		r.addCrash(Crash{Server: e.Server, Request: e.Request, Account: e.Account})
	}
	if known != nil { // it was refused only together with other parts
		r.revision, r.Since, r.Trials, r.NextTrial = known.revision, known.Since, known.Trials, known.NextTrial
		r.With = intersect(r.With, known.With)
	}
	l.set(r)
	delete(l.removals, f.Part)
	l.scheduleWrite(r, own)
	l.Log.Warn("part quarantined, servers crash on it", "part", f.Part, "with", shown(r.With), "with_count", len(r.With), "accounts", r.Accounts, "frequent", r.Frequent, "crashes", r.Crashes)
	for _, e := range f.Evidence {
		l.addServer(r, e.Server)
	}
	return l.affected(r)
}

// ending is a request to be ended because of a verdict.
type ending struct {
	request *Request
	cause   *RefusedError
}

// endAll ends requests. mu is not held.
func endAll(list []ending) {
	for _, e := range list {
		e.request.end(e.cause)
	}
}

// affected returns the tracked requests that an entry refuses and that may still be kept
// from a server or from its answer. mu is held.
func (l *List) affected(r *record) []ending {
	var out []ending
	for request := range l.tracked {
		if request.mayBeEnded && r.refuses(request.account, request.parts) && !request.isTrialOf(r.Part) {
			request.mayBeEnded = false // it is ended once
			out = append(out, ending{request, r.refusal(time.Now())})
		}
	}
	return out
}

// refusal returns the error of a request that the entry refuses.
func (r *record) refusal(now time.Time) *RefusedError {
	return &RefusedError{Part: r.Part, RetryAfter: max(r.NextTrial.Sub(now), minRetryAfter), Since: r.Since}
}

// wakeUp triggers work of Run. It never blocks.
func (l *List) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run keeps the store up to date until ctx ends.
func (l *List) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		case now := <-ticker.C:
			l.expire(now)
		}
		l.updateStore(ctx)
	}
}

// expire drops old suspects and entries.
func (l *List) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Expire(now)
	l.recent.expire(now)
	l.answered.expire(now)
	l.answers.expire(func(part string) bool { return l.tracker.HasRecent(part) || l.entries[part] != nil })
	for part, r := range l.entries {
		if now.Sub(r.Since) > entryLife {
			l.lift(part, "old")
		}
	}
}

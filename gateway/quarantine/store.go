package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"camphorwick.dev/gateway/follow"
)

const (
	// Prefix is the prefix of the keys in the store under which entries are kept, followed
	// by the part.
	Prefix = "quarantine/"
	// peerWriteDelay is how long a gateway that has not seen the last crash itself waits
	// for another one to store the entry.
	peerWriteDelay = time.Second
	// storeRetryInterval is the time between two tries to write or remove an entry, and
	// sweepInterval that between looks for entries to be written.
	storeRetryInterval = 500 * time.Millisecond
	sweepInterval      = 500 * time.Millisecond
	// claimTimeout bounds the call that claims a trial, for which a request waits.
	claimTimeout = 300 * time.Millisecond
)

// Store is the part of the platform's store that keeps the list.
type Store interface {
	// Put writes a key without a lease if lease is the zero value.
	Put(ctx context.Context, key string, value []byte, lease follow.Lease) error
	// PutIf writes a key if its revision is the given one; otherwise it returns a
	// follow.ConflictError.
	PutIf(ctx context.Context, key string, value []byte, revision follow.Position) error
	// Remove deletes a key.
	Remove(ctx context.Context, key string) error
}

// scheduleWrite makes Run write an entry. mu is held.
func (l *List) scheduleWrite(r *record, own bool) {
	if l.Store == nil {
		return
	}
	r.write = time.Now()
	if !own {
		r.write = r.write.Add(peerWriteDelay + rand.N(peerWriteDelay))
	}
	l.wakeUp()
}

// updateStore writes and removes what is due.
func (l *List) updateStore(ctx context.Context) {
	if l.Store == nil {
		return
	}
	writes, removals := l.due(time.Now())
	for _, e := range writes {
		if err := l.put(ctx, e, l.Store.Put); err != nil {
			l.Log.Warn("quarantined part not stored, it is tried again", "part", e.Part, "error", err.Error())
		}
	}
	for _, part := range removals {
		if err := l.Store.Remove(ctx, Prefix+part); err != nil {
			l.Log.Warn("quarantined part not removed from the store, it is tried again", "part", part, "error", err.Error())
			continue
		}
		l.mu.Lock()
		delete(l.removals, part)
		l.mu.Unlock()
	}
}

// due returns the entries to be written and the parts to be removed, and schedules the
// next try for the former in case that this one fails.
func (l *List) due(now time.Time) ([]Entry, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var writes []Entry
	for _, r := range l.entries {
		if !r.write.IsZero() && !now.Before(r.write) {
			r.write = now.Add(storeRetryInterval)
			writes = append(writes, r.Entry)
		}
	}
	var removals []string
	for part := range l.removals {
		removals = append(removals, part)
	}
	return writes, removals
}

// put stores an entry with the given function, which has the signature of Store.Put.
func (l *List) put(ctx context.Context, e Entry, write func(context.Context, string, []byte, follow.Lease) error) error {
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode the quarantine of %q: %w", e.Part, err)
	}
	return write(ctx, Prefix+e.Part, value, follow.Lease{})
}

// Replace implements follow.Handler.
func (l *List) Replace(items []follow.Item) {
	l.mu.Lock()
	listed := map[string]bool{}
	var ended []ending
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, Prefix)] = true
		ended = append(ended, l.adopt(item)...)
	}
	for part, r := range l.entries {
		if r.revision != 0 && !listed[part] && !l.wasLost(r) {
			l.drop(part, r)
		}
	}
	l.synced = true
	l.mu.Unlock()
	endAll(ended)
}

// Change implements follow.Handler.
func (l *List) Change(item follow.Item) {
	l.mu.Lock()
	var ended []ending
	part := strings.TrimPrefix(item.Key, Prefix)
	if r := l.entries[part]; item.Deleted && r != nil {
		l.drop(part, r)
	}
	if !item.Deleted {
		ended = l.adopt(item)
	}
	l.mu.Unlock()
	endAll(ended)
}

// Failed implements follow.Handler: what is known stays in force.
func (l *List) Failed(error) {}

// Restored implements follow.Handler.
func (l *List) Restored() {}

// adopt records a stored entry and returns the requests to be ended. mu is held.
func (l *List) adopt(item follow.Item) []ending {
	e, err := decodeEntry(item)
	if err != nil {
		l.Log.Warn("quarantined part not decoded", "key", item.Key, "revision", item.Revision, "error", err.Error())
		return nil
	}
	if l.removals[e.Part] { // lifted here, and not yet removed from the store
		return nil
	}
	known := l.entries[e.Part]
	if known == nil && (l.reappeared(e, item.Revision) || l.rejects(e)) {
		return nil
	}
	if known == nil && len(l.entries) >= maxEntries {
		l.Log.Error("stored part not quarantined, the list is full", "part", e.Part, "entries", len(l.entries))
		return nil
	}
	r := &record{Entry: e, revision: item.Revision, decided: time.Now()}
	if known == nil {
		l.Log.Warn("part quarantined by another gateway", "part", e.Part, "accounts", e.Accounts, "since", e.Since, "owner", e.Owner)
	} else {
		r.decided, r.servers, r.probedAt = known.decided, known.servers, known.probedAt
		if r.Probes > known.Probes {
			r.probedAt = time.Now()
		}
		r.Passed = max(r.Passed, known.Passed)
		l.keepKnown(r, known)
	}
	l.set(r)
	for _, part := range e.members() {
		l.tracker.ForgetRow(part)
	}
	for _, c := range r.Crashes {
		l.addServer(r, c.Server)
	}
	return l.affected(r)
}

// rejects reports whether a stored entry that another gateway has written rests on crashes
// that were on parts which this gateway knows to be quarantined. It is removed from the
// store then, so that evidence decides and not who wrote first. mu is held.
func (l *List) rejects(e Entry) bool {
	servers := map[string]bool{}
	for _, c := range e.Crashes {
		servers[c.Server] = true
	}
	if !l.isExplained(e.Part, e.With, servers, e.Share) {
		return false
	}
	l.removals[e.Part] = true
	l.outgoing.addCleared(Cleared{Part: e.Part, At: time.Now(), Lifted: true})
	l.Changed()
	l.wakeUp()
	return true
}

// keepKnown adds what only this process knows to a stored entry. mu is held.
func (l *List) keepKnown(r, known *record) {
	for _, c := range known.Crashes {
		if r.addCrash(c) {
			l.scheduleWrite(r, false)
		}
	}
	if with := intersect(r.With, known.With); len(with) < len(r.With) {
		r.With = with
		l.scheduleWrite(r, false)
	}
	if known.Claims > r.Claims {
		r.Claims, r.Trials, r.NextTrial, r.Probes = known.Claims, known.Trials, known.NextTrial, known.Probes
		r.write = known.write // of a trial that was returned
	}
}

func intersect(a, b []string) []string {
	kept := newPartSet(b)
	return slices.DeleteFunc(slices.Clone(a), func(part string) bool { return !kept.has(part) })
}

// drop ends an entry that the store no longer has. mu is held.
func (l *List) drop(part string, r *record) {
	l.forget(r)
	l.recordEnd(r)
	l.Log.Warn("part no longer quarantined, it was removed from the store", "part", part, "since", r.Since)
}

// maxParts bounds the parts that an entry names. The head of a prompt has fewer.
const maxParts = 16384

// decodeEntry decodes a stored entry, which another writer may have left.
func decodeEntry(item follow.Item) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(item.Value, &e); err != nil {
		return e, err
	}
	if part := strings.TrimPrefix(item.Key, Prefix); part == "" || e.Part != part {
		return e, errOtherPart
	}
	if len(e.Accounts) == 0 {
		return e, errNoAccount
	}
	if len(e.With) > maxParts {
		return e, errManyParts // without some of them it would refuse other prompts
	}
	if e.Group && len(e.With) == 0 {
		return e, errEmptyGroup
	}
	e.Claims = max(e.Claims, e.Trials) // builds without Claims wrote one for each trial
	e.Accounts = e.Accounts[:min(len(e.Accounts), maxAccounts)]
	e.Crashes = e.Crashes[:min(len(e.Crashes), maxEvidence)]
	return e, nil
}

var (
	errOtherPart = errors.New("the entry names another part than its key")
	errNoAccount = errors.New("the entry names no account")
	// errManyParts is for an entry of another writer; gateways store no such entry.
	errManyParts  = errors.New("the entry names too many parts")
	errEmptyGroup = errors.New("the entry is a group without parts")
)

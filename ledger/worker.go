package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/cloud"
)

// firstBackoff is the delay after the first failed store call.
const firstBackoff = 5 * time.Millisecond

// shard is the queue of one journal value. At most one worker runs per shard;
// only it uses snapshot, work and failures.
type shard struct {
	storeKey string
	hour     int64
	wake     chan struct{} // holds one element if pending has grown

	pending  []*operation // guarded by Ledger.mu
	running  bool         // guarded by Ledger.mu
	lastUsed time.Time    // guarded by Ledger.mu
	cached   int          // bytes counted in Ledger.cached while idle; guarded by Ledger.mu

	snapshot *snapshot // nil if the value must be read
	work     []*operation
	marks    []*operation // abandoned claims to be added to work
	failures int          // store calls failed in a row
}

// enqueue hands op to its shard's worker; mu is held.
func (l *Ledger) enqueue(op *operation) {
	storeKey := op.key.storeKey()
	s := l.shards[storeKey]
	if s == nil {
		s = &shard{storeKey: storeKey, hour: op.key.hour(), wake: make(chan struct{}, 1)}
		l.shards[storeKey] = s
	}
	s.pending = append(s.pending, op)
	switch {
	case s.running:
		select {
		case s.wake <- struct{}{}:
		default:
		}
	case !l.closed:
		s.running = true
		l.cached -= s.cached
		s.cached = 0
		l.workers.Add(1)
		go l.serve(s)
	default:
		l.cfg.Logger.Warn("an order ended after the journal was closed", "shard", storeKey)
	}
}

// serve works until the shard has nothing to do.
func (l *Ledger) serve(s *shard) {
	defer l.workers.Done()
	for !l.retire(s) {
		if !l.acquire() {
			l.stop(s)
			return
		}
		delay := l.round(s)
		<-l.calls
		l.pause(s, delay)
	}
}

// retire ends the worker if nothing is left and reports whether it did.
func (l *Ledger) retire(s *shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(s.work)+len(s.pending) > 0 {
		return false
	}
	s.running = false
	s.lastUsed = l.cfg.Now()
	if s.snapshot == nil {
		delete(l.shards, s.storeKey)
		return true
	}
	s.cached = s.snapshot.size
	l.cached += s.cached
	for l.cached > l.cfg.CacheBytes {
		l.evictOldest()
	}
	return true
}

// evictOldest drops the least recently used idle value; mu is held and at
// least one value is idle.
func (l *Ledger) evictOldest() {
	var oldest *shard
	for _, s := range l.shards {
		if !s.running && (oldest == nil || s.lastUsed.Before(oldest.lastUsed)) {
			oldest = s
		}
	}
	l.cached -= oldest.cached
	delete(l.shards, oldest.storeKey)
}

// acquire waits for the rate limit and a turn to call the store. It returns
// false when the ledger is closed.
func (l *Ledger) acquire() bool {
	select {
	case l.calls <- struct{}{}:
	case <-l.ctx.Done():
		return false
	}
	for {
		l.mu.Lock()
		delay := time.Until(l.notBefore)
		l.mu.Unlock()
		if delay <= 0 {
			return l.ctx.Err() == nil
		}
		select {
		case <-time.After(delay):
		case <-l.ctx.Done():
			return false
		}
	}
}

// pause waits for delay or until a new operation arrives: a new claim must
// learn soon whether the store is available.
func (l *Ledger) pause(s *shard, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-l.ctx.Done():
	}
}

// stop refuses the waiting callers after Close gave up on the store.
func (l *Ledger) stop(s *shard) {
	l.takePending(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failWaiting(s, true, outcome.New(outcome.StoreUnavailable, "the order journal was closed"))
	s.running = false
	if len(s.work) > 0 {
		l.cfg.Logger.Warn("order outcomes were not written", "shard", s.storeKey, "count", len(s.work))
	}
}

// round performs one read if needed and at most one write. It returns the
// delay before the next round.
func (l *Ledger) round(s *shard) time.Duration {
	l.takePending(s)
	if len(s.work) == 0 {
		return 0
	}
	if s.snapshot == nil {
		if err := l.read(s); err != nil {
			return l.readFailed(s, err)
		}
	}
	p, err := l.plan(s)
	if err == nil && p.reread {
		if err := l.read(s); err != nil {
			return l.readFailed(s, err)
		}
		p, err = l.plan(s)
	}
	if err != nil {
		return l.readFailed(s, err)
	}
	if len(p.writers) == 0 {
		s.failures = 0
		return 0
	}
	return l.write(s, p)
}

// takePending takes over the pending operations and drops those whose callers have
// left. Given-up claims that are or may get into the store become tasks to mark
// them.
func (l *Ledger) takePending(s *shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append(s.work, s.pending...)
	s.work, s.pending = nil, nil
	for _, op := range all {
		switch {
		case op.isSettled:
		case op.givenUp && op.kind == opLookup:
		case op.givenUp && op.kind == opClaim && !op.stored && !op.uncertain:
			l.unwritten--
			delete(l.givenUp, op.record.AttemptId)
		case op.givenUp && op.kind == opClaim:
			l.abandon(op)
			s.work = append(s.work, op)
		default:
			s.work = append(s.work, op)
		}
	}
	s.work = append(s.work, s.marks...)
	s.marks = nil
	l.checkDrained()
}

func (l *Ledger) read(s *shard) error {
	s.snapshot = nil
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
	defer cancel()
	entry, err := l.kv.Get(ctx, s.storeKey)
	if err != nil {
		return err
	}
	if s.snapshot, err = parseSnapshot(entry); err != nil {
		return outcome.Wrap(err, outcome.Internal, "unreadable value %s", s.storeKey)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, op := range s.work {
		op.fresh = true
	}
	return nil
}

func (l *Ledger) readFailed(s *shard, err error) time.Duration {
	s.snapshot = nil
	return l.failed(s, err)
}

// failed handles a call that certainly changed nothing.
func (l *Ledger) failed(s *shard, err error) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.backoff(s)
	var limited *cloud.RateLimitedError
	if errors.As(err, &limited) {
		// All shards wait: the limit is the platform's, and new claims do not
		// shorten this delay as they do after an outage.
		if until := time.Now().Add(limited.RetryAfter + delay); until.After(l.notBefore) {
			l.notBefore = until
		}
		return 0
	}
	var typed *outcome.Error
	if !errors.As(err, &typed) {
		typed = outcome.Wrap(err, outcome.StoreUnavailable, "the order was not claimed")
	}
	l.failWaiting(s, false, typed)
	return delay
}

// failWaiting refuses the waiting callers; mu is held. A claim whose write may
// have taken effect can still be confirmed, so it waits for its context unless
// all is set.
func (l *Ledger) failWaiting(s *shard, all bool, err error) {
	rest := s.work[:0]
	for _, op := range s.work {
		waits := (op.kind == opClaim || op.kind == opLookup) && !op.givenUp
		if waits && (all || !op.uncertain) {
			l.refuse(s, op, nil, err)
		} else {
			rest = append(rest, op)
		}
	}
	s.work = append(rest, s.marks...)
	s.marks = nil
}

// backoff returns the delay after another failed call: exponential, with half
// of it random.
func (l *Ledger) backoff(s *shard) time.Duration {
	delay := min(firstBackoff<<min(s.failures, 20), l.cfg.MaxBackoff)
	s.failures++
	return delay/2 + rand.N(delay/2+1)
}

// write commits a plan by one compare-and-swap.
func (l *Ledger) write(s *shard, p *plan) time.Duration {
	expected := s.snapshot.revision
	value := s.snapshot.encode(p.changes, p.size)
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
	defer cancel()
	revision, err := l.kv.Put(ctx, s.storeKey, value, expected, 0)
	var (
		conflict    *cloud.ConflictError
		unavailable *cloud.UnavailableError
		limited     *cloud.RateLimitedError
		tooLarge    *cloud.TooLargeError
	)
	switch {
	case err == nil:
		s.snapshot.apply(p.changes, revision, p.size)
		l.committed(s, p)
		return 0
	case errors.As(err, &conflict):
		s.snapshot = nil
		if s.failures == 0 { // retry at once after the first conflict
			s.failures++
			return 0
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.backoff(s)
	case errors.As(err, &unavailable), errors.As(err, &limited), errors.As(err, &tooLarge):
		return l.failed(s, err)
	}
	// Any other error is treated as a lost answer. Reading the value again
	// tells whether the write took effect.
	return l.writeUncertain(s, p, expected)
}

func (l *Ledger) writeUncertain(s *shard, p *plan, expected uint64) time.Duration {
	s.snapshot = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, op := range p.writers {
		op.uncertain, op.uncertainAt = true, expected
	}
	if s.failures == 0 {
		s.failures++
		return 0
	}
	return l.backoff(s)
}

// committed settles the operations of a write that took effect.
func (l *Ledger) committed(s *shard, p *plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.failures = 0
	for _, op := range p.writers {
		if op.kind != opClaim {
			l.settle(op)
			continue
		}
		op.stored = true
		if !op.givenUp { // else takePending turns it into a task to mark the record
			op.won = true
			l.settle(op)
		}
	}
	l.dropSettled(s)
}

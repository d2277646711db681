package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/cloud"
)

// initialBackoff is the delay after the first failed store call.
const initialBackoff = 5 * time.Millisecond

// shard is the operation queue of one journal value. At most one worker runs per
// shard; only the worker accesses snapshot, work, abandonOps and failures.
type shard struct {
	storeKey string
	hour     int64
	wake     chan struct{} // signalled when an operation is added to pending

	pending     []*operation // guarded by Ledger.mu
	running     bool         // guarded by Ledger.mu
	lastUsed    time.Time    // guarded by Ledger.mu
	cachedBytes int          // size counted in Ledger.cachedBytes while idle; guarded by Ledger.mu

	snapshot   *snapshot    // nil if the value must be read again
	work       []*operation // operations taken from pending that are not settled
	abandonOps []*operation // operations that mark records as abandoned, to be added to work
	failures   int          // consecutive failed store calls
}

// enqueue adds op to its shard and starts the worker if needed; mu is held.
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
		l.cachedBytes -= s.cachedBytes
		s.cachedBytes = 0
		l.workers.Add(1)
		go l.runWorker(s)
	default:
		l.cfg.Logger.Warn("order outcome was not written: the order journal is closed", "shard", storeKey)
	}
}

// runWorker processes the operations of a shard until none are left.
func (l *Ledger) runWorker(s *shard) {
	defer l.workers.Done()
	for !l.stopIfIdle(s) {
		if !l.acquireCallSlot() {
			l.stopAfterClose(s)
			return
		}
		delay := l.processBatch(s)
		<-l.callSlots
		l.waitBeforeRetry(s, delay)
	}
}

// stopIfIdle marks the worker as stopped if the shard has no operations, and
// reports whether it did.
func (l *Ledger) stopIfIdle(s *shard) bool {
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
	s.cachedBytes = s.snapshot.size
	l.cachedBytes += s.cachedBytes
	for l.cachedBytes > l.cfg.CacheBytes {
		l.evictOldest()
	}
	return true
}

// evictOldest drops the least recently used idle shard. mu is held and at least
// one shard is idle.
func (l *Ledger) evictOldest() {
	var oldest *shard
	for _, s := range l.shards {
		if !s.running && (oldest == nil || s.lastUsed.Before(oldest.lastUsed)) {
			oldest = s
		}
	}
	l.cachedBytes -= oldest.cachedBytes
	delete(l.shards, oldest.storeKey)
}

// acquireCallSlot waits for a call slot and for the end of the rate limit. It
// returns false if the ledger is closed.
func (l *Ledger) acquireCallSlot() bool {
	select {
	case l.callSlots <- struct{}{}:
	case <-l.ctx.Done():
		return false
	}
	for {
		l.mu.Lock()
		delay := time.Until(l.rateLimitedUntil)
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

// waitBeforeRetry waits for delay, or until an operation is added: a new claim
// should learn without delay whether the store is available.
func (l *Ledger) waitBeforeRetry(s *shard, delay time.Duration) {
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

// stopAfterClose fails the waiting operations once Close has stopped waiting for
// the store.
func (l *Ledger) stopAfterClose(s *shard) {
	l.takePending(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failWaiting(s, true, outcome.New(outcome.StoreUnavailable, "the order journal was closed"))
	s.running = false
	if len(s.work) > 0 {
		l.cfg.Logger.Warn("order outcomes were not written", "shard", s.storeKey, "count", len(s.work))
	}
}

// processBatch reads the value if needed and writes it at most once. It returns
// the delay before the next batch.
func (l *Ledger) processBatch(s *shard) time.Duration {
	l.takePending(s)
	if len(s.work) == 0 {
		return 0
	}
	if s.snapshot == nil {
		if err := l.readSnapshot(s); err != nil {
			return l.handleReadFailure(s, err)
		}
	}
	w, err := l.nextWrite(s)
	if err == nil && w.needsReread {
		if err := l.readSnapshot(s); err != nil {
			return l.handleReadFailure(s, err)
		}
		w, err = l.nextWrite(s)
	}
	if err != nil {
		return l.handleReadFailure(s, err)
	}
	if len(w.operations) == 0 {
		s.failures = 0
		return 0
	}
	return l.commitWrite(s, w)
}

// takePending moves the pending operations to work and drops those whose callers
// no longer wait. If the claim of such a caller is in the store or may still get
// there, it becomes an operation that marks its record as abandoned.
func (l *Ledger) takePending(s *shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append(s.work, s.pending...)
	s.work, s.pending = nil, nil
	for _, op := range all {
		switch {
		case op.isSettled:
		case op.abandoned && op.kind == opLookup:
		case op.abandoned && op.kind == opClaim && !op.stored && !op.uncertain: // cannot get into the store
			l.unwritten--
			delete(l.abandoned, op.record.AttemptId)
		case op.abandoned && op.kind == opClaim:
			l.convertToAbandon(op)
			s.work = append(s.work, op)
		default:
			s.work = append(s.work, op)
		}
	}
	s.work = append(s.work, s.abandonOps...)
	s.abandonOps = nil
	l.checkDrained()
}

func (l *Ledger) readSnapshot(s *shard) error {
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
		op.hasFreshSnapshot = true
	}
	return nil
}

func (l *Ledger) handleReadFailure(s *shard, err error) time.Duration {
	s.snapshot = nil
	return l.handleFailure(s, err)
}

// handleFailure handles a failed call that had no effect on the store. It returns
// the delay before the next batch.
func (l *Ledger) handleFailure(s *shard, err error) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.backoff(s)
	var rateLimited *cloud.RateLimitedError
	if errors.As(err, &rateLimited) {
		// The platform limits all calls, so all shards wait. New claims do not
		// shorten this delay, unlike the one after an outage.
		if until := time.Now().Add(rateLimited.RetryAfter + delay); until.After(l.rateLimitedUntil) {
			l.rateLimitedUntil = until
		}
		return 0
	}
	var outcomeErr *outcome.Error
	if !errors.As(err, &outcomeErr) {
		outcomeErr = outcome.Wrap(err, outcome.StoreUnavailable, "the order was not claimed")
	}
	l.failWaiting(s, false, outcomeErr)
	return delay
}

// failWaiting fails the claims and lookups that still have a caller; mu is held.
// A claim whose write may have taken effect can still be confirmed, so it keeps
// waiting unless includeUncertain is set.
func (l *Ledger) failWaiting(s *shard, includeUncertain bool, err error) {
	rest := s.work[:0]
	for _, op := range s.work {
		waits := (op.kind == opClaim || op.kind == opLookup) && !op.abandoned
		if waits && (includeUncertain || !op.uncertain) {
			l.settleWith(s, op, nil, err)
		} else {
			rest = append(rest, op)
		}
	}
	s.work = append(rest, s.abandonOps...)
	s.abandonOps = nil
}

// backoff counts a failure and returns the delay before the next call. The delay
// doubles with each failure, and up to half of it is random. At most 20 doublings
// keep the duration from overflowing.
func (l *Ledger) backoff(s *shard) time.Duration {
	delay := min(initialBackoff<<min(s.failures, 20), l.cfg.MaxBackoff)
	s.failures++
	return delay/2 + rand.N(delay/2+1)
}

// commitWrite commits a write with one compare-and-swap.
func (l *Ledger) commitWrite(s *shard, w *nextWrite) time.Duration {
	expected := s.snapshot.revision
	value := s.snapshot.encode(w.changes, w.size)
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
	defer cancel()
	revision, err := l.kv.Put(ctx, s.storeKey, value, expected, 0)
	var (
		conflict    *cloud.ConflictError
		unavailable *cloud.UnavailableError
		rateLimited *cloud.RateLimitedError
		tooLarge    *cloud.TooLargeError
	)
	switch {
	case err == nil:
		s.snapshot.apply(w.changes, revision, w.size)
		l.handleCommit(s, w)
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
	case errors.As(err, &unavailable), errors.As(err, &rateLimited), errors.As(err, &tooLarge):
		return l.handleFailure(s, err)
	}
	// Any other error is treated as a lost response. Reading the value again
	// shows whether the write took effect.
	return l.handleUncertainWrite(s, w, expected)
}

func (l *Ledger) handleUncertainWrite(s *shard, w *nextWrite, expected uint64) time.Duration {
	s.snapshot = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, op := range w.operations {
		op.uncertain, op.uncertainRevision = true, expected
	}
	if s.failures == 0 { // read again at once after the first lost response
		s.failures++
		return 0
	}
	return l.backoff(s)
}

// handleCommit settles the operations of a committed write.
func (l *Ledger) handleCommit(s *shard, w *nextWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.failures = 0
	for _, op := range w.operations {
		if op.kind != opClaim {
			l.settle(op)
			continue
		}
		op.stored = true
		if !op.abandoned { // else takePending converts it to opAbandon
			op.won = true
			l.settle(op)
		}
	}
	l.dropSettled(s)
}

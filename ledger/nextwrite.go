package ledger

import (
	"bytes"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
)

// nextWrite is the next write of a shard value.
type nextWrite struct {
	changes     map[keyHash][]byte            // encoded records to write
	records     map[keyHash]*wire.OrderRecord // the same records, decoded
	operations  []*operation                  // settled when the write is committed
	size        int                           // of the new value in bytes
	needsReread bool                          // an operation needs a newer snapshot
}

// nextWrite evaluates each operation against the snapshot. Operations that need no
// write are settled; the others are added to the result.
func (l *Ledger) nextWrite(s *shard) (*nextWrite, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &nextWrite{changes: map[keyHash][]byte{}, records: map[keyHash]*wire.OrderRecord{}, size: s.snapshot.size}
	for _, op := range s.work {
		if op.isSettled || op.abandoned && op.kind != opAbandon {
			continue
		}
		if err := l.decideOperation(s, w, op); err != nil {
			return nil, outcome.Wrap(err, outcome.Internal, "unreadable record in %s", s.storeKey)
		}
	}
	l.dropSettled(s)
	return w, nil
}

// dropSettled removes settled operations from the work list; mu is held.
func (l *Ledger) dropSettled(s *shard) {
	rest := s.work[:0]
	for _, op := range s.work {
		if !op.isSettled {
			rest = append(rest, op)
		}
	}
	s.work = append(rest, s.abandonOps...)
	s.abandonOps = nil
}

func (l *Ledger) decideOperation(s *shard, w *nextWrite, op *operation) error {
	current, planned := w.records[op.key.hash]
	if !planned || op.kind == opLookup {
		var err error
		if current, err = s.snapshot.find(op.key.hash); err != nil {
			return err
		}
	}
	switch op.kind {
	case opLookup:
		l.decideLookup(s, w, op, current)
		return nil
	case opClaim:
		return l.decideClaim(s, w, op, current, planned)
	case opFinish:
		return l.decideFinish(s, w, op, current)
	}
	return l.decideAbandon(s, w, op, current, planned)
}

func (l *Ledger) decideLookup(s *shard, w *nextWrite, op *operation, current *wire.OrderRecord) {
	if !op.hasFreshSnapshot && !isDone(current) {
		w.needsReread = true
		return
	}
	if current != nil && l.replaceable(current) {
		current.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
	}
	l.settleWith(s, op, current, nil)
}

func (l *Ledger) decideClaim(s *shard, w *nextWrite, op *operation, current *wire.OrderRecord, planned bool) error {
	switch {
	case l.isOwnRecord(op, current):
		// An earlier write of this claim took effect. Only this operation can
		// change its record.
		op.won = true
		l.settle(op)
		return nil
	case l.replaceable(current):
		return l.addClaim(s, w, op)
	case planned:
		return nil // evaluated after the planned change is committed
	case !op.hasFreshSnapshot && !isDone(current):
		w.needsReread = true
		return nil
	case !bytes.Equal(current.RequestDigest, op.record.RequestDigest):
		l.settleWith(s, op, nil, errKeyConflict())
		return nil
	}
	l.settleWith(s, op, current, nil)
	return nil
}

func (l *Ledger) addClaim(s *shard, w *nextWrite, op *operation) error {
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	if w.sizeWith(s, op, frame) > claimLimitBytes {
		l.settleWith(s, op, nil, outcome.New(outcome.Overloaded, "the journal of the key's hour is full"))
		return nil
	}
	w.add(s, op, frame)
	return nil
}

func (l *Ledger) decideFinish(s *shard, w *nextWrite, op *operation, current *wire.OrderRecord) error {
	if deletable(op.key.hour(), l.cfg.Now()) || current != nil && !l.isOwnRecord(op, current) {
		l.cfg.Logger.Warn("an order outcome has no claim in the store", "shard", s.storeKey, "attempt", op.record.AttemptId)
		l.settle(op)
		return nil
	}
	if isDone(current) {
		l.settle(op)
		return nil
	}
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	if w.sizeWith(s, op, frame) > bodyLimitBytes && len(op.record.Body)+len(op.record.ContentType) > 0 {
		op.record.Body, op.record.ContentType, op.record.BodyOmitted = nil, "", true
		if frame, err = encodeFrame(op.record); err != nil {
			return err
		}
	}
	w.add(s, op, frame)
	return nil
}

// decideAbandon marks the record of an abandoned attempt. If the record is absent,
// a write of it may still take effect while the value has the revision that the
// write expects. Any other write to the value prevents that, because revisions
// only increase.
func (l *Ledger) decideAbandon(s *shard, w *nextWrite, op *operation, current *wire.OrderRecord, planned bool) error {
	isOwn := l.isOwnRecord(op, current)
	switch {
	case deletable(op.key.hour(), l.cfg.Now()),
		isOwn && current.Status != wire.OrderStatus_ORDER_STATUS_CLAIMED,
		!isOwn && (!op.uncertain || s.snapshot.revision != op.uncertainRevision):
		l.settle(op)
		return nil
	case !isOwn && (planned || s.snapshot.revision != 0):
		// The write changes the revision of the value, also if it changes no record.
		w.operations = append(w.operations, op)
		return nil
	}
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	w.add(s, op, frame)
	return nil
}

// isOwnRecord reports whether current was written by the attempt of op.
func (l *Ledger) isOwnRecord(op *operation, current *wire.OrderRecord) bool {
	return current != nil && current.Claimant == l.claimant && current.AttemptId == op.record.AttemptId
}

// replaceable reports whether a new claim may replace current, because there is
// no record or its order will never be sent; mu is held.
func (l *Ledger) replaceable(current *wire.OrderRecord) bool {
	if current == nil || current.Status == wire.OrderStatus_ORDER_STATUS_ABANDONED {
		return true
	}
	_, abandoned := l.abandoned[current.AttemptId]
	return abandoned && current.Claimant == l.claimant && !isDone(current)
}

func isDone(record *wire.OrderRecord) bool {
	return record != nil && record.Status == wire.OrderStatus_ORDER_STATUS_DONE
}

// sizeWith returns the size of the value in bytes with frame written for op.
func (w *nextWrite) sizeWith(s *shard, op *operation, frame []byte) int {
	old, ok := w.changes[op.key.hash]
	if !ok {
		return w.size + len(frame) - s.snapshot.frameSize(op.key.hash)
	}
	return w.size + len(frame) - len(old)
}

func (w *nextWrite) add(s *shard, op *operation, frame []byte) {
	w.size = w.sizeWith(s, op, frame)
	w.changes[op.key.hash] = frame
	w.records[op.key.hash] = op.record
	w.operations = append(w.operations, op)
}

package ledger

import (
	"bytes"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
)

// plan is the next write of a shard value.
type plan struct {
	changes     map[keyHash][]byte // encoded records
	records     map[keyHash]*wire.OrderRecord
	operations  []*operation
	size        int // of the value in bytes
	needsReread bool
}

// plan evaluates each operation against the snapshot. Operations that need no
// write are settled; the others are added to the plan.
func (l *Ledger) plan(s *shard) (*plan, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &plan{changes: map[keyHash][]byte{}, records: map[keyHash]*wire.OrderRecord{}, size: s.snapshot.size}
	for _, op := range s.work {
		if op.isSettled || op.abandoned && op.kind != opAbandon {
			continue
		}
		if err := l.decideOperation(s, p, op); err != nil {
			return nil, outcome.Wrap(err, outcome.Internal, "unreadable record in %s", s.storeKey)
		}
	}
	l.dropSettled(s)
	return p, nil
}

// dropSettled removes settled operations from the work list; mu is held.
func (l *Ledger) dropSettled(s *shard) {
	rest := s.work[:0]
	for _, op := range s.work {
		if !op.isSettled {
			rest = append(rest, op)
		}
	}
	s.work = append(rest, s.marks...)
	s.marks = nil
}

func (l *Ledger) decideOperation(s *shard, p *plan, op *operation) error {
	current, planned := p.records[op.key.hash]
	if !planned || op.kind == opLookup {
		var err error
		if current, err = s.snapshot.find(op.key.hash); err != nil {
			return err
		}
	}
	switch op.kind {
	case opLookup:
		l.decideLookup(s, p, op, current)
		return nil
	case opClaim:
		return l.decideClaim(s, p, op, current, planned)
	case opFinish:
		return l.decideFinish(s, p, op, current)
	}
	return l.decideAbandon(s, p, op, current, planned)
}

func (l *Ledger) decideLookup(s *shard, p *plan, op *operation, current *wire.OrderRecord) {
	if !op.hasFreshSnapshot && !isDone(current) {
		p.needsReread = true
		return
	}
	if current != nil && l.replaceable(current) {
		current.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
	}
	l.settleWith(s, op, current, nil)
}

func (l *Ledger) decideClaim(s *shard, p *plan, op *operation, current *wire.OrderRecord, planned bool) error {
	switch {
	case l.isOwnRecord(op, current):
		// The claim is stored and only this operation can change its record.
		op.won = true
		l.settle(op)
		return nil
	case l.replaceable(current):
		return l.addClaim(s, p, op)
	case planned:
		return nil // evaluated after the planned change is committed
	case !op.hasFreshSnapshot && !isDone(current):
		p.needsReread = true
		return nil
	case !bytes.Equal(current.RequestDigest, op.record.RequestDigest):
		l.settleWith(s, op, nil, errKeyConflict())
		return nil
	}
	l.settleWith(s, op, current, nil)
	return nil
}

func (l *Ledger) addClaim(s *shard, p *plan, op *operation) error {
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	if p.sizeWith(s, op, frame) > claimLimitBytes {
		l.settleWith(s, op, nil, outcome.New(outcome.Overloaded, "the journal of the key's hour is full"))
		return nil
	}
	p.add(s, op, frame)
	return nil
}

func (l *Ledger) decideFinish(s *shard, p *plan, op *operation, current *wire.OrderRecord) error {
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
	if p.sizeWith(s, op, frame) > bodyLimitBytes && len(op.record.Body)+len(op.record.ContentType) > 0 {
		op.record.Body, op.record.ContentType, op.record.BodyOmitted = nil, "", true
		if frame, err = encodeFrame(op.record); err != nil {
			return err
		}
	}
	p.add(s, op, frame)
	return nil
}

// decideAbandon marks the record of an abandoned attempt. If the record is absent
// but a write of it may still take effect, any other write at the revision that
// it expects prevents that, because revisions only increase.
func (l *Ledger) decideAbandon(s *shard, p *plan, op *operation, current *wire.OrderRecord, planned bool) error {
	mine := l.isOwnRecord(op, current)
	switch {
	case deletable(op.key.hour(), l.cfg.Now()),
		mine && current.Status != wire.OrderStatus_ORDER_STATUS_CLAIMED,
		!mine && (!op.uncertain || s.snapshot.revision != op.uncertainRevision):
		l.settle(op)
		return nil
	case !mine && (planned || s.snapshot.revision != 0):
		p.operations = append(p.operations, op)
		return nil
	}
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	p.add(s, op, frame)
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
func (p *plan) sizeWith(s *shard, op *operation, frame []byte) int {
	old, ok := p.changes[op.key.hash]
	if !ok {
		return p.size + len(frame) - s.snapshot.frameSize(op.key.hash)
	}
	return p.size + len(frame) - len(old)
}

func (p *plan) add(s *shard, op *operation, frame []byte) {
	p.size = p.sizeWith(s, op, frame)
	p.changes[op.key.hash] = frame
	p.records[op.key.hash] = op.record
	p.operations = append(p.operations, op)
}

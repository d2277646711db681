package ledger

import (
	"bytes"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
)

// plan is the content of the next write.
type plan struct {
	changes map[keyHash][]byte
	records map[keyHash]*wire.OrderRecord
	writers []*operation
	size    int
	reread  bool
}

// plan decides what the snapshot means for each operation. Operations that
// need no write are settled.
func (l *Ledger) plan(s *shard) (*plan, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &plan{changes: map[keyHash][]byte{}, records: map[keyHash]*wire.OrderRecord{}, size: s.snapshot.size}
	for _, op := range s.work {
		if op.isSettled || op.givenUp && op.kind != opAbandon {
			continue
		}
		if err := l.decide(s, p, op); err != nil {
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

func (l *Ledger) decide(s *shard, p *plan, op *operation) error {
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
	if !op.fresh && !isDone(current) {
		p.reread = true
		return
	}
	if current != nil && l.replaceable(current) {
		current.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
	}
	l.refuse(s, op, current, nil)
}

func (l *Ledger) decideClaim(s *shard, p *plan, op *operation, current *wire.OrderRecord, planned bool) error {
	switch {
	case l.isMine(op, current):
		// The claim is in the store and only this operation can change it.
		op.won = true
		l.settle(op)
		return nil
	case l.replaceable(current):
		return l.addClaim(s, p, op)
	case planned:
		return nil // decided when the other change is committed
	case !op.fresh && !isDone(current):
		p.reread = true
		return nil
	case !bytes.Equal(current.RequestDigest, op.record.RequestDigest):
		l.refuse(s, op, nil, errKeyConflict())
		return nil
	}
	l.refuse(s, op, current, nil)
	return nil
}

func (l *Ledger) addClaim(s *shard, p *plan, op *operation) error {
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	if p.sizeWith(s, op, frame) > claimLimitBytes {
		l.refuse(s, op, nil, outcome.New(outcome.Overloaded, "the journal of the key's hour is full"))
		return nil
	}
	p.add(s, op, frame)
	return nil
}

func (l *Ledger) decideFinish(s *shard, p *plan, op *operation, current *wire.OrderRecord) error {
	if deletable(op.key.hour(), l.cfg.Now()) || current != nil && !l.isMine(op, current) {
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

// decideAbandon marks the record of a given-up attempt. If the record is absent
// and its write may still take effect, any write of the value at the expected
// revision prevents that: revisions only rise.
func (l *Ledger) decideAbandon(s *shard, p *plan, op *operation, current *wire.OrderRecord, planned bool) error {
	mine := l.isMine(op, current)
	switch {
	case deletable(op.key.hour(), l.cfg.Now()),
		mine && current.Status != wire.OrderStatus_ORDER_STATUS_CLAIMED,
		!mine && (!op.uncertain || s.snapshot.revision != op.uncertainAt):
		l.settle(op)
		return nil
	case !mine && (planned || s.snapshot.revision != 0):
		p.writers = append(p.writers, op)
		return nil
	}
	frame, err := encodeFrame(op.record)
	if err != nil {
		return err
	}
	p.add(s, op, frame)
	return nil
}

// isMine reports whether current is the record of op's attempt.
func (l *Ledger) isMine(op *operation, current *wire.OrderRecord) bool {
	return current != nil && current.Claimant == l.claimant && current.AttemptId == op.record.AttemptId
}

// replaceable reports whether a new claim may take the place of current: there
// is no record, or its attempt is known never to be sent; mu is held.
func (l *Ledger) replaceable(current *wire.OrderRecord) bool {
	if current == nil || current.Status == wire.OrderStatus_ORDER_STATUS_ABANDONED {
		return true
	}
	_, givenUp := l.givenUp[current.AttemptId]
	return givenUp && current.Claimant == l.claimant && !isDone(current)
}

func isDone(record *wire.OrderRecord) bool {
	return record != nil && record.Status == wire.OrderStatus_ORDER_STATUS_DONE
}

// sizeWith returns the size of the value in bytes if frame is written for op.
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
	p.writers = append(p.writers, op)
}

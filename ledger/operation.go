package ledger

import (
	"bytes"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
)

type opKind int

const (
	opClaim opKind = iota
	opFinish
	opAbandon
	opLookup
)

// operation is one request to a shard's worker. The fields below the blank
// line are guarded by Ledger.mu until settled is closed.
type operation struct {
	key     Key
	settled chan struct{}

	kind   opKind
	record *wire.OrderRecord // record to write; nil for a lookup
	// fresh: the snapshot was read after the operation arrived.
	fresh bool
	// uncertain: a write of this attempt may still take effect. It can do so
	// only while the value's revision is uncertainAt.
	uncertain   bool
	uncertainAt uint64
	// stored: the claim took effect.
	stored bool
	// givenUp: the waiting caller has left.
	givenUp   bool
	isSettled bool

	won   bool
	found *wire.OrderRecord
	err   error
}

func (op *operation) copyRecord() *wire.OrderRecord { return cloneRecord(op.record) }

// refusal returns what a second claim of the same key is told.
func (op *operation) refusal(digest []byte) error {
	switch {
	case !bytes.Equal(op.record.RequestDigest, digest):
		return errKeyConflict()
	case op.kind == opFinish:
		return nil
	}
	return outcome.New(outcome.OrderInProgress, "this process still works on the order")
}

func errKeyConflict() error {
	return outcome.New(outcome.KeyConflict, "the order key was used for a different request")
}

// giveUp marks that the caller of op has left; mu is held.
func (l *Ledger) giveUp(op *operation) {
	op.givenUp = true
	l.waiting--
	if op.kind == opClaim {
		l.givenUp[op.record.AttemptId] = struct{}{}
		l.unwritten++
		l.forget(op)
	}
	l.checkDrained()
}

// abandon turns the given-up claim op into the task to mark its record; mu is
// held.
func (l *Ledger) abandon(op *operation) {
	op.kind = opAbandon
	op.record = cloneRecord(op.record)
	op.record.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
}

// forget ends this process's work on a claim; mu is held.
func (l *Ledger) forget(op *operation) {
	if l.local[op.key.hash] == op {
		delete(l.local, op.key.hash)
	}
}

// settle ends an operation; mu is held.
func (l *Ledger) settle(op *operation) {
	op.isSettled = true
	close(op.settled)
	switch op.kind {
	case opClaim:
		l.waiting--
		if !op.won {
			l.forget(op)
		}
	case opLookup:
		l.waiting--
	case opFinish, opAbandon:
		l.unwritten--
		delete(l.givenUp, op.record.AttemptId)
		l.forget(op)
	}
	l.checkDrained()
}

// refuse settles a claim that was not won or a lookup; mu is held. A claim
// whose writes may still take effect leaves a task to mark its record.
func (l *Ledger) refuse(s *shard, op *operation, found *wire.OrderRecord, err error) {
	op.found, op.err = found, err
	if op.kind == opClaim && op.uncertain {
		mark := &operation{key: op.key, settled: make(chan struct{}), record: op.record,
			uncertain: true, uncertainAt: op.uncertainAt}
		l.abandon(mark)
		l.givenUp[mark.record.AttemptId] = struct{}{}
		l.unwritten++
		s.marks = append(s.marks, mark)
	}
	l.settle(op)
}

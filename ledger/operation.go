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

// operation is one request to the worker of a shard. All fields from kind on are
// guarded by Ledger.mu until settled is closed.
type operation struct {
	key     Key
	settled chan struct{}

	kind   opKind
	record *wire.OrderRecord // record to write; nil for a lookup
	// hasFreshSnapshot is set if the value was read after the operation was queued.
	hasFreshSnapshot bool
	// uncertain is set if a write of this attempt may still take effect. This is
	// possible only while the revision of the value is uncertainRevision.
	uncertain         bool
	uncertainRevision uint64
	// stored is set if the claim was committed to the store.
	stored bool
	// abandoned is set if the caller no longer waits. The order of an abandoned
	// claim is never sent.
	abandoned bool
	isSettled bool // set before settled is closed

	won   bool              // the claim was granted
	found *wire.OrderRecord // result of a lookup or of a claim that was not granted
	err   error             // set if the operation failed
}

func (op *operation) copyRecord() *wire.OrderRecord { return cloneRecord(op.record) }

// refusal returns the error for a second claim of the same key.
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

// abandonOperation abandons op because its caller no longer waits; mu is held. The
// worker then marks the record of a claim as abandoned.
func (l *Ledger) abandonOperation(op *operation) {
	op.abandoned = true
	l.waiting--
	if op.kind == opClaim {
		l.abandoned[op.record.AttemptId] = struct{}{}
		l.unwritten++
		l.removeInFlight(op)
	}
	l.checkDrained()
}

// convertToAbandon turns an abandoned or failed claim into the operation that
// marks its record as abandoned; mu is held.
func (l *Ledger) convertToAbandon(op *operation) {
	op.kind = opAbandon
	op.record = cloneRecord(op.record)
	op.record.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
}

// removeInFlight removes op from the operations in flight; mu is held.
func (l *Ledger) removeInFlight(op *operation) {
	if l.inFlight[op.key.hash] == op {
		delete(l.inFlight, op.key.hash)
	}
}

// settle completes an operation and wakes its caller; mu is held.
func (l *Ledger) settle(op *operation) {
	op.isSettled = true
	close(op.settled)
	switch op.kind {
	case opClaim:
		l.waiting--
		if !op.won {
			l.removeInFlight(op)
		}
	case opLookup:
		l.waiting--
	case opFinish, opAbandon:
		l.unwritten--
		delete(l.abandoned, op.record.AttemptId)
		l.removeInFlight(op)
	}
	l.checkDrained()
}

// settleWith sets the result of a lookup, or of a claim that was not granted, and
// settles it; mu is held. If a write of the claim may still take effect, an
// operation that marks its record as abandoned is added to the shard.
func (l *Ledger) settleWith(s *shard, op *operation, found *wire.OrderRecord, err error) {
	op.found, op.err = found, err
	if op.kind == opClaim && op.uncertain {
		abandonOp := &operation{key: op.key, settled: make(chan struct{}), record: op.record,
			uncertain: true, uncertainRevision: op.uncertainRevision}
		l.convertToAbandon(abandonOp)
		l.abandoned[abandonOp.record.AttemptId] = struct{}{}
		l.unwritten++
		s.abandonOps = append(s.abandonOps, abandonOp)
	}
	l.settle(op)
}

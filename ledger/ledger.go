// Package ledger keeps a journal of non-idempotent orders in the platform's
// key-value service. It ensures that an order is sent at most once even if
// processes pause or crash and responses of the store are lost: the right to
// send is a record that is written by compare-and-swap before the order is
// sent, and it depends on no lease or timer.
//
// A record belongs to one attempt of one claimant. An attempt whose claim was
// not confirmed in time is abandoned permanently: the ledger never grants the
// right to send for it, even if its record appears in the store later.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
)

// Size limits of records and values, in bytes.
const (
	// MaxBodyBytes is the largest response body that is recorded.
	MaxBodyBytes = 2 << 10
	// MaxAttemptBytes is the maximum length of an attempt id.
	MaxAttemptBytes = 128
	// MaxDigestBytes is the maximum length of a request digest.
	MaxDigestBytes = 64
	// maxContentTypeBytes limits the size of a record: a response with a longer
	// content type is recorded without its body.
	maxContentTypeBytes = 128
	// claimLimitBytes is the value size above which new claims are rejected.
	// The remainder is reserved for outcomes, which add 6 bytes per record once
	// bodies are no longer recorded: 42 KB for 7,000 records.
	claimLimitBytes = cloud.MaxValueBytes - 64<<10
	// bodyLimitBytes is the value size above which bodies are no longer
	// recorded, so that large responses leave space for claims.
	bodyLimitBytes = cloud.MaxValueBytes / 2
)

// Config holds the limits of a Ledger. Zero values select the defaults.
type Config struct {
	// MaxWaiting is the maximum number of claims and lookups that wait for the
	// store; default 4096.
	MaxWaiting int
	// MaxUnwritten is the number of unwritten outcomes and abandoned claims at
	// which new claims are rejected; default 65536.
	MaxUnwritten int
	// MaxCalls is the maximum number of concurrent store calls; default 8.
	// While a shard waits for a call slot, its operations accumulate into a
	// larger batch.
	MaxCalls int
	// CallTimeout is the timeout of one store call; default 1 s.
	CallTimeout time.Duration
	// MaxBackoff is the maximum delay between attempts to write an outcome;
	// default 2 s.
	MaxBackoff time.Duration
	// CacheBytes limits the total size of the values cached for idle shards;
	// default 64 MiB. Their indexes use about half as much in addition.
	CacheBytes int
	// SweepInterval is the mean time between sweeps; default 30 min.
	SweepInterval time.Duration
	// SweepLimit is the maximum number of values deleted per sweep; default 128.
	SweepLimit int
	// Now returns the wall clock; default time.Now.
	Now func() time.Time
	// Logger receives warnings about unrecorded outcomes and sweep errors;
	// default slog.Default().
	Logger *slog.Logger
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxWaiting, 4096)
	setDefault(&c.MaxUnwritten, 65536)
	setDefault(&c.MaxCalls, 8)
	setDefault(&c.CallTimeout, time.Second)
	setDefault(&c.MaxBackoff, 2*time.Second)
	setDefault(&c.CacheBytes, 64<<20)
	setDefault(&c.SweepInterval, 30*time.Minute)
	setDefault(&c.SweepLimit, 128)
	setDefault(&c.Logger, slog.Default())
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Ledger claims orders and records their outcomes. It is safe for concurrent use.
//
// mu is the only lock; no other lock is taken and no store call is made while it
// is held. The snapshot, work list and failure count of a shard are accessed
// only by the single worker of the shard.
type Ledger struct {
	kv        cloud.KV
	claimant  string
	cfg       Config
	ctx       context.Context // cancelled when Close stops waiting for the store
	cancel    context.CancelFunc
	callSlots chan struct{} // semaphore: one element per store call in flight
	workers   sync.WaitGroup

	mu               sync.Mutex             // guards the fields below
	shards           map[string]*shard      // by store key; with a running worker, or idle with a cached value
	inFlight         map[keyHash]*operation // claims and outcomes of this process that are not settled in the store
	abandoned        map[string]struct{}    // ids of attempts that must never be sent
	sequence         uint64                 // number of claims so far, part of their attempt ids
	waiting          int                    // number of claims and lookups waiting for the store
	unwritten        int                    // number of outcomes and abandoned claims to write
	cachedBytes      int                    // total size of the values cached for idle shards
	rateLimitedUntil time.Time              // end of the retry delay set by the platform
	closing          bool
	closed           bool          // set by Close: no worker may start
	drained          chan struct{} // closed when closing is set and nothing is waiting or unwritten
}

// New returns a ledger. claimant identifies this process by VM id and epoch; no
// other Ledger may ever use the same value.
func New(kv cloud.KV, claimant string, cfg Config) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	cfg = cfg.withDefaults()
	return &Ledger{
		kv: kv, claimant: claimant, cfg: cfg, ctx: ctx, cancel: cancel,
		callSlots: make(chan struct{}, cfg.MaxCalls),
		shards:    map[string]*shard{},
		inFlight:  map[keyHash]*operation{},
		abandoned: map[string]struct{}{},
		drained:   make(chan struct{}),
	}
}

// Claim is the exclusive right to send one order once. Its holder must call one
// of Done, Abandon and InDoubt; further calls have no effect.
type Claim struct {
	ledger *Ledger
	op     *operation
	once   sync.Once
}

// Claim requests the right to send an order. requestDigest identifies method,
// path and body; attemptID is stored in the record.
//
// If the right is granted, the Claim is not nil. If the journal holds the claim
// of another attempt, its record is returned: ORDER_STATUS_DONE with the
// outcome, or ORDER_STATUS_CLAIMED for an order that may have run. Otherwise the
// error is an *outcome.Error: order_in_progress (with a record) if this process
// is still processing the key; every other code means that this attempt will
// never run: key_conflict, key_expired, overloaded, store_unavailable, draining,
// invalid_request, internal (an unreadable value), and cancelled if ctx was
// cancelled.
func (l *Ledger) Claim(ctx context.Context, key Key, requestDigest []byte, attemptID string) (*Claim, *wire.OrderRecord, error) {
	if err := l.checkClaim(ctx, key, requestDigest, attemptID); err != nil {
		return nil, nil, err
	}
	op, record, err := l.startClaim(ctx, key, requestDigest, attemptID)
	if op == nil {
		return nil, record, err
	}
	if !l.await(ctx, op) {
		return nil, nil, waitError(ctx)
	}
	if !op.won {
		return nil, op.found, op.err
	}
	claim := &Claim{ledger: l, op: op}
	// A paused process may have claimed a key whose earlier record was deleted
	// during the pause, so the age is checked again after the claim is
	// confirmed. This is the last check before the order is sent.
	err = key.checkAge(l.cfg.Now())
	if err == nil && ctx.Err() != nil {
		err = waitError(ctx)
	}
	if err != nil {
		claim.Abandon()
		return nil, nil, err
	}
	return claim, nil, nil
}

func (l *Ledger) checkClaim(ctx context.Context, key Key, digest []byte, attemptID string) error {
	if len(attemptID) > MaxAttemptBytes || len(digest) > MaxDigestBytes {
		return outcome.New(outcome.InvalidRequest, "attempt id of %d bytes, digest of %d bytes", len(attemptID), len(digest))
	}
	if ctx.Err() != nil {
		return waitError(ctx)
	}
	return key.checkAge(l.cfg.Now())
}

// waitError returns the error for a wait that ended because ctx is done.
func waitError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Wrap(cause, outcome.Cancelled, "cancelled while waiting for the order journal")
	}
	return outcome.Wrap(cause, outcome.StoreUnavailable, "the order journal did not answer in time")
}

func (l *Ledger) startClaim(ctx context.Context, key Key, digest []byte, attemptID string) (*operation, *wire.OrderRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.inFlight[key.hash]; current != nil {
		return nil, current.copyRecord(), current.refusal(digest)
	}
	if err := l.admit(ctx); err != nil {
		return nil, nil, err
	}
	if l.unwritten >= l.cfg.MaxUnwritten {
		return nil, nil, outcome.New(outcome.Overloaded, "%d order outcomes wait for the store", l.unwritten)
	}
	// The sequence number distinguishes attempts even if a caller reuses an
	// attempt id after the first attempt was abandoned.
	l.sequence++
	op := &operation{kind: opClaim, key: key, settled: make(chan struct{}), record: &wire.OrderRecord{
		KeyHash: key.hash[:], Status: wire.OrderStatus_ORDER_STATUS_CLAIMED, Claimant: l.claimant,
		AttemptId:     attemptID + "/" + strconv.FormatUint(l.sequence, 10),
		RequestDigest: digest, ClaimedUnixMs: l.cfg.Now().UnixMilli(),
	}}
	l.inFlight[key.hash] = op
	l.waiting++
	l.enqueue(op)
	return op, nil, nil
}

// admit rejects new operations while closing, with too many of them waiting, or if
// the store takes no call before ctx ends. mu is held.
func (l *Ledger) admit(ctx context.Context) error {
	if l.closing {
		return outcome.New(outcome.Draining, "the order journal is closing")
	}
	if l.waiting >= l.cfg.MaxWaiting {
		return outcome.New(outcome.Overloaded, "%d orders wait for the store", l.waiting)
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(l.rateLimitedUntil) {
		delay := time.Until(l.rateLimitedUntil)
		return outcome.New(outcome.StoreUnavailable, "the store limits the rate of calls for %v", delay.Round(time.Millisecond)).WithRetryAfter(delay)
	}
	return nil
}

// await waits for op and reports whether it was settled. If ctx ends first, op
// is abandoned under the lock, so a worker that confirms the claim afterwards
// cannot grant the right to send.
func (l *Ledger) await(ctx context.Context, op *operation) bool {
	select {
	case <-op.settled:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if op.isSettled {
		return true
	}
	l.abandonOperation(op)
	return false
}

// Done records the response to the order. The record is written in the
// background, with retries until the ledger is closed. The body is recorded if
// it has at most MaxBodyBytes and the value has space for it.
func (c *Claim) Done(status int, contentType string, body []byte) {
	c.once.Do(func() {
		record := c.op.copyRecord()
		record.Status = wire.OrderStatus_ORDER_STATUS_DONE
		record.HttpStatus = uint32(status)
		if len(body) > MaxBodyBytes || len(contentType) > maxContentTypeBytes {
			record.BodyOmitted = true
		} else {
			record.ContentType, record.Body = contentType, append([]byte(nil), body...)
		}
		c.ledger.finish(c.op, opFinish, record)
	})
}

// Abandon records that the order was not sent and never will be. The record is
// marked in the background; then another attempt may claim the key.
func (c *Claim) Abandon() {
	c.once.Do(func() {
		record := c.op.copyRecord()
		record.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
		c.ledger.finish(c.op, opAbandon, record)
	})
}

// InDoubt states that the order was sent and its response is unknown. The
// record stays claimed, so the key can never be claimed again.
func (c *Claim) InDoubt() {
	c.once.Do(func() {
		l := c.ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		l.removeInFlight(c.op)
	})
}

// finish queues the final record of a claim.
func (l *Ledger) finish(claim *operation, kind opKind, record *wire.OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := &operation{kind: kind, key: claim.key, record: record, settled: make(chan struct{})}
	l.unwritten++
	if kind == opAbandon {
		l.abandoned[record.AttemptId] = struct{}{}
		l.removeInFlight(claim)
	} else {
		l.inFlight[claim.key.hash] = op
	}
	l.enqueue(op)
}

// Lookup returns the record of a key, or nil if there is none. The error is an
// *outcome.Error: store_unavailable, overloaded, draining,
// cancelled or internal.
func (l *Ledger) Lookup(ctx context.Context, key Key) (*wire.OrderRecord, error) {
	l.mu.Lock()
	if current := l.inFlight[key.hash]; current != nil && current.kind == opFinish {
		defer l.mu.Unlock()
		return current.copyRecord(), nil
	}
	if err := l.admit(ctx); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	op := &operation{kind: opLookup, key: key, settled: make(chan struct{})}
	l.waiting++
	l.enqueue(op)
	l.mu.Unlock()
	if !l.await(ctx, op) {
		return nil, waitError(ctx)
	}
	return op.found, op.err
}

// InProgress reports whether this process holds or is requesting the claim of
// the key.
func (l *Ledger) InProgress(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := l.inFlight[key.hash]
	return op != nil && op.kind == opClaim
}

// Close rejects new claims and lookups, waits until ctx ends for pending records
// to be written and stops the workers. It returns an *outcome.Error with
// store_unavailable if records were not written; those orders stay claimed. No
// Claim may be used after Close.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		l.checkDrained()
	}
	l.mu.Unlock()
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.workers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unwritten > 0 {
		return fmt.Errorf("close order journal: %w",
			outcome.New(outcome.StoreUnavailable, "%d records were not written", l.unwritten))
	}
	return nil
}

// checkDrained wakes Close if nothing is waiting or unwritten; mu is held.
func (l *Ledger) checkDrained() {
	if !l.closing || l.waiting+l.unwritten > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

func cloneRecord(record *wire.OrderRecord) *wire.OrderRecord {
	return proto.Clone(record).(*wire.OrderRecord)
}

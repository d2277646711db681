// Package ledger is the journal of non-idempotent orders in the platform's
// key-value service. It exists so that an order is sent at most once although
// processes pause, die and lose answers of the store: the right to send is a
// record that is written by compare-and-swap before the order is sent, and it
// depends on no lease and no timer.
//
// A record belongs to one attempt of one claimant. An attempt whose claim could
// not be confirmed in time is given up for good: the ledger never hands out the
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

// Sizes of the parts of a record in bytes.
const (
	// MaxBodyBytes is the largest response body that is kept.
	MaxBodyBytes = 2 << 10
	// MaxAttemptBytes is the longest attempt id that is accepted.
	MaxAttemptBytes = 128
	// MaxDigestBytes is the longest request digest that is accepted.
	MaxDigestBytes = 64
	// maxContentTypeBytes bounds a record; a response with a longer content
	// type is recorded without its body.
	maxContentTypeBytes = 128
	// claimLimitBytes is the value size above which new claims are refused.
	// The rest is kept for outcomes, which add 6 bytes per record once bodies
	// are no longer kept: 7,000 records need 42 KB.
	claimLimitBytes = cloud.MaxValueBytes - 64<<10
	// bodyLimitBytes is the value size above which bodies are no longer kept,
	// so that large responses do not take the place of claims.
	bodyLimitBytes = cloud.MaxValueBytes / 2
)

// Config holds the limits of a Ledger. Zero values select the defaults.
type Config struct {
	// MaxWaiting is the number of claims and lookups that may wait for the
	// store; default 4096.
	MaxWaiting int
	// MaxUnwritten is the number of outcomes and abandoned claims still to be
	// written above which new claims are refused; default 65536.
	MaxUnwritten int
	// MaxCalls is the number of store calls at a time; default 8. Batches grow
	// while a shard waits for its turn.
	MaxCalls int
	// CallTimeout bounds one store call; default 1 s.
	CallTimeout time.Duration
	// MaxBackoff is the longest delay between attempts to write an outcome;
	// default 2 s.
	MaxBackoff time.Duration
	// CacheBytes bounds the values that are cached for idle shards; default
	// 64 MiB. The index adds about half of that.
	CacheBytes int
	// SweepInterval is the mean time between sweeps; default 30 min.
	SweepInterval time.Duration
	// SweepLimit is the number of values deleted by one sweep; default 128.
	SweepLimit int
	// Now returns the wall clock; default time.Now.
	Now func() time.Time
	// Logger receives losses of information; default slog.Default().
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

// Ledger claims orders and records their outcomes. Safe for concurrent use.
//
// There is one lock, mu; nothing else is locked while it is held and no store
// call is made under it. A shard's snapshot, work list and failure count belong
// to the one worker that is running for the shard.
type Ledger struct {
	kv       cloud.KV
	claimant string
	cfg      Config
	ctx      context.Context // ends when Close gives up on the store
	cancel   context.CancelFunc
	calls    chan struct{} // holds one element per store call in progress
	workers  sync.WaitGroup

	mu        sync.Mutex
	shards    map[string]*shard      // running, or idle with a cached value
	local     map[keyHash]*operation // claims of this process that are not settled in the store
	givenUp   map[string]struct{}    // attempts that will never be sent
	sequence  uint64
	waiting   int       // claims and lookups
	unwritten int       // outcomes and abandoned claims
	cached    int       // bytes of the values of idle shards
	notBefore time.Time // end of the platform's rate limit
	closing   bool
	closed    bool          // no worker may start
	drained   chan struct{} // closed when closing and nothing is left to write
}

// New returns a ledger. claimant names this process and must never be used by
// another Ledger: VM id and epoch.
func New(kv cloud.KV, claimant string, cfg Config) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	cfg = cfg.withDefaults()
	return &Ledger{
		kv: kv, claimant: claimant, cfg: cfg, ctx: ctx, cancel: cancel,
		calls:   make(chan struct{}, cfg.MaxCalls),
		shards:  map[string]*shard{},
		local:   map[keyHash]*operation{},
		givenUp: map[string]struct{}{},
		drained: make(chan struct{}),
	}
}

// Claim is the sole right to send one order once. Its holder calls exactly one
// of Done, Abandon and InDoubt; later calls have no effect.
type Claim struct {
	ledger *Ledger
	op     *operation
	once   sync.Once
}

// Claim asks for the right to send an order. requestDigest identifies method,
// path and body; attemptID appears in the record.
//
// If the right is won, the Claim is not nil. If the journal holds somebody
// else's claim, its record is returned: ORDER_STATUS_DONE with the outcome, or
// ORDER_STATUS_CLAIMED for an order that may have run. Otherwise the error is
// an *outcome.Error: order_in_progress (with a record) if this process still
// works on the key; all others mean not_run for good: key_conflict,
// key_expired, overloaded, store_unavailable, draining, invalid_request,
// internal (an unreadable value), and cancelled if ctx was cancelled.
func (l *Ledger) Claim(ctx context.Context, key Key, requestDigest []byte, attemptID string) (*Claim, *wire.OrderRecord, error) {
	if err := l.checkClaim(ctx, key, requestDigest, attemptID); err != nil {
		return nil, nil, err
	}
	op, record, err := l.startClaim(key, requestDigest, attemptID)
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
	// A process that was paused may hold the claim of a key whose earlier
	// record has been deleted meanwhile, so the age is checked after the
	// claim was confirmed. No check happens after this one.
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

// waitError translates the end of a wait for the store.
func waitError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Wrap(cause, outcome.Cancelled, "cancelled while waiting for the order journal")
	}
	return outcome.Wrap(cause, outcome.StoreUnavailable, "the order journal did not answer in time")
}

func (l *Ledger) startClaim(key Key, digest []byte, attemptID string) (*operation, *wire.OrderRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.local[key.hash]; current != nil {
		return nil, current.copyRecord(), current.refusal(digest)
	}
	if err := l.admit(); err != nil {
		return nil, nil, err
	}
	if l.unwritten >= l.cfg.MaxUnwritten {
		return nil, nil, outcome.New(outcome.Overloaded, "%d order outcomes wait for the store", l.unwritten)
	}
	// The sequence number keeps attempts apart even if a caller repeats an
	// attempt id after the first one was given up.
	l.sequence++
	op := &operation{kind: opClaim, key: key, settled: make(chan struct{}), record: &wire.OrderRecord{
		KeyHash: key.hash[:], Status: wire.OrderStatus_ORDER_STATUS_CLAIMED, Claimant: l.claimant,
		AttemptId:     attemptID + "/" + strconv.FormatUint(l.sequence, 10),
		RequestDigest: digest, ClaimedUnixMs: l.cfg.Now().UnixMilli(),
	}}
	l.local[key.hash] = op
	l.waiting++
	l.enqueue(op)
	return op, nil, nil
}

// admit checks the limits of waiting callers; mu is held.
func (l *Ledger) admit() error {
	if l.closing {
		return outcome.New(outcome.Draining, "the order journal is closing")
	}
	if l.waiting >= l.cfg.MaxWaiting {
		return outcome.New(outcome.Overloaded, "%d orders wait for the store", l.waiting)
	}
	return nil
}

// await waits for op and reports whether it was settled. If ctx ends first, the
// attempt is given up: this is decided under the lock, so a worker that
// confirms it afterwards cannot hand out the right to send.
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
	l.giveUp(op)
	return false
}

// Done records the response of the order. The record is written in the
// background until Close gives up; the body is kept up to MaxBodyBytes and
// while the value has room.
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

// Abandon states that the order was not sent and will not be. The record is
// marked in the background, after which another attempt may claim the key.
func (c *Claim) Abandon() {
	c.once.Do(func() {
		record := c.op.copyRecord()
		record.Status = wire.OrderStatus_ORDER_STATUS_ABANDONED
		c.ledger.finish(c.op, opAbandon, record)
	})
}

// InDoubt states that the order was sent and its response is unknown. The
// record stays as it is and the key can never be claimed again.
func (c *Claim) InDoubt() {
	c.once.Do(func() {
		l := c.ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		l.forget(c.op)
	})
}

// finish queues the record that ends a claim.
func (l *Ledger) finish(claim *operation, kind opKind, record *wire.OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := &operation{kind: kind, key: claim.key, record: record, settled: make(chan struct{})}
	l.unwritten++
	if kind == opAbandon {
		l.givenUp[record.AttemptId] = struct{}{}
		l.forget(claim)
	} else {
		l.local[claim.key.hash] = op
	}
	l.enqueue(op)
}

// Lookup returns the record of a key, or nil if it was never claimed. The
// error is an *outcome.Error: store_unavailable, overloaded, draining,
// cancelled or internal.
func (l *Ledger) Lookup(ctx context.Context, key Key) (*wire.OrderRecord, error) {
	l.mu.Lock()
	if current := l.local[key.hash]; current != nil && current.kind == opFinish {
		defer l.mu.Unlock()
		return current.copyRecord(), nil
	}
	if err := l.admit(); err != nil {
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

// InProgress reports whether this process works on the key.
func (l *Ledger) InProgress(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := l.local[key.hash]
	return op != nil && op.kind == opClaim
}

// Close refuses new claims, writes what is still to be written until ctx ends
// and stops the workers. It returns an *outcome.Error with store_unavailable
// if outcomes were lost; their records stay claimed. Finish or drop all Claims
// before.
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

// checkDrained wakes Close when nothing is left to do; mu is held.
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

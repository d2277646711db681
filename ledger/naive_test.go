package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
)

// naiveLedger is the baseline for comparison: it writes each order with one
// compare-and-swap and retries a lost response without reading the value again.
type naiveLedger struct{ kv cloud.KV }

func newNaiveLedger(kv cloud.KV, _ string, _ func() time.Time) orderLedger { return &naiveLedger{kv} }

type naiveClaim struct{}

func (naiveClaim) Done(int, string, []byte) {}
func (naiveClaim) Abandon()                 {}
func (naiveClaim) InDoubt()                 {}

// claim treats a conflict after a lost response as the success of its own write.
func (n *naiveLedger) claim(ctx context.Context, key Key, attempt string) (claimHandle, *wire.OrderRecord, error) {
	storeKey := fmt.Sprintf("%s/%x", key.storeKey(), key.hash)
	entry, err := n.kv.Get(ctx, storeKey)
	if err != nil {
		return nil, nil, err
	}
	if entry.Revision != 0 {
		return nil, &wire.OrderRecord{Status: claimed}, nil
	}
	retried := false
	for ctx.Err() == nil {
		_, err := n.kv.Put(ctx, storeKey, []byte(attempt), 0, 0)
		var uncertain *cloud.UncertainError
		var conflict *cloud.ConflictError
		switch {
		case err == nil, retried && errors.As(err, &conflict):
			return naiveClaim{}, nil, nil
		case errors.As(err, &uncertain):
			retried = true
		default:
			return nil, nil, err
		}
	}
	return nil, nil, ctx.Err()
}

func (n *naiveLedger) Lookup(context.Context, Key) (*wire.OrderRecord, error) { return nil, nil }
func (n *naiveLedger) Close(context.Context) error                            { return nil }
func (n *naiveLedger) sweep(context.Context) error                            { return nil }

// Guards against a fault injection too weak to expose double sends: after the
// same lost request the naive baseline must send twice and the ledger once.
func TestNaiveBaselineSendsTwice(t *testing.T) {
	// The first write of process 0 is lost before it reaches the store; process
	// 1 claims and sends before process 0 retries the write. The first fault of a
	// scenario applies only after the last one, so the second one is that of the
	// first write.
	s := scenario{
		Faults: []memkv.Fault{memkv.None, memkv.LoseRequest, memkv.None, memkv.None, memkv.None, memkv.None, memkv.None, memkv.None},
		Delays: []time.Duration{0, 0, 0, 2 * time.Second, 0, 0, 0, 0}, // the fourth delay follows the write of process 0
		Steps: []step{
			{Kind: stepOrder, Process: 0, Timeout: 30 * time.Second, End: endInDoubt, Wait: 500 * time.Millisecond},
			{Kind: stepOrder, Process: 1, Timeout: 30 * time.Second, End: endInDoubt, Wait: 10 * time.Second},
		},
	}
	if sends := runScenario(t, s, newNaiveLedger).sends[0]; sends != 2 {
		t.Errorf("the naive baseline sent %d times, expected 2", sends)
	}
	if sends := runScenario(t, s, newLedgerAdapter).sends[0]; sends != 1 {
		t.Errorf("the ledger sent %d times, expected 1", sends)
	}
}

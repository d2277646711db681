package ledger

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
)

// Guards against a lost response to a write that is treated as a rejection or as
// a claim by another attempt: reading the value again must settle the claim.
func TestUncertainClaimIsReadBack(t *testing.T) {
	for _, fault := range []memkv.Fault{memkv.LoseAnswer, memkv.LoseRequest, memkv.Hold} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				l := New(store, "vm-1@1", Config{}) // claimant: VM id and epoch
				defer closeLedger(t, l)
				key := mustKey(t, time.Now(), 1)
				faultOnce(store, fault)
				claim, _, err := claimWithin(t, l, key, time.Second)
				is.NoErr(err)
				is.True(claim != nil)
				store.ReleaseHeld()
				is.Equal(storedRecord(t, store, key).GetAttemptId(), claim.op.record.AttemptId)
				claim.InDoubt() // ends the claim
			})
		})
	}
}

// Guards against an attempt that is sent, or blocks its key, although its caller
// has stopped waiting and the attempt is abandoned. This happens if the delayed
// write of its claim takes effect later.
func TestGivenUpClaimIsNeverSent(t *testing.T) {
	for _, writeTakesEffect := range []string{"never", "while the store is down", "after the store is back"} {
		t.Run(writeTakesEffect, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				a, b := New(store, "vm-1@1", Config{}), New(store, "vm-2@1", Config{})
				defer closeLedger(t, a)
				defer closeLedger(t, b)
				key := mustKey(t, time.Now(), 1)
				store.SetPutFault(func(string) memkv.Fault { return memkv.Hold })
				claim, _, err := claimWithin(t, a, key, time.Second)
				is.True(claim == nil)
				is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
				store.SetDown(true)
				if writeTakesEffect == "while the store is down" {
					store.ReleaseHeld()
				}
				time.Sleep(time.Minute)
				store.SetPutFault(nil)
				store.SetDown(false)
				time.Sleep(time.Minute) // time for marking the record as abandoned
				if writeTakesEffect == "after the store is back" {
					store.ReleaseHeld()
				}
				is.Equal(storedRecord(t, store, key).GetStatus(), abandoned)
				claim, _, err = claimWithin(t, b, key, time.Second)
				is.NoErr(err)
				is.True(claim != nil)
				store.ReleaseHeld() // a write that is still held must not replace the claim of b
				is.Equal(storedRecord(t, store, key).GetClaimant(), "vm-2@1")
				claim.InDoubt()
			})
		})
	}
}

// Guards against a claim that fails during an outage although the store recovers
// before the deadline, so that reading the value shows whether the write whose
// response was lost took effect.
func TestUncertainClaimOutlivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		kv := &slowKV{Store: store, latency: 500 * time.Millisecond}
		l := New(kv, "vm-1@1", Config{})
		defer closeLedger(t, l)
		faultOnce(store, memkv.LoseAnswer)
		// The claim is written after 0.5 s and its response is lost. The store is
		// down from then until 1.5 s, before the timeout of 10 s.
		time.AfterFunc(1500*time.Millisecond, func() { store.SetDown(false) })
		kv.afterWrite = func() { store.SetDown(true) }
		claim, _, err := claimWithin(t, l, mustKey(t, time.Now(), 1), 10*time.Second)
		is.NoErr(err)
		is.True(claim != nil)
		claim.InDoubt()
	})
}

// Guards against confusing an abandoned attempt with a later one, if the caller
// retries with the same attempt id. Marking the record of the first attempt as
// abandoned would release the key that the second attempt holds.
func TestRepeatedAttemptID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, l, key := newLedger(t)
		store.SetPutFault(func(string) memkv.Fault { return memkv.Hold })
		_, _, err := claimWithin(t, l, key, time.Millisecond) // the first attempt, whose write is held
		is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
		store.SetDown(true)
		time.Sleep(time.Second)
		store.ReleaseHeld()
		store.SetPutFault(nil)
		store.SetDown(false)
		claim, _, err := claimWithin(t, l, key, time.Second)
		is.NoErr(err)
		time.Sleep(time.Minute) // time for marking the record of the first attempt
		is.Equal(storedRecord(t, store, key).GetAttemptId(), claim.op.record.AttemptId)
		is.Equal(storedRecord(t, store, key).GetStatus(), claimed)
		claim.InDoubt()
	})
}

// Guards against a process that reports its own abandoned order as claimed
// because the record has not been marked yet.
func TestLookupSeesOwnAbandonedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, l, key := newLedger(t)
		claim, _, err := l.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		store.SetDown(true)
		claim.Abandon()
		synctest.Wait()
		store.SetDown(false)
		record, err := l.Lookup(t.Context(), key)
		is.NoErr(err)
		is.Equal(record.GetStatus(), abandoned)
	})
}

// Guards against granting a claim whose context ends just after its write is
// confirmed, and against its key staying blocked.
func TestClaimAfterItsDeadlineIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		ctx, cancel := context.WithCancel(t.Context())
		// The ledger reads the clock again after the write of the claim. This
		// cancels the context.
		l := New(store, "vm-1@1", Config{Now: func() time.Time {
			if store.Calls().Writes > 0 {
				cancel()
			}
			return time.Now()
		}})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		claim, _, err := l.Claim(ctx, key, digest, "1")
		is.True(claim == nil)
		is.Equal(outcome.CodeOf(err), outcome.Cancelled)
		synctest.Wait()
		is.Equal(storedRecord(t, store, key).GetStatus(), abandoned)
	})
}

// Guards against recreating a value that a sweep has deleted. The keys created in
// one hour are divided into groups (shards), and the store holds one value per
// hour and shard. The late write is the outcome of a sent order or the marking of
// an abandoned attempt.
func TestDeletedHourIsNotRecreated(t *testing.T) {
	for _, fault := range []memkv.Fault{memkv.None, memkv.Hold} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				l := New(store, "vm-1@1", Config{MaxBackoff: time.Minute, Logger: slog.New(slog.DiscardHandler)})
				defer closeLedger(t, l)
				store.SetPutFault(func(string) memkv.Fault { return fault })
				claim, _, _ := claimWithin(t, l, mustKey(t, time.Now(), 1), time.Second)
				store.SetDown(true)
				is.Equal(claim != nil, fault == memkv.None)
				if claim != nil {
					claim.Done(200, "", nil)
				}
				time.Sleep(KeyLifetime + 2*DeletionMargin) // the rest of the hour and the margin take at most 2 h
				store.Restore(nil)                         // empties the store, as the sweep of another process would
				store.SetPutFault(nil)
				store.SetDown(false)
				time.Sleep(2 * time.Minute) // more than MaxBackoff
				keys, err := store.List(t.Context(), storePrefix)
				is.NoErr(err)
				is.Equal(len(keys), 0)
			})
		})
	}
}

// Guards against a Close that reports success although the record of a cancelled
// claim may still be written.
func TestCloseReportsUncertainClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{Logger: slog.New(slog.DiscardHandler)})
		store.SetPutFault(func(string) memkv.Fault { return memkv.Hold })
		ended := make(chan error)
		go func() {
			_, _, err := claimWithin(t, l, mustKey(t, time.Now(), 1), time.Hour)
			ended <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(outcome.CodeOf(l.Close(ctx)), outcome.StoreUnavailable)
		is.Equal(outcome.CodeOf(<-ended), outcome.StoreUnavailable)
	})
}

// Guards against sending an order a second time after a process was paused while
// claiming it. The record of the first send was deleted during the pause, so the
// claim succeeds, but by then its key has expired.
func TestKeyAgeIsCheckedAfterTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, a, b, key := newLedgers(t)
		sent, _, err := b.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		sent.Done(200, "", nil)
		synctest.Wait()

		// Ledger a claims 1 s before the key expires, but reads the store only 4 h
		// later. Ledger b sweeps 3 h after the start of the claim. By then the value is
		// deletable: 1 s is left of KeyLifetime and at most 1 h of the hour in which
		// the key was created, and DeletionMargin is 1 h.
		time.Sleep(KeyLifetime - time.Second)
		paused := &pausedKV{KV: store, pause: 4 * time.Hour}
		a.kv = paused
		go func() {
			time.Sleep(3 * time.Hour)
			is.NoErr(b.sweep(t.Context()))
			is.True(storedRecord(t, store, key) == nil)
		}()
		a.cfg.CallTimeout = 24 * time.Hour // longer than the pause
		claim, _, err := a.Claim(t.Context(), key, digest, "2")
		is.True(claim == nil)
		is.Equal(outcome.CodeOf(err), outcome.KeyExpired)
	})
}

// pausedKV delays each read, as if the process were paused before it.
type pausedKV struct {
	cloud.KV
	pause time.Duration
}

func (kv *pausedKV) Get(ctx context.Context, key string) (cloud.Record, error) {
	time.Sleep(kv.pause)
	return kv.KV.Get(ctx, key)
}

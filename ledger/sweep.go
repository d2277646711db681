package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"camphorwick.dev/cloud"
)

// RunSweeper deletes expired values until ctx ends or Close is called. Several ledgers
// may run it on one store. A failed sweep is logged and retried after the next
// interval.
func (l *Ledger) RunSweeper(ctx context.Context) error {
	for {
		// Random, with a mean of SweepInterval, so that the ledgers do not sweep
		// at the same time.
		interval := l.cfg.SweepInterval/2 + rand.N(l.cfg.SweepInterval)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil
		case <-l.ctx.Done():
			return nil
		}
		if err := l.sweep(ctx); err != nil {
			l.cfg.Logger.Info("order journal sweep failed", "error", err)
		}
	}
}

// sweep deletes up to SweepLimit values whose hour is deletable. A value that
// changes between the read and the delete is left for the next sweep.
func (l *Ledger) sweep(ctx context.Context) error {
	keys, err := l.list(ctx)
	if err != nil {
		return fmt.Errorf("list order journal: %w", err)
	}
	now := l.cfg.Now()
	deleted := 0
	for _, storeKey := range keys {
		hour, ok := hourOf(storeKey)
		if !ok || !deletable(hour, now) {
			continue
		}
		if deleted++; deleted > l.cfg.SweepLimit {
			l.cfg.Logger.Info("order journal sweep reached its limit, the rest is left for the next sweep", "deleted", l.cfg.SweepLimit)
			return nil
		}
		if err := l.deleteValue(ctx, storeKey); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) list(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	return l.kv.List(ctx, storePrefix)
}

func (l *Ledger) deleteValue(ctx context.Context, storeKey string) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	stored, err := l.kv.Get(ctx, storeKey)
	if err != nil {
		return fmt.Errorf("read revision of %q: %w", storeKey, err)
	}
	if stored.Revision == 0 {
		return nil
	}
	var conflict *cloud.ConflictError
	if err := l.kv.Delete(ctx, storeKey, stored.Revision); err != nil && !errors.As(err, &conflict) {
		return fmt.Errorf("delete %q: %w", storeKey, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shards[storeKey]; s != nil && !s.running {
		l.cachedBytes -= s.cachedBytes
		delete(l.shards, storeKey)
	}
	return nil
}

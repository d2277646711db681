package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// eraReadSpread is the random time after which a gateway reads what it has not read again in a
// new era of the store, so that the gateways do not all read at the same moment.
const eraReadSpread = 500 * time.Millisecond

// StoreEraChanged tells the node that the store is in a later era: it was restored from a copy
// of itself, and what was written since the copy is gone. The node goes on serving with what it
// knows, reads all prefixes anew and registers again. It does not block.
func (n *Node) StoreEraChanged(before, now int64) {
	n.storeEra.Store(now)
	if before == 0 { // the first answer of this process
		return
	}
	n.options.Log.Warn("store restored from a copy, reading it anew", "era_before", before, "era", now, "known", n.followers[0].Position())
	n.registry.DistrustRemovals(time.Now())
	n.wholeReads.Restart()
	time.AfterFunc(rand.N(eraReadSpread), func() { n.readEra(now) })
}

// readEra makes the followers read that have not read in an era, and the node register again,
// since its registration and its lease may be gone.
func (n *Node) readEra(era int64) {
	for _, f := range n.followers {
		if f.Position().Era() < era {
			f.Refresh()
		}
	}
	n.reportRegistrationLost()
}

// registerEra registers the gauge of the store's era.
func (n *Node) registerEra() error {
	gauge, err := n.options.Meter.Int64ObservableGauge("gateway.store_era", metric.WithDescription("How often the platform's store was restored from a copy, as it counts"))
	if err != nil {
		return fmt.Errorf("set up metrics: %w", err)
	}
	_, err = n.options.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(gauge, n.storeEra.Load())
		return nil
	}, gauge)
	return err
}

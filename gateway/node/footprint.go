package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// endedLogInterval is the shortest time between two lines on callers that were ended in favour
// of others.
const endedLogInterval = time.Second

// endedLog is what the last line on ended callers said.
type endedLog struct {
	at    time.Time
	total int
}

// logEnded writes a line if connections or bodies of callers were ended in favour of others
// since the last one.
func (n *Node) logEnded(now time.Time) {
	u := n.footprint.Usage()
	if u.Ended == n.ended.total || now.Sub(n.ended.at) < endedLogInterval {
		return
	}
	n.options.Log.Warn("callers ended in favour of others", "ended", u.Ended-n.ended.total, "connections", u.Holders, "body_bytes", u.Bytes)
	n.ended = endedLog{at: now, total: u.Ended}
}

// registerFootprint registers what is held for callers.
func (n *Node) registerFootprint() error {
	connections, err := n.options.Meter.Int64ObservableGauge("gateway.caller_connections", metric.WithDescription("Open connections of callers"))
	if err != nil {
		return err
	}
	bytes, err := n.options.Meter.Int64ObservableGauge("gateway.caller_bodies", metric.WithUnit("By"), metric.WithDescription("Memory of the bodies of requests in flight"))
	if err != nil {
		return err
	}
	ended, err := n.options.Meter.Int64ObservableCounter("gateway.callers_ended", metric.WithDescription("Connections and bodies of callers ended in favour of others"))
	if err != nil {
		return err
	}
	_, err = n.options.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		u := n.footprint.Usage()
		o.ObserveInt64(connections, int64(u.Holders))
		o.ObserveInt64(bytes, u.Bytes)
		o.ObserveInt64(ended, int64(u.Ended))
		return nil
	}, connections, bytes, ended)
	return err
}

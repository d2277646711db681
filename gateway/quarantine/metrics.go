package quarantine

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// RegisterMetrics registers the sizes of the list and what it has refused.
func (l *List) RegisterMetrics(m metric.Meter) error {
	parts, err := m.Int64ObservableGauge("gateway.quarantined_parts", metric.WithDescription("Parts of prompts that are quarantined"))
	if err != nil {
		return err
	}
	suspects, err := m.Int64ObservableGauge("gateway.suspected_parts", metric.WithDescription("Parts of prompts with crashes that no answer has disproved"))
	if err != nil {
		return err
	}
	refused, err := m.Int64ObservableCounter("gateway.quarantine_refusals", metric.WithDescription("Sends refused because of a quarantined part"))
	if err != nil {
		return err
	}
	crashes, err := m.Int64ObservableCounter("gateway.server_crashes", metric.WithDescription("Requests with shared parts under which a server crashed before their answer had gone on for a while"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		o.ObserveInt64(parts, int64(len(l.entries)))
		o.ObserveInt64(suspects, int64(l.tracker.Suspects()))
		o.ObserveInt64(refused, l.refused)
		o.ObserveInt64(crashes, l.crashes)
		return nil
	}, parts, suspects, refused, crashes)
	return err
}

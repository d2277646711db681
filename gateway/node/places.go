package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/gateway/evacuation"
)

// newEvacuations returns the list of evacuated data centres, which keeps their servers from
// getting requests and tells peers of changes.
func (n *Node) newEvacuations() *evacuation.List {
	return evacuation.New(evacuation.Options{Prefix: n.protocol.EvacuationsPrefix, Log: n.options.Log, Known: n.registry.HasDataCentre,
		Changed: func(evacuated map[string]bool) {
			n.registry.SetEvacuated(evacuated)
			n.peers.SendEvacuations()
		}})
}

// registerPlaces registers which data centres are evacuated and how many servers are cold.
func (n *Node) registerPlaces() error {
	evacuated, err := n.options.Meter.Int64ObservableGauge("gateway.evacuated", metric.WithDescription("1 for each data centre that is evacuated"))
	if err != nil {
		return err
	}
	cold, err := n.options.Meter.Int64ObservableGauge("gateway.cold_servers", metric.WithDescription("Servers that are cold"))
	if err != nil {
		return err
	}
	_, err = n.options.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(cold, int64(n.registry.ColdServers(time.Now())))
		if n.evacuations == nil {
			return nil
		}
		for _, m := range n.evacuations.Marks() {
			if m.Evacuated {
				o.ObserveInt64(evacuated, 1, metric.WithAttributes(attribute.String("data_centre", m.DataCentre)))
			}
		}
		return nil
	}, evacuated, cold)
	return err
}

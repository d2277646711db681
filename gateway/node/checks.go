package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/gateway/follow"
	"camphorwick.dev/gateway/quarantine"
)

const (
	// defaultConfigDeadline is how long after its write a configuration may come into force,
	// unless the settings say more.
	defaultConfigDeadline = 2 * time.Second
	// checkShare is the share of the shortest bound on changes after which the store is
	// checked for changes that no watch has brought. The random part of that time, the
	// check and the read that follows need a fifth of the bound.
	checkShare = 0.65
)

// checkInterval returns the time from a proof that what this process knows is current to
// the next check.
func (o *Options) checkInterval() time.Duration {
	bound := min(max(o.DrainTime, defaultDrainTime), max(o.ConfigDeadline, defaultConfigDeadline))
	if o.EvacuationTime > 0 {
		bound = min(bound, o.EvacuationTime)
	}
	return time.Duration(checkShare * float64(bound))
}

// newChecker returns the checker of the followers, which shares its proofs with the peers
// and distrusts removals of servers while the store is in trouble.
func (n *Node) newChecker() (*follow.Checker, error) {
	lost, err := n.options.Meter.Int64Counter("gateway.lost_watches", metric.WithDescription("Watches of the store that were lost without an error, by prefix"))
	if err != nil {
		return nil, err
	}
	if err := n.registerAges(); err != nil {
		return nil, err
	}
	distrust := func() { n.registry.DistrustRemovals(time.Now()) }
	return &follow.Checker{Store: n.protocol.Store, Followers: n.followers, Log: n.options.Log, Interval: n.options.checkInterval(),
		OnProof: n.peers.SendProofs, OnFailure: distrust, OnRestored: distrust,
		OnLost: func(prefix string) {
			lost.Add(context.Background(), 1, metric.WithAttributes(attribute.String("prefix", prefix)))
		}}, nil
}

// registerAges registers how old what this process knows may be.
func (n *Node) registerAges() error {
	age, err := n.options.Meter.Float64ObservableGauge("gateway.state_age", metric.WithUnit("s"),
		metric.WithDescription("Time since what is known of the store was last shown to be current, by prefix"))
	if err != nil {
		return err
	}
	_, err = n.options.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		now := time.Now()
		for _, f := range n.followers {
			if at := f.CurrentAt(); !at.IsZero() {
				o.ObserveFloat64(age, now.Sub(at).Seconds(), metric.WithAttributes(attribute.String("prefix", f.Prefix)))
			}
		}
		return nil
	}, age)
	return err
}

// proofs returns how current this process is, without what peers have shown.
func (n *Node) proofs() []follow.Proof {
	var out []follow.Proof
	for _, f := range n.followers {
		if p, ok := f.Proof(); ok {
			out = append(out, p)
		}
	}
	return out
}

// adoptProofs uses what a peer has shown.
func (n *Node) adoptProofs(proofs []follow.Proof) {
	for _, p := range proofs {
		for _, f := range n.followers {
			if f.Prefix == p.Prefix {
				f.AdoptProof(p)
			}
		}
	}
}

// doubtUnwatched makes the next check cover the last seconds once more for the prefixes
// without a watch, because a watch was cut.
func (n *Node) doubtUnwatched() {
	for _, f := range n.followers {
		f.DoubtUnwatched()
	}
}

// watchQuarantine makes the follower of the quarantined parts decide again whether it
// watches them.
func (n *Node) watchQuarantine() {
	for _, f := range n.followers {
		if f.Prefix == quarantine.Prefix {
			f.Rewatch()
		}
	}
}

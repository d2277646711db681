package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"camphorwick.dev/gateway/follow"
)

const (
	// leaseTime is how long the registration of a dead gateway remains.
	leaseTime = 12 * time.Second
	// renewInterval is the time between renewals of the lease, of which it allows for two
	// lost ones.
	renewInterval = 4 * time.Second
	// registrationRetryInterval is the delay before a failed registration or
	// renewal is retried.
	registrationRetryInterval = 500 * time.Millisecond
)

// registration is the value under which a gateway is registered in the store.
type registration struct {
	Address    string `json:"address"` // address of the port for peers
	DataCentre string `json:"data_centre"`
}

// maintainRegistration registers the node in the store for its peers and renews the
// lease. It registers again if the registration is lost although the lease has not ended:
// a write of an earlier lease that the store carries out late replaces it, and ends with
// that lease.
func (n *Node) maintainRegistration(ctx context.Context) error {
	var lease follow.Lease
	for {
		var err error
		if lease.IsZero() {
			lease, err = n.register(ctx)
		} else {
			err = n.protocol.Store.Renew(ctx, lease)
			var ended *follow.LeaseError
			if errors.As(err, &ended) {
				lease = follow.Lease{}
				continue
			}
		}
		pause := renewInterval
		if err != nil {
			pause = registrationRetryInterval
			n.options.Log.Debug("own registration not renewed", "error", err.Error())
		}
		lost := false
		select {
		case <-ctx.Done():
			return nil
		case <-n.registrationLost:
			lost = true
		case <-time.After(pause):
		}
		if lost && !lease.IsZero() {
			n.options.Log.Warn("own registration lost, registering again")
			lease = follow.Lease{}
		}
	}
}

// reportRegistrationLost makes maintainRegistration register again. It never blocks.
func (n *Node) reportRegistrationLost() {
	select {
	case n.registrationLost <- struct{}{}:
	default:
	}
}

func (n *Node) register(ctx context.Context) (follow.Lease, error) {
	value, err := json.Marshal(registration{Address: n.options.Peers, DataCentre: n.options.DataCentre})
	if err != nil {
		return follow.Lease{}, fmt.Errorf("encode own registration: %w", err)
	}
	lease, err := n.protocol.Store.Grant(ctx, leaseTime)
	if err != nil {
		return follow.Lease{}, err
	}
	if err := n.protocol.Store.Put(ctx, peersPrefix+n.options.VM, value, lease); err != nil {
		return follow.Lease{}, err
	}
	return lease, nil
}

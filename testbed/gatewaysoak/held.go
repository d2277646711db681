package gatewaysoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

const (
	// gatewayFiles is the number of descriptors in the settings of a gateway, of which half
	// of those beyond 200 may be connections of callers.
	gatewayFiles = 600
	// heldConnections is the number of connections of clients that hold back the ends of
	// their requests, more than a gateway allows.
	heldConnections = 230
	// meanHeldInterval is the mean time between the starts of two crowds of them, and
	// maxHeldTime the longest time that one stays.
	meanHeldInterval = 5 * time.Second
	maxHeldTime      = 2 * time.Second
)

// injectHeldConnections opens crowds of connections to random gateways until ctx ends, some
// of them silent, some with incomplete heads or bodies. The draws do not depend on those of
// other faults.
func (r *run) injectHeldConnections(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 3))
	for {
		gap := time.Duration(random.Int64N(int64(2 * meanHeldInterval)))
		g := r.gatewayAt(random.IntN(1 << 16))
		d := time.Duration(random.Int64N(int64(maxHeldTime)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		r.mu.Lock()
		r.report.Faults["requests held back"]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.options.Out, "%8.3f requests held back (%s, %v)\n", time.Since(r.started).Seconds(), g.name, d.Round(time.Millisecond))
		holdBack(g.callersAddress, d)
	}
}

// holdBack opens the connections of one crowd and closes them after d. A gateway may refuse or
// close any of them.
func holdBack(address string, d time.Duration) {
	requests := fleetsim.HeldRequests(host, "/order/held", apiKey)
	var group sync.WaitGroup
	for n := range heldConnections {
		group.Go(func() {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, requests[n%len(requests)]) // fails if the gateway has closed it
			time.Sleep(d)
		})
	}
	group.Wait()
}

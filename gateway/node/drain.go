package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// minDrainTime is the shortest time for which a stopping gateway continues
	// to serve: the platform checks its readiness every second and sends it
	// callers until two checks have failed.
	minDrainTime = 2500 * time.Millisecond
	// drainPoll is the time between checks of a stopping gateway for idle
	// connections.
	drainPoll = 25 * time.Millisecond
)

// drain waits for Stop and then serves until no request is in flight and
// minDrainTime has passed, for at most DrainLimit.
func (n *Node) drain(ctx context.Context, server *http.Server, callers *callerListener) error {
	select {
	case <-ctx.Done():
		return server.Close()
	case <-n.stop:
	}
	begun := time.Now()
	n.options.Log.Info("stopping", "in_progress", n.gateway.Active())
	n.gateway.CloseConnections()
	for time.Since(begun) < n.options.DrainLimit && ctx.Err() == nil {
		time.Sleep(drainPoll)
		if time.Since(begun) < minDrainTime {
			continue
		}
		n.gateway.RefuseAfter(begun.Add(n.options.DrainLimit))
		callers.closeIdle(firstRequestTime)
		if n.gateway.Active() == 0 {
			break
		}
	}
	// cut: requests broken off; open_connections: also those whose answer is not written yet
	n.options.Log.Info("stopped serving", "cut", n.gateway.Active(), "open_connections", callers.recordStop())
	return server.Close()
}

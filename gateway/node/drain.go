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
	// abortTime is how long a gateway that has aborted its requests waits until
	// their answers are written.
	abortTime = 400 * time.Millisecond
)

// drain waits for Stop and then serves for minDrainTime and until no connection
// is open, but at most for DrainLimit. Requests that are still in flight are then
// answered as aborted. It returns when all connections are closed, at the latest
// abortTime later.
func (n *Node) drain(ctx context.Context, server *http.Server, callers *callerListener) error {
	select {
	case <-ctx.Done():
		return n.closeConnections(server, callers)
	case <-n.stop:
	}
	started := time.Now()
	limit := started.Add(n.options.DrainLimit)
	n.options.Log.Info("stopping", "in_progress", n.gateway.Active())
	n.gateway.CloseConnections()
	// Until then the platform sends new callers, and most requests that may outlast the stop by
	// the longest answer end well before: to refuse them all costs more than to cut a few.
	sleepUntil(ctx, started.Add(min(minDrainTime, n.options.DrainLimit)))
	n.gateway.RefuseAfter(limit)
	n.serveOpenConnections(ctx, callers, limit)
	return n.closeConnections(server, callers)
}

// serveOpenConnections closes idle connections until none is open, and then the
// port. It returns at the limit if requests are still in flight.
func (n *Node) serveOpenConnections(ctx context.Context, callers *callerListener, limit time.Time) {
	for time.Now().Before(limit) && ctx.Err() == nil {
		callers.closeIdle(minIdleTime)
		if len(callers.open()) > 0 {
			time.Sleep(drainPoll)
			continue
		}
		callers.stopAccepting()
		if len(callers.open()) == 0 {
			return
		}
	}
}

// closeConnections aborts the requests in flight, closes the port, waits until the
// requests are answered, and closes all connections. It aborts first because
// net/http may take a second to notice that the port is closed.
func (n *Node) closeConnections(server *http.Server, callers *callerListener) error {
	aborted := n.gateway.Active()
	n.gateway.Abort()
	end := time.Now().Add(abortTime)
	callers.stopAccepting()
	for len(callers.open()) > 0 && time.Now().Before(end) {
		callers.closeIdle(minIdleTime)
		time.Sleep(drainPoll)
	}
	// cut: requests that end without an answer; open_connections: also those whose
	// answer is not written yet or whose request is not complete
	n.options.Log.Info("stopped serving", "aborted", aborted, "cut", n.gateway.Active(), "open_connections", callers.recordStop())
	return server.Close()
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

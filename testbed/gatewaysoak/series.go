package gatewaysoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/testbed/fleet"
)

const (
	// seriesTime is how long configurations are written in a series, one every
	// seriesInterval.
	seriesTime     = 9 * time.Second
	seriesInterval = 200 * time.Millisecond
	// seriesRoutes is the number of further routes of each configuration. With them it
	// needs about 0.4 s on the link of slowLinkRate, in KB/s.
	seriesRoutes = 500
	slowLinkRate = 400
	// cutTime is how long one gateway cannot reach the store; it counts as in touch
	// contactTime later.
	cutTime     = 2 * time.Second
	contactTime = 3 * time.Second
	// configurationLimit is how long after its write a configuration must be in force
	// at a gateway in touch.
	configurationLimit = 3 * time.Second
)

// writtenVersion is a configuration of a series with the time of its write. Its route is
// also in all later configurations of the series.
type writtenVersion struct {
	version int64
	at      time.Time
}

func addedPath(version int64) string { return fmt.Sprintf("/added-%d/", version) }

// checkSeries writes configurations in quick succession and checks that each gateway has
// each of them in force in time: also the first one, which has a slow link and is cut off
// from the store for a while.
func (r *run) checkSeries(ctx context.Context) {
	slow := r.gateways[0]
	slow.storeMu.Lock()
	defer slow.storeMu.Unlock()
	if err := slow.store.Cut(); err != nil {
		r.addViolation("cut a link: %w", err)
		return
	}
	r.mu.Lock()
	r.series = []writtenVersion{}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, seriesTime)
	defer cancel()
	started := time.Now()
	var group sync.WaitGroup
	group.Go(func() { r.writeSeries(ctx) })
	group.Go(func() { r.reconnectSlowly(slow.store) })
	for _, g := range r.gateways {
		inTouch := started
		if g == slow {
			inTouch = started.Add(cutTime + contactTime)
		}
		group.Go(func() { r.checkVersions(ctx, g, inTouch) })
	}
	group.Wait()
	if err := slow.store.EndFaults(); err != nil {
		r.addViolation("end the faults of a link: %w", err)
	}
}

// reconnectSlowly ends the cut of a link and limits its rate.
func (r *run) reconnectSlowly(link *fleet.Proxy) {
	time.Sleep(cutTime)
	err := link.EndFaults()
	if err == nil {
		err = link.Slow(fleet.Down, slowLinkRate)
	}
	if err != nil {
		r.addViolation("slow a link down: %w", err)
	}
}

func (r *run) writeSeries(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.configure(); err != nil {
			r.addViolation("write a configuration of a series: %w", err)
			return
		}
		time.Sleep(seriesInterval)
	}
}

// dueVersion returns the newest version of the series that must be in force; 0 for none.
func (r *run) dueVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := int64(0)
	for _, w := range r.series {
		if time.Since(w.at) > configurationLimit {
			due = w.version
		}
	}
	return due
}

// checkVersions checks the answers of a gateway on the routes that were added.
func (r *run) checkVersions(ctx context.Context, g *gateway, inTouch time.Time) {
	c := r.newCaller(2000 + g.index)
	for ; ctx.Err() == nil; time.Sleep(seriesInterval / 2) {
		due := r.dueVersion()
		if due == 0 || time.Now().Before(inTouch) {
			continue
		}
		if status := c.status(g, addedPath(due)); status == http.StatusNotFound || status == http.StatusUnauthorized {
			r.addViolation("%s answered %d on a route that was added more than %v before", g.name, status, configurationLimit)
			return
		}
		r.count("route of a series")
	}
}

// seriesRoutes returns the routes that a configuration of a series has beside the usual
// ones, and records the version.
func (r *run) seriesRoutes(version int64, route func(string, fleetsim.RouteKind) fleetsim.Route) []fleetsim.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.series == nil {
		return nil
	}
	var routes []fleetsim.Route
	for _, w := range r.series {
		routes = append(routes, route(fmt.Sprintf("added-%d", w.version), fleetsim.Idempotent))
	}
	r.series = append(r.series, writtenVersion{version, time.Now()})
	for i := range seriesRoutes {
		routes = append(routes, route(fmt.Sprintf("further-%d", i), fleetsim.Idempotent))
	}
	return routes
}

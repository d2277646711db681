package member

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorwick.dev/fleetconf"
)

// watchersPerDataCentre is the number of entries per data centre that watch the
// configuration in the store: two, so that one may fail.
const watchersPerDataCentre = 2

// watcherCheckInterval is the interval at which an entry checks whether it is a
// watcher.
const watcherCheckInterval = time.Second

// watcherHold is how long an entry goes on watching after it is no longer one of the
// watchers of its data centre. If a peer responds and fails by turns, a watcher would
// otherwise be ended before it has read a large configuration, again and again. Each
// entry without peers watches, so a longer time would cost a large fleet store calls at
// its start.
const watcherHold = 10 * time.Second

// watcherChoice decides whether this entry watches.
type watcherChoice struct {
	lastChosen time.Time
}

// watch reports whether the entry watches, given whether it is one of the watchers now.
func (c *watcherChoice) watch(chosen bool, now time.Time) bool {
	if chosen {
		c.lastChosen = now
	}
	return !c.lastChosen.IsZero() && now.Sub(c.lastChosen) < watcherHold
}

// watchWhileChosen runs the watcher of the configuration whenever this entry is one of
// the watchers of its data centre, and for watcherHold after that.
func (m *Member) watchWhileChosen(ctx context.Context) error {
	var stop context.CancelFunc
	var watchers errgroup.Group
	var choice watcherChoice
	ticker := time.NewTicker(watcherCheckInterval)
	defer ticker.Stop()
	for {
		chosen := fleetconf.IsWatcher(m.Settings.VM, m.LiveEntries(), watchersPerDataCentre)
		watch := choice.watch(chosen, time.Now())
		switch {
		case watch && stop == nil:
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			watchers.Go(func() error { return fleetconf.NewWatcher(m.KV, m.Replica, m.Log).Run(watchCtx) })
		case !watch && stop != nil:
			stop()
			stop = nil
		}
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			_ = watchers.Wait() // returns only the error of the ended context
			return nil
		case <-ticker.C:
		}
	}
}

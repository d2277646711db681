package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// checkWait is how long the store may hold a check, the shortest time that it takes.
	checkWait = time.Millisecond
	// checkSpread is the random part of the time from a proof to the next check, as a share
	// of Checker.Interval: of the gateways that share proofs, the first one checks.
	checkSpread = 0.2
	// checkPatience is how long the answer to a check may take, as a share of
	// Checker.Interval. It doubles up to maxCheckPatience while checks are not answered,
	// for a store that is slow.
	checkPatience    = 0.25
	maxCheckPatience = 4 * time.Second
	// deliveryGrace is how long a watch may take to bring a change that a check has shown.
	deliveryGrace = 100 * time.Millisecond
	// maxUnprovenIntervals is the age of a proof, in intervals, from which a prefix of large
	// values is read rather than checked: a check returns each value that was replaced.
	maxUnprovenIntervals = 3
	// maxReplaced is how many changes of a prefix of large values a check of several prefixes
	// may return although they are known, before that prefix is left out of it.
	maxReplaced = 2
	// proofLife is how long a proof is passed on to peers.
	proofLife = 10 * time.Second
)

// Checker finds watches that are lost without an error. A store or a connection that is
// silent for a moment may lose a watch, or the answer to it, and the watch then waits in
// vain for as long as the store may hold it. So the state that a follower knows counts as
// the newest one only as long as something proves that: an answer to a read or a watch, a
// check, or the proof of a peer that knows the same state. A check asks the store for
// changes since the last proof, of all prefixes by one call. It is made where no proof has
// come for Interval; a change that it shows and that its watch does not bring has been lost
// with the watch, and the prefix is read.
//
// Checks do not depend on the reason for a silence or on its length: while the store can be
// reached, a change is known 1.2 intervals, deliveryGrace and a read later at most, whatever
// became of the watches.
type Checker struct {
	Store     Store
	Followers []*Follower
	Log       *slog.Logger
	// Interval is the age of the newest proof from which the store is asked.
	Interval time.Duration
	// OnProof is called after each check that is answered, so that peers can be told the
	// proofs; nil for none. It must not block.
	OnProof func()
	// OnFailure is called after each check that fails, OnRestored after the first one that
	// succeeds after it; nil for none.
	OnFailure, OnRestored func()
	// OnLost is called for each watch that is found to be lost; nil for none.
	OnLost func(prefix string)

	received  map[*Follower]int // changes of prefixes of large values, at the last check
	failing   bool
	failedAt  time.Time     // when the first of the failed checks began
	patience  time.Duration // of the next check
	pause     time.Duration // after the last failed check
	spread    time.Duration // random time added to Interval
	spreadFor time.Time     // the oldest proof when spread was drawn
}

// Run checks the followers until ctx ends.
func (c *Checker) Run(ctx context.Context) error {
	c.resetPatience()
	c.received = map[*Follower]int{}
	for ctx.Err() == nil {
		if wait := c.untilDue(time.Now()); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		c.check(ctx)
	}
	return nil
}

// untilDue returns the time until the oldest proof of a prefix is to be renewed. Prefixes
// without a waiting watch do not count: their next call is about to be made.
func (c *Checker) untilDue(now time.Time) time.Duration {
	var oldest time.Time
	for _, f := range c.Followers {
		since, currentAt := f.progress.waiting()
		if !since.IsZero() && (oldest.IsZero() || currentAt.Before(oldest)) {
			oldest = currentAt
		}
	}
	if oldest.IsZero() {
		return c.Interval / 4
	}
	if !oldest.Equal(c.spreadFor) {
		c.spreadFor, c.spread = oldest, rand.N(c.share(checkSpread))
	}
	return c.Interval + c.spread - now.Sub(oldest)
}

// check renews the proofs that are old.
func (c *Checker) check(ctx context.Context) {
	began := time.Now()
	groups := c.groups(began)
	if len(groups) == 0 { // what is old is about to be read
		sleep(ctx, c.Interval/4)
		return
	}
	for _, group := range groups {
		err := c.checkGroup(ctx, group, began)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.handleFailure(ctx, began, err)
			return
		}
	}
	c.handleSuccess(began)
}

// groups returns the followers with old proofs, those that are checked by one call
// together: all of them, or each alone if a call for all would return many large values
// that are known already, in a series of changes.
func (c *Checker) groups(now time.Time) [][]*Follower {
	var old, large []*Follower
	for _, f := range c.Followers {
		since, currentAt := f.progress.waiting()
		isOld := !since.IsZero() && now.Sub(currentAt) >= c.Interval/2
		switch {
		case isOld && f.ReadAfter > 0 && now.Sub(currentAt) > maxUnprovenIntervals*c.Interval:
			f.Refresh()
			large = append(large, f)
		case isOld:
			old = append(old, f)
		case f.ReadAfter > 0:
			large = append(large, f)
		}
	}
	if len(old) == 0 {
		return nil
	}
	if !c.manyReplaced(large) {
		return [][]*Follower{old}
	}
	var groups [][]*Follower
	for _, f := range old {
		groups = append(groups, []*Follower{f})
	}
	return groups
}

// manyReplaced reports whether one of the followers has received many changes since the last
// check, and records how many it has received.
func (c *Checker) manyReplaced(followers []*Follower) bool {
	many := false
	for _, f := range followers {
		count := f.progress.changeCount()
		many = many || count-c.received[f] > maxReplaced
		c.received[f] = count
	}
	return many
}

// oldestRevision returns the lowest of the revisions up to which states are proved.
func oldestRevision(followers []*Follower) Position {
	oldest := followers[0].progress.known()
	for _, f := range followers {
		oldest = min(oldest, f.progress.known())
	}
	return oldest
}

// checkGroup asks the store for changes of some prefixes since their last proofs.
func (c *Checker) checkGroup(ctx context.Context, group []*Follower, began time.Time) error {
	prefix, after := commonPrefix(group), oldestRevision(group)
	callCtx, cancel := context.WithTimeout(ctx, c.patience)
	items, revision, err := c.Store.Watch(callCtx, prefix, after, checkWait, func() {})
	if ctx.Err() == nil && callCtx.Err() != nil {
		err = errNotChecked
	}
	cancel()
	var compacted *CompactedError
	var era *EraError
	if errors.As(err, &compacted) || errors.As(err, &era) {
		for _, f := range group {
			f.Refresh()
		}
		return nil
	}
	if err != nil {
		return err
	}
	c.compare(ctx, group, items, revision, began)
	return nil
}

// errNotChecked means that a check was not answered in time.
var errNotChecked = errors.New("no answer to a check in time")

// compare compares the answer to a check with what the followers have received.
func (c *Checker) compare(ctx context.Context, group []*Follower, items []Item, revision Position, began time.Time) {
	missing := map[*Follower]Position{} // newest revision of the changes not received, by follower
	for _, f := range group {
		newest := lastRevision(ofPrefix(items, f.Prefix))
		if newest > f.progress.known() {
			missing[f] = newest
		} else {
			f.progress.recordCheck(revision, began)
		}
	}
	for f := range missing {
		if f.progress.isUnwatched() {
			f.refresh.deliver(delivery{ofPrefix(items, f.Prefix), revision, began})
			delete(missing, f)
		}
	}
	if len(missing) == 0 {
		return
	}
	sleep(ctx, deliveryGrace)
	for f, newest := range missing {
		since, _ := f.progress.waiting()
		if f.progress.received() >= newest || since.IsZero() || since.After(began) {
			continue
		}
		c.Log.Warn("watch lost without an error, reading the prefix", "prefix", f.Prefix, "watching_ms", time.Since(since).Milliseconds(), "missing_revision", newest)
		if c.OnLost != nil {
			c.OnLost(f.Prefix)
		}
		f.Refresh()
	}
}

// ofPrefix returns the items whose keys have a prefix.
func ofPrefix(items []Item, prefix string) []Item {
	var out []Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

// commonPrefix returns the longest prefix that all prefixes of the followers have.
func commonPrefix(followers []*Follower) string {
	common := followers[0].Prefix
	for _, f := range followers[1:] {
		for !strings.HasPrefix(f.Prefix, common) {
			common = common[:len(common)-1]
		}
	}
	return common
}

// handleFailure waits for a random time after a check that was refused or not answered.
func (c *Checker) handleFailure(ctx context.Context, began time.Time, err error) {
	if !c.failing {
		c.failing, c.failedAt = true, began
		c.Log.Warn("store not checked", "error", err.Error())
	}
	if c.OnFailure != nil {
		c.OnFailure()
	}
	if errors.Is(err, errNotChecked) {
		c.patience = min(2*c.patience, maxCheckPatience)
	}
	c.pause = min(max(2*c.pause, minBackoff), maxBackoff)
	sleep(ctx, c.pause/2+rand.N(c.pause/2))
}

// handleSuccess sends the watches again that may have been lost since checks fail. Their
// state is proved to be current, so that nothing need be read.
func (c *Checker) handleSuccess(began time.Time) {
	c.resetPatience()
	if c.OnProof != nil {
		c.OnProof()
	}
	if !c.failing {
		return
	}
	c.failing = false
	c.Log.Info("store checked again", "failing_ms", began.Sub(c.failedAt).Milliseconds())
	for _, f := range c.Followers {
		if since, _ := f.progress.waiting(); !since.IsZero() && since.Before(began) && !f.progress.isUnwatched() {
			f.Rewatch()
		}
	}
	if c.OnRestored != nil {
		c.OnRestored()
	}
}

func (c *Checker) resetPatience() {
	c.patience, c.pause = c.share(checkPatience), 0
}

// share returns a share of Interval.
func (c *Checker) share(x float64) time.Duration { return time.Duration(x * float64(c.Interval)) }

package agent

import (
	"context"
	"time"

	"camphorwick.dev/backend"
)

const (
	// cachePoll is the interval between reads of the engine's cache events.
	cachePoll = 500 * time.Millisecond
	// maxPrefixes bounds the prefixes that a heartbeat lists; 64 hashes are
	// 512 bytes.
	maxPrefixes = 64
	// blockTokens is the length of a prefix block in tokens.
	blockTokens = backend.PrefixBlockBytes / 4
)

// prefixSet holds the prefixes that the engine has reported as cached, the
// most recent ones last. It is a hint: events are late and have gaps.
type prefixSet struct {
	sequence uint64
	// version rises with each change.
	version uint64
	order   []uint64
	known   map[uint64]bool
}

func newPrefixSet() *prefixSet { return &prefixSet{known: map[uint64]bool{}} }

// apply takes over events. A gap may hide evictions, so it empties the set.
func (p *prefixSet) apply(events []backend.CacheEvent) {
	if len(events) > 0 {
		p.version++
	}
	for _, e := range events {
		if p.sequence != 0 && e.Sequence != p.sequence+1 {
			p.order, p.known = nil, map[uint64]bool{}
		}
		p.sequence = e.Sequence
		p.remove(e.Prefix)
		if e.Stored {
			p.order = append(p.order, e.Prefix)
			p.known[e.Prefix] = true
		}
	}
	if extra := len(p.order) - maxPrefixes; extra > 0 {
		for _, old := range p.order[:extra] {
			delete(p.known, old)
		}
		p.order = append([]uint64(nil), p.order[extra:]...)
	}
}

func (p *prefixSet) remove(prefix uint64) {
	if !p.known[prefix] {
		return
	}
	delete(p.known, prefix)
	for i, o := range p.order {
		if o == prefix {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}

// longest returns the tokens of the longest known prefix; prefixes are those
// of 1, 2, 3, ... blocks.
func (p *prefixSet) longest(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if p.known[prefixes[i]] {
			return (i + 1) * blockTokens
		}
	}
	return 0
}

func (p *prefixSet) list() []uint64 { return append([]uint64(nil), p.order...) }

// followCache reads cache events and the engine's load until ctx ends.
func (a *Agent) followCache(ctx context.Context) error {
	ticker := time.NewTicker(cachePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		call, cancel := context.WithTimeout(ctx, engineCallLimit)
		a.readEvents(call)
		a.readLoad(call)
		cancel()
	}
}

func (a *Agent) readEvents(ctx context.Context) {
	a.mu.Lock()
	after := a.cache.sequence
	a.mu.Unlock()
	events, err := a.engine.Events(ctx, after)
	if err != nil {
		a.log.Debug("cache events cannot be read", "error", err.Error())
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cache.apply(events)
}

// downAfterPolls is the number of unanswered load reports in a row after which
// entries are told to send nothing here.
const downAfterPolls = 3

func (a *Agent) engineDown() bool { return a.failedPolls.Load() >= downAfterPolls }

// readLoad keeps the engine's report for metrics; decisions rest on the
// agent's own count, because the report lags.
func (a *Agent) readLoad(ctx context.Context) {
	report, err := a.engine.Load(ctx)
	if err != nil {
		if a.failedPolls.Add(1) == downAfterPolls && ctx.Err() == nil {
			a.log.Error("engine does not answer", "error", err.Error())
			a.member.Node.Kick()
		}
		return
	}
	if a.failedPolls.Swap(0) >= downAfterPolls {
		a.log.Info("engine answers again")
		a.member.Node.Kick()
	}
	a.report.Store(&report)
}

package agent

import (
	"context"
	"time"

	"camphorwick.dev/backend"
)

const (
	// cachePollInterval is the interval between reads of the engine's cache events
	// and load.
	cachePollInterval = 500 * time.Millisecond
	// maxPrefixes is the largest number of prefixes in a heartbeat; 64 hashes take
	// 512 bytes.
	maxPrefixes = 64
	// blockTokens is the length of a prefix block in tokens of about 4 bytes.
	blockTokens = backend.PrefixBlockBytes / 4
)

// prefixSet holds the prefixes that the engine has reported as cached. It may
// differ from the engine's cache, because events arrive late and may be missing.
type prefixSet struct {
	sequence uint64 // of the last event
	// version increases with each change.
	version     uint64
	oldestFirst []uint64
	known       map[uint64]bool
}

func newPrefixSet() *prefixSet { return &prefixSet{known: map[uint64]bool{}} }

// apply applies events in order. If sequence numbers are skipped, it empties the
// set first, because the missing events may have been evictions.
func (p *prefixSet) apply(events []backend.CacheEvent) {
	if len(events) > 0 {
		p.version++
	}
	for _, e := range events {
		if p.sequence != 0 && e.Sequence != p.sequence+1 {
			p.oldestFirst, p.known = nil, map[uint64]bool{}
		}
		p.sequence = e.Sequence
		p.remove(e.Prefix)
		if e.Stored {
			p.oldestFirst = append(p.oldestFirst, e.Prefix)
			p.known[e.Prefix] = true
		}
	}
	if extra := len(p.oldestFirst) - maxPrefixes; extra > 0 {
		for _, old := range p.oldestFirst[:extra] {
			delete(p.known, old)
		}
		p.oldestFirst = append([]uint64(nil), p.oldestFirst[extra:]...)
	}
}

func (p *prefixSet) remove(prefix uint64) {
	if !p.known[prefix] {
		return
	}
	delete(p.known, prefix)
	for i, o := range p.oldestFirst {
		if o == prefix {
			p.oldestFirst = append(p.oldestFirst[:i], p.oldestFirst[i+1:]...)
			return
		}
	}
}

// longestMatch returns the length in tokens of the longest known prefix; prefixes
// are the hashes of the first 1, 2, 3, ... blocks.
func (p *prefixSet) longestMatch(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if p.known[prefixes[i]] {
			return (i + 1) * blockTokens
		}
	}
	return 0
}

func (p *prefixSet) list() []uint64 { return append([]uint64(nil), p.oldestFirst...) }

// followCache reads cache events and the engine's load until ctx ends.
func (a *Agent) followCache(ctx context.Context) error {
	ticker := time.NewTicker(cachePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		a.readCacheEvents(callCtx)
		a.pollEngineLoad(callCtx)
		cancel()
	}
}

func (a *Agent) readCacheEvents(ctx context.Context) {
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

// downAfterPolls is the number of consecutive failed reads of the load report
// after which the engine is reported as down, so that entries send nothing here.
const downAfterPolls = 3

func (a *Agent) engineDown() bool { return a.failedPolls.Load() >= downAfterPolls }

// pollEngineLoad stores the engine's load report for metrics. Decisions use the
// agent's own accounting, because the report lags behind.
func (a *Agent) pollEngineLoad(ctx context.Context) {
	report, err := a.engine.Load(ctx)
	if err != nil {
		if a.failedPolls.Add(1) == downAfterPolls && ctx.Err() == nil {
			a.log.Error("engine does not answer", "error", err.Error())
			a.member.Node.SendHeartbeats()
		}
		return
	}
	if a.failedPolls.Swap(0) >= downAfterPolls {
		a.log.Info("engine answers again")
		a.member.Node.SendHeartbeats()
	}
	a.report.Store(&report)
}

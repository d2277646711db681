package enginesim

import "time"

// loadSample is a load report with its time.
type loadSample struct {
	LoadReport
	at time.Time
}

// Load returns the load as it was Config.LoadLag ago, or an empty report if the
// engine has not run that long.
func (e *Engine) Load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.LoadLag == 0 {
		return e.currentLoad()
	}
	e.dropOldSamples(time.Now())
	if len(e.loadHistory) == 0 || time.Since(e.loadHistory[0].at) < e.config.LoadLag {
		return LoadReport{}
	}
	return e.loadHistory[0].LoadReport
}

// currentLoad returns the load without lag.
func (e *Engine) currentLoad() LoadReport {
	r := LoadReport{
		KVUsedTokens:   e.usedTokens,
		KVCachedTokens: e.cache.cachedTokens(),
		Running:        len(e.running),
		Queued:         len(e.queue),
	}
	for _, s := range e.queue {
		r.QueuedTokens += s.ownTokens - s.computedTokens
	}
	return r
}

// recordLoad stores the current load for later reports.
func (e *Engine) recordLoad() {
	if e.config.LoadLag == 0 {
		return
	}
	now := time.Now()
	e.dropOldSamples(now)
	e.loadHistory = append(e.loadHistory, loadSample{e.currentLoad(), now})
}

// dropOldSamples drops samples that are too old for any later report.
func (e *Engine) dropOldSamples(now time.Time) {
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.config.LoadLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

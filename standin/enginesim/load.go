package enginesim

import "time"

// loadSample is a load report with its time.
type loadSample struct {
	LoadReport
	at time.Time
}

// Load returns the report of Config.LoadLag ago; an empty report if the
// engine is younger.
func (e *Engine) Load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.LoadLag == 0 {
		return e.report()
	}
	e.forget(time.Now())
	if len(e.history) == 0 || time.Since(e.history[0].at) < e.config.LoadLag {
		return LoadReport{}
	}
	return e.history[0].LoadReport
}

// report returns the present load.
func (e *Engine) report() LoadReport {
	r := LoadReport{
		KVUsedTokens:   e.used,
		KVCachedTokens: e.cache.cachedTokens(),
		Running:        len(e.running),
		Queued:         len(e.queue),
	}
	for _, s := range e.queue {
		r.QueuedTokens += s.ownTokens - s.prefilled
	}
	return r
}

// recordLoad keeps the present load for later reports.
func (e *Engine) recordLoad() {
	if e.config.LoadLag == 0 {
		return
	}
	now := time.Now()
	e.forget(now)
	e.history = append(e.history, loadSample{e.report(), now})
}

// forget drops samples that a newer sample replaces in every report to come.
func (e *Engine) forget(now time.Time) {
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.config.LoadLag {
		e.history = e.history[1:]
	}
}

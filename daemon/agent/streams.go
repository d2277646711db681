package agent

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// streamCheckInterval is the interval between two looks at the streams that the engine
// holds.
const streamCheckInterval = 3 * time.Second

// freeLostStreams cancels the streams that the engine holds and no job has. The engine
// may process a start after the cancellation that followed it, for instance if it was
// unresponsive in between; nobody knows of such a stream, which holds memory that the
// queue grants to other jobs.
func (a *Agent) freeLostStreams(ctx context.Context) error {
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	suspected := map[string]bool{} // streams without a job at the last look
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var err error
		if suspected, err = a.cancelLostStreams(ctx, suspected); err != nil && ctx.Err() == nil {
			a.log.Warn("streams of the engine not compared with the jobs", "error", err.Error())
		}
	}
}

// cancelLostStreams cancels the streams without a job that were already without one at
// the last look, and returns those that were not. The list may be older than the jobs,
// so that one look shows nothing.
func (a *Agent) cancelLostStreams(ctx context.Context, suspected map[string]bool) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	streams, err := a.engine.Streams(ctx)
	if err != nil {
		return suspected, fmt.Errorf("list the engine's streams: %w", err)
	}
	found := map[string]bool{}
	for _, s := range streams {
		switch {
		case a.hasJob(s.StreamID):
		case !suspected[s.StreamID]:
			found[s.StreamID] = true
		default:
			a.log.Warn("stream without a job cancelled", "stream", s.StreamID, "kv_tokens", s.KVTokens, "state", s.State)
			if err := a.engine.Cancel(ctx, s.StreamID); err != nil {
				return suspected, fmt.Errorf("cancel stream %q: %w", s.StreamID, err)
			}
		}
	}
	return found, nil
}

// hasJob reports whether a job may have started a stream: its ID begins with that of
// the job.
func (a *Agent) hasJob(streamID string) bool {
	end := strings.LastIndexByte(streamID, '.')
	a.mu.Lock()
	defer a.mu.Unlock()
	return end >= 0 && a.jobs[streamID[:end]] != nil
}

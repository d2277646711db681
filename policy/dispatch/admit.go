package dispatch

import "math"

const (
	// longPrefillMillis is the prefill time from which a prompt waits until the
	// backlog of all engines is smaller. Shorter prompts add little to it.
	longPrefillMillis = 400
	// lowLoadBacklogMillis is the backlog at which a prompt of up to
	// moderatePrefillMillis may start. The limit falls with the square root of
	// longer prefill times.
	lowLoadBacklogMillis  = 1000
	moderatePrefillMillis = 1000
	// finalBacklogShare is the share of the latency target that is added to the
	// backlog limit by the end of a prompt's waiting time. The limit grows
	// linearly with the time waited.
	finalBacklogShare = 0.5
	// oversizedShare is the share of the time of all engines within the latency
	// target from which a prompt is oversized. It is not started while the
	// engines are under load, because it would make many other requests late.
	oversizedShare = 0.2
	// oversizedTargetFactor is the prefill time, in multiples of the latency
	// target, from which a prompt is oversized in a fleet of any size, because
	// many other prompts could be served in the same time.
	oversizedTargetFactor = 5
	// peakShare is the share of engines with pending prefill above which they
	// count as under load.
	peakShare = 0.35
	// lowLoadShare is the share of engines with pending prefill up to which an
	// oversized prompt is admitted although the mean is above peakShare,
	// because the mean lags behind the end of a burst.
	lowLoadShare = 0.15
	// smoothingFactor is the weight of the newest sample in the moving average.
	// Samples are taken every 100 ms, so the average covers the last few
	// seconds.
	smoothingFactor = 0.05
)

// Utilization is a moving average of the share of engines with pending prefill.
type Utilization struct {
	share   float64
	samples int
}

// Known reports whether the engines have been sampled.
func (u *Utilization) Known() bool { return u.samples > 0 }

// Observe takes a sample of the engines. The first samples have equal weight,
// so that a process that has just started does not take busy engines for idle
// ones.
func (u *Utilization) Observe(candidates []Candidate) {
	if len(candidates) == 0 {
		return
	}
	u.samples++
	u.share += (prefillingShare(candidates) - u.share) * max(smoothingFactor, 1/float64(u.samples))
}

// prefillingShare returns the share of the engines that have pending prefill.
func prefillingShare(candidates []Candidate) float64 {
	prefilling := 0
	for i := range candidates {
		if candidates[i].Load.Prefill.Tokens > 0 {
			prefilling++
		}
	}
	return float64(prefilling) / float64(max(len(candidates), 1))
}

// Refusal says why a prompt should be retried when the load is lower.
type Refusal struct {
	// PrefillMillis is the time that one engine takes to prefill the prompt.
	PrefillMillis float64
	// PrefillingShare is the share of the engines with pending prefill now.
	// MeanShare is the moving average of that share over the last seconds.
	PrefillingShare, MeanShare float64
}

// CheckRefusal returns why an oversized prompt should be retried when the load
// is lower, or nil if the prompt is admitted.
func (u *Utilization) CheckRefusal(e *Engine, p Prompt, candidates []Candidate) *Refusal {
	oversized := p.TargetMillis * min(oversizedTargetFactor, oversizedShare*float64(len(candidates)))
	prefill, prefilling := e.PrefillMillis(PromptPrefill(p.Tokens)), prefillingShare(candidates)
	if u.share <= peakShare || prefilling <= lowLoadShare || prefill <= oversized {
		return nil
	}
	return &Refusal{PrefillMillis: prefill, PrefillingShare: prefilling, MeanShare: u.share}
}

// BacklogMillis returns the mean time that the engines need for their pending
// prefill.
func (e *Engine) BacklogMillis(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for i := range candidates {
		sum += e.PrefillMillis(candidates[i].Load.Prefill)
	}
	return sum / float64(len(candidates))
}

// MayStart reports whether a prompt should start now rather than wait, given the
// mean backlog of the engines. The longer the prefill of the prompt is, the
// lower is its backlog limit: in the time of one oversized prompt several
// moderate ones can be served. waited is the share of the prompt's waiting time
// that has passed, from 0 to 1.
func (e *Engine) MayStart(p Prompt, backlogMillis, waited float64) bool {
	prefill := e.PrefillMillis(PromptPrefill(p.Tokens))
	if prefill < longPrefillMillis || p.TargetMillis <= 0 {
		return true
	}
	allowed := lowLoadBacklogMillis * math.Sqrt(min(1, moderatePrefillMillis/prefill))
	allowed += p.TargetMillis * finalBacklogShare * waited
	return backlogMillis <= allowed
}

const (
	// A long prompt starts only if its first token is expected within a limit.
	// The limit is startTargetShare of the latency target, or idleTimeFactor
	// times the time to first token on idle engines if that is longer. While the
	// prompt waits, the limit grows linearly, up to 1 + finalStretch times its
	// first value.
	startTargetShare = 0.35
	idleTimeFactor   = 1.7
	finalStretch     = 1.5
	// interferenceWaitShare is the share of its waiting time for which a long
	// prompt waits for a plan without interference.
	interferenceWaitShare = 0.25
)

// AcceptsPlan reports whether a long prompt should start with a plan or wait
// for a better one. waited is the share of its waiting time that has passed.
func (e *Engine) AcceptsPlan(p Prompt, plan Plan, engines int, waited float64) bool {
	prefill := e.PrefillMillis(PromptPrefill(p.Tokens))
	if prefill < longPrefillMillis || p.TargetMillis <= 0 {
		return true
	}
	if plan.InterferenceMillis > 0 && waited < interferenceWaitShare {
		return false
	}
	idle := prefill/float64(min(engines, MaxHelpers+1)) + e.stepsMillis(1, p.Tokens)
	limit := max(startTargetShare*p.TargetMillis, idleTimeFactor*idle) * (1 + finalStretch*waited)
	return float64(plan.FirstToken.Microseconds())/1000 <= limit
}

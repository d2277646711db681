package dispatch

import "math"

const (
	// longReadMillis is the reading time from which a prompt waits for the
	// backlog of all engines to shrink. Shorter ones hardly add to it.
	longReadMillis = 400
	// calmBacklogMillis is the backlog in which a prompt starts that reads for
	// up to moderateReadMillis; the longer one reads, the smaller it must be.
	calmBacklogMillis  = 1000
	moderateReadMillis = 1000
	// lastBacklogShare of the target is added by the end of the time that a
	// prompt may wait.
	lastBacklogShare = 0.5
	// hugeShare is the share of the time of all engines within the latency
	// target from which a prompt is not started while the engines are in
	// demand: it would make many others late.
	hugeShare = 0.2
	// hugeReads times the latency target is the reading time from which a
	// prompt counts as huge in a fleet of any size: it earns far less for the
	// time of the engines than others.
	hugeReads = 5
	// busyShare is the share of engines with prompts to read from which they
	// count as in demand.
	busyShare = 0.35
	// lullShare is the share of engines with prompts to read up to which a huge
	// prompt is let in all the same: the demand of the last seconds outlasts a
	// burst.
	lullShare = 0.15
	// demandWeight is the weight of the newest look in the demand; looks are
	// made every 100 ms, so it follows the last seconds.
	demandWeight = 0.05
)

// Utilization follows how many engines have prompts to read.
type Utilization struct {
	share float64
	looks int
}

// Known reports whether the engines have been looked at.
func (d *Utilization) Known() bool { return d.looks > 0 }

// Observe takes a look at the engines. The first looks count evenly: a process
// that has just started must not take busy engines for idle ones.
func (d *Utilization) Observe(candidates []Candidate) {
	if len(candidates) == 0 {
		return
	}
	d.looks++
	d.share += (readingShare(candidates) - d.share) * max(demandWeight, 1/float64(d.looks))
}

// readingShare returns the share of the engines that have prompts to read.
func readingShare(candidates []Candidate) float64 {
	reading := 0
	for i := range candidates {
		if candidates[i].Load.Prefill.Tokens > 0 {
			reading++
		}
	}
	return float64(reading) / float64(max(len(candidates), 1))
}

// Refusal says why a prompt should come back at a calmer time.
type Refusal struct {
	// PrefillMillis is what one engine takes to read the prompt.
	PrefillMillis float64
	// PrefillingShare is the share of the engines that have prompts to read, at
	// that moment and on average over the last seconds.
	PrefillingShare, MeanShare float64
}

// CheckRefusal returns why a prompt should come back at a calmer time, or nil.
func (d *Utilization) CheckRefusal(e *Engine, p Prompt, candidates []Candidate) *Refusal {
	huge := p.TargetMillis * min(hugeReads, hugeShare*float64(len(candidates)))
	read, reading := e.PrefillMillis(PromptPrefill(p.Tokens)), readingShare(candidates)
	if d.share <= busyShare || reading <= lullShare || read <= huge {
		return nil
	}
	return &Refusal{PrefillMillis: read, PrefillingShare: reading, MeanShare: d.share}
}

// BacklogMillis returns the mean time that the engines need to read what they
// have been given.
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

// MayStart reports whether a prompt should start with the given backlog.
// Several moderate prompts are worth more than one huge one that takes the
// same time, so the longer a prompt reads, the calmer the engines must be.
// waited is the share of its waiting time that is over, from 0 to 1.
func (e *Engine) MayStart(p Prompt, backlogMillis, waited float64) bool {
	read := e.PrefillMillis(PromptPrefill(p.Tokens))
	if read < longReadMillis || p.TargetMillis <= 0 {
		return true
	}
	allowed := calmBacklogMillis * math.Sqrt(min(1, moderateReadMillis/read))
	allowed += p.TargetMillis * lastBacklogShare * waited
	return backlogMillis <= allowed
}

const (
	// promptStart is the share of the latency target within which a long
	// prompt should have its first token to start at once, idleFactor times
	// the time on idle engines for those that cannot; each is stretched by up
	// to lastStretch while the prompt waits.
	promptStart = 0.35
	idleFactor  = 1.7
	lastStretch = 1.5
	// harmlessShare of its waiting time is how long a long prompt waits for a
	// plan that makes no pause of other answers too long.
	harmlessShare = 0.25
)

// AcceptsPlan reports whether a long prompt should start with a plan, or wait for
// better ones. waited is the share of its waiting time that is over.
func (e *Engine) AcceptsPlan(p Prompt, plan Plan, engines int, waited float64) bool {
	read := e.PrefillMillis(PromptPrefill(p.Tokens))
	if read < longReadMillis || p.TargetMillis <= 0 {
		return true
	}
	if plan.InterferenceMillis > 0 && waited < harmlessShare {
		return false
	}
	idle := read/float64(min(engines, MaxHelpers+1)) + e.stepsMillis(1, p.Tokens)
	limit := max(promptStart*p.TargetMillis, idleFactor*idle) * (1 + lastStretch*waited)
	return float64(plan.FirstToken.Microseconds())/1000 <= limit
}

package ingress

import (
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
)

// Callers leave a stream without events after the longest of minEventTimeout,
// eventTimeoutTargets latency targets and eventTimeoutGaps event gap limits.
// The same holds before the first event.
const (
	minEventTimeout     = 2 * time.Second
	eventTimeoutTargets = 4
	eventTimeoutGaps    = 8
)

// placement returns the request to the scheduler.
func (x *exchange) placement() schedule.Request {
	p := schedule.Request{Service: x.service, LatencyTarget: x.route.LatencyTarget, Arrived: x.arrived, Deadline: x.deadline, Exclude: x.excluded}
	if s := x.table.Service(x.service); s != nil && x.meta.PromptTokens > 0 {
		p.Engine = s.Engine
	}
	p.Priority = x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		p.Priority = *x.account.Priority
	}
	if x.route.Kind == routing.Stream {
		p.EventTimeout = max(minEventTimeout, eventTimeoutTargets*x.route.LatencyTarget, eventTimeoutGaps*x.route.EventGapTarget)
	}
	if x.headWritten {
		p.Resumed = true
		p.EventTimeout += x.lastEventsAt.Sub(x.arrived)
	}
	answer := x.meta.MaxAnswerTokens
	if x.meta.AnswerHint > 0 {
		answer = min(answer, 2*x.meta.AnswerHint)
	}
	p.Prompt = dispatch.Prompt{Tokens: x.meta.PromptTokens, AnswerTokens: answer, TargetMillis: millis(x.route.LatencyTarget),
		EventGapMillis: millis(x.route.EventGapTarget)}
	return p
}

// accountName returns the name of the caller's account, or "".
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

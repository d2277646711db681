package ingress

import (
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/dispatch"
)

// A caller gives up a stream if it gets no event, the first one included, for
// the longest of three times: minEventTimeout, eventTimeoutTargets times the
// latency target, and eventTimeoutGaps times the event gap limit.
const (
	minEventTimeout     = 2 * time.Second
	eventTimeoutTargets = 4
	eventTimeoutGaps    = 8
)

// placement returns the request that is passed to the scheduler.
func (x *exchange) placement() schedule.Request {
	p := schedule.Request{Service: x.service, LatencyTarget: x.route.LatencyTarget, Arrived: x.arrived, Deadline: x.deadline, Exclude: x.excluded, Duration: x.duration}
	if s := x.table.Service(x.service); s != nil {
		p.ColdRequestsPerSecond = s.ColdRequestsPerSecond
		if x.meta.PromptTokens > 0 {
			p.Engine = s.Engine
		}
	}
	p.Regions = x.regions()
	p.Priority = x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		p.Priority = *x.account.Priority
	}
	if x.route.Kind == routing.Stream {
		p.EventTimeout = max(minEventTimeout, eventTimeoutTargets*x.route.LatencyTarget, eventTimeoutGaps*x.route.EventGapTarget)
	}
	if x.headWritten {
		p.Resumed = true
		p.EventTimeout += x.lastEventsAt.Sub(x.arrived) // counted from the last event
	}
	answer := x.meta.MaxAnswerTokens
	if x.meta.AnswerHint > 0 {
		answer = min(answer, 2*x.meta.AnswerHint) // estimates are often too low
	}
	p.Prompt = dispatch.Prompt{Tokens: x.meta.PromptTokens, AnswerTokens: answer, TargetMillis: millis(x.route.LatencyTarget),
		EventGapLimitMillis: millis(x.route.EventGapTarget)}
	return p
}

// regions returns the regions to which the route and the account restrict the request.
func (x *exchange) regions() [][]string {
	regions := [][]string{x.route.Regions}
	if x.account != nil {
		regions = append(regions, x.account.Regions)
	}
	return regions
}

// accountName returns the name of the caller's account, or "".
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

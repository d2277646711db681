package ingress

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/policy/selfreport"
)

// Upper bounds of the prompt length bands in metrics, in tokens.
const (
	maxShortPrompt  = 8_000
	maxMediumPrompt = 100_000
)

// Metrics are the counters and histograms of a Gateway.
type Metrics struct {
	requests       metric.Int64Counter
	retries        metric.Int64Counter
	budgetRefusals metric.Int64Counter
	answers        metric.Int64Counter
	reports        metric.Int64Counter
	duration       metric.Float64Histogram
	queueWait      metric.Float64Histogram
	firstTokens    metric.Float64Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	var errs [8]error
	out := &Metrics{}
	out.requests, errs[0] = m.Int64Counter("gateway.requests", metric.WithDescription("Requests by status and reason"))
	out.retries, errs[1] = m.Int64Counter("gateway.repeats", metric.WithDescription("Requests sent to a further server, by reason"))
	out.budgetRefusals, errs[2] = m.Int64Counter("gateway.budget_refusals", metric.WithDescription("Repeats refused by the retry budget"))
	out.duration, errs[3] = m.Float64Histogram("gateway.duration", metric.WithUnit("s"))
	out.queueWait, errs[4] = m.Float64Histogram("gateway.queue_wait", metric.WithUnit("s"), metric.WithDescription("Time until a request is sent to a server"))
	out.firstTokens, errs[5] = m.Float64Histogram("gateway.first_token", metric.WithUnit("s"), metric.WithDescription("Time to the first event by length of the prompt"))
	out.answers, errs[6] = m.Int64Counter("gateway.answers", metric.WithDescription("Answers of servers by framing and by how they ended"))
	out.reports, errs[7] = m.Int64Counter("gateway.server_reports", metric.WithDescription("Answers in which servers report on themselves, by kind of report or by the reason to ignore it"))
	return out, errors.Join(errs[:]...)
}

func (m *Metrics) recordRequest(ctx context.Context, status int, reason string, took time.Duration) {
	set := metric.WithAttributes(attribute.String("status", strconv.Itoa(status)), attribute.String("reason", reason))
	m.requests.Add(ctx, 1, set)
	m.duration.Record(ctx, took.Seconds())
}

func (m *Metrics) count(c metric.Int64Counter, reason string) {
	c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

func (m *Metrics) countAnswer(ctx context.Context, e answerEnd) {
	set := metric.WithAttributes(attribute.String("framing", string(e.framing)), attribute.String("ending", string(e.ending)))
	m.answers.Add(ctx, 1, set)
}

// countReport counts the parts of a server's report on itself.
func (m *Metrics) countReport(r *selfreport.Report) {
	count := func(kind string) {
		m.reports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
	}
	if r.Leaving {
		count("leaving")
	}
	if r.Pause > 0 {
		count("pause")
	}
	if r.HasLoad {
		count("load")
	}
	for _, reason := range r.Ignored {
		count(string(reason))
	}
}

func (m *Metrics) recordQueueWait(ctx context.Context, d time.Duration) {
	m.queueWait.Record(ctx, d.Seconds())
}

func (m *Metrics) recordFirstToken(ctx context.Context, tokens int, d time.Duration) {
	band := "long"
	switch {
	case tokens <= maxShortPrompt:
		band = "short"
	case tokens <= maxMediumPrompt:
		band = "medium"
	}
	m.firstTokens.Record(ctx, d.Seconds(), metric.WithAttributes(attribute.String("band", band)))
}

// Package load sends completions to a fleet in an open loop: arrivals follow a
// seeded schedule and do not wait for answers, so that slow answers do not
// slow the arrivals down and hide their own delay.
package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/testbed/client"
)

// Histogram range in microseconds and its precision.
const (
	minLatency = 1
	maxLatency = 30 * 60 * 1_000_000
	digits     = 3
)

// Plan describes a load.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of short requests per second; it rises to
	// Rate*Swing for the middle fifth of the duration.
	Rate, Swing float64
	// ShortTokens is the longest short prompt; lengths are drawn evenly from
	// 1,000 up.
	ShortTokens int
	// LongRate is the number of long requests per second.
	LongRate float64
	// LongTokens is the length of long prompts.
	LongTokens int
	// AnswerTokens is the length of each answer.
	AnswerTokens int
	// Timeout is the deadline of short requests; long ones get LongTimeout.
	Timeout, LongTimeout time.Duration
	Model                string
	// Salt starts every prompt, so that the prefix cache of an engine holds
	// nothing from an earlier part of the same run.
	Salt string
}

// request is one arrival of a plan.
type request struct {
	at     time.Duration
	tokens int
	id     int
}

// schedule returns the arrivals of a plan. The short ones are the same with
// and without long ones, so that two runs can be compared.
func (p Plan) schedule() []request {
	short := rand.New(rand.NewPCG(p.Seed, 1))
	long := rand.New(rand.NewPCG(p.Seed, 2))
	var all []request
	for at := time.Duration(0); at < p.Duration; {
		rate := p.Rate
		if at > 2*p.Duration/5 && at < 3*p.Duration/5 {
			rate *= max(p.Swing, 1)
		}
		at += time.Duration(short.ExpFloat64() / rate * float64(time.Second))
		all = append(all, request{at: at, tokens: 1000 + short.IntN(max(p.ShortTokens-1000, 1))})
	}
	for at := time.Duration(0); p.LongRate > 0; {
		at += time.Duration(long.ExpFloat64() / p.LongRate * float64(time.Second))
		if at >= p.Duration {
			break
		}
		all = append(all, request{at: at, tokens: p.LongTokens})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		all[i].id = i
	}
	return all
}

// Result is what the callers of a load saw.
type Result struct {
	// FirstToken holds the time to first token in microseconds by band.
	FirstToken [outcome.BandCount]*hdrhistogram.Histogram
	// Whole holds the time to the whole answer by band.
	Whole [outcome.BandCount]*hdrhistogram.Histogram
	// Outcomes counts outcomes with their code by band.
	Outcomes [outcome.BandCount]map[string]int
	// Late counts answers after the deadline plus lateMargin.
	Late int
	// Tokens is the number of tokens of completed answers.
	Tokens int
}

// lateMargin is allowed for the way between caller and entry.
const lateMargin = time.Second

func newResult() *Result {
	r := &Result{}
	for b := range outcome.BandCount {
		r.FirstToken[b] = hdrhistogram.New(minLatency, maxLatency, digits)
		r.Whole[b] = hdrhistogram.New(minLatency, maxLatency, digits)
		r.Outcomes[b] = map[string]int{}
	}
	return r
}

// Run sends a plan's requests to the entries in turn and waits for all
// answers.
func Run(ctx context.Context, p Plan, entries []*client.Client) *Result {
	result := newResult()
	filler := strings.Repeat("certificate bundle page ", (max(p.LongTokens, p.ShortTokens)*outcome.BytesPerToken)/24+1)
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for _, r := range p.schedule() {
		wait := time.NewTimer(time.Until(started.Add(r.at)))
		select {
		case <-ctx.Done():
			wait.Stop()
			group.Wait()
			return result
		case <-wait.C:
		}
		group.Go(func() {
			p.send(ctx, r, entries[r.id%len(entries)], filler, result, &mu)
		})
	}
	group.Wait()
	return result
}

func (p Plan) send(ctx context.Context, r request, c *client.Client, filler string, result *Result, mu *sync.Mutex) {
	band := outcome.BandOf(r.tokens)
	timeout := p.Timeout
	if band == outcome.Long {
		timeout = p.LongTimeout
	}
	prompt := fmt.Sprintf("%s %d %d ", p.Salt, p.Seed, r.id) + filler
	a, err := c.Complete(ctx, client.Request{Model: p.Model, Prompt: prompt[:r.tokens*outcome.BytesPerToken],
		MaxTokens: p.AnswerTokens, Stream: true, TimeoutMS: timeout.Milliseconds()})
	mu.Lock()
	defer mu.Unlock()
	name := a.Outcome
	if a.Code != "" {
		name += " " + a.Code
	}
	if err != nil {
		name = "connection broke"
	}
	result.Outcomes[band][name]++
	if a.Duration > timeout+lateMargin {
		result.Late++
	}
	if name != string(outcome.Completed) {
		return
	}
	result.Tokens += p.AnswerTokens
	_ = result.FirstToken[band].RecordValue(a.FirstToken.Microseconds()) // within the range
	_ = result.Whole[band].RecordValue(a.Duration.Microseconds())
}

// Print writes a result as a table.
func (r *Result) Print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\n%-8s %7s %10s %10s %10s %10s  %s\n", name, "band", "done", "p50 ms", "p95 ms", "p99 ms", "whole p95", "outcomes")
	for b := range outcome.BandCount {
		h := r.FirstToken[b]
		if len(r.Outcomes[b]) == 0 {
			continue
		}
		fmt.Fprintf(w, "%-8s %7d %10.0f %10.0f %10.0f %10.0f  %v\n", outcome.Band(b), h.TotalCount(), ms(h, 50), ms(h, 95), ms(h, 99),
			ms(r.Whole[b], 95), r.Outcomes[b])
	}
	fmt.Fprintf(w, "answers later than their deadline: %d\n", r.Late)
}

// Share returns the share of completed requests of a band whose first token
// came within a limit.
func (r *Result) Share(b outcome.Band, limit time.Duration) float64 {
	h := r.FirstToken[b]
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	within := int64(0)
	for _, bar := range h.Distribution() {
		if bar.To <= limit.Microseconds() {
			within += bar.Count
		}
	}
	return float64(within) / float64(h.TotalCount())
}

func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// P95 returns the 95th percentile of the time to first token of a band.
func (r *Result) P95(b outcome.Band) time.Duration {
	return time.Duration(r.FirstToken[b].ValueAtQuantile(95)) * time.Microsecond
}

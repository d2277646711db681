// Package load sends completions to a fleet in an open loop: arrivals follow a
// seeded schedule and do not wait for answers. In a closed loop, slow answers
// would lower the arrival rate and thereby hide their own delay.
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

// Range of the histograms in microseconds and their precision.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 30 * 60 * 1_000_000
	significantDigits = 3
)

// Spec describes a load.
type Spec struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of short requests per second outside the middle
	// fifth of the duration, in which it is Rate*PeakFactor.
	Rate, PeakFactor float64
	// MaxShortTokens is the length of the longest short prompt; lengths are
	// distributed uniformly from 1,000 tokens.
	MaxShortTokens int
	// LongRate is the number of long requests per second.
	LongRate float64
	// LongTokens is the length of long prompts.
	LongTokens int
	// AnswerTokens is the length of each answer.
	AnswerTokens int
	// Timeout is the timeout of requests below the band Long, LongTimeout that of
	// requests in this band.
	Timeout, LongTimeout time.Duration
	Model                string
	// PromptPrefix is the start of every prompt. It differs between two loads on one
	// fleet, so that the engines have no prompt of the second load in their prefix
	// cache.
	PromptPrefix string
}

// request is one request of a load.
type request struct {
	arrival time.Duration // since the start of the load
	tokens  int           // length of the prompt
	id      int           // index in the order of arrival
}

// schedule returns the requests of a load in the order of arrival. The arrivals
// and lengths of the short requests are the same with and without long ones, so
// that two runs can be compared.
func (p Spec) schedule() []request {
	shortRandom := rand.New(rand.NewPCG(p.Seed, 1))
	longRandom := rand.New(rand.NewPCG(p.Seed, 2))
	var all []request
	for arrival := time.Duration(0); arrival < p.Duration; {
		rate := p.Rate
		if arrival > 2*p.Duration/5 && arrival < 3*p.Duration/5 {
			rate *= max(p.PeakFactor, 1)
		}
		arrival += time.Duration(shortRandom.ExpFloat64() / rate * float64(time.Second))
		all = append(all, request{arrival: arrival, tokens: 1000 + shortRandom.IntN(max(p.MaxShortTokens-1000, 1))})
	}
	for arrival := time.Duration(0); p.LongRate > 0; {
		arrival += time.Duration(longRandom.ExpFloat64() / p.LongRate * float64(time.Second))
		if arrival >= p.Duration {
			break
		}
		all = append(all, request{arrival: arrival, tokens: p.LongTokens})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].arrival < all[j].arrival })
	for i := range all {
		all[i].id = i
	}
	return all
}

// Result holds what the callers of a load observed.
type Result struct {
	// FirstToken holds the time to first token in microseconds by band.
	FirstToken [outcome.BandCount]*hdrhistogram.Histogram
	// TotalTime holds the time to the complete answer in microseconds by band.
	TotalTime [outcome.BandCount]*hdrhistogram.Histogram
	// Outcomes counts outcomes with their code by band.
	Outcomes [outcome.BandCount]map[string]int
	// Late counts answers that came more than lateMargin after their deadline.
	Late int
	// Tokens is the number of tokens of completed answers.
	Tokens int
}

// maxLateness is the same bound as history.MaxLateness; it allows for the transport
// between caller and entry.
const maxLateness = time.Second

func newResult() *Result {
	r := &Result{}
	for b := range outcome.BandCount {
		r.FirstToken[b] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		r.TotalTime[b] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		r.Outcomes[b] = map[string]int{}
	}
	return r
}

// Run sends the requests of a load to the entries in turn and waits for all
// answers.
func Run(ctx context.Context, p Spec, entries []*client.Client) *Result {
	result := newResult()
	filler := strings.Repeat("certificate bundle page ", (max(p.LongTokens, p.MaxShortTokens)*outcome.BytesPerToken)/24+1) // the text repeated has 24 bytes
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for _, r := range p.schedule() {
		wait := time.NewTimer(time.Until(started.Add(r.arrival)))
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

func (p Spec) send(ctx context.Context, r request, c *client.Client, filler string, result *Result, mu *sync.Mutex) {
	band := outcome.BandOf(r.tokens)
	timeout := p.Timeout
	if band == outcome.Long {
		timeout = p.LongTimeout
	}
	prompt := fmt.Sprintf("%s %d %d ", p.PromptPrefix, p.Seed, r.id) + filler
	a, err := c.Complete(ctx, client.Request{Model: p.Model, Prompt: prompt[:r.tokens*outcome.BytesPerToken],
		MaxTokens: p.AnswerTokens, Stream: true, TimeoutMS: timeout.Milliseconds()})
	mu.Lock()
	defer mu.Unlock()
	name := a.Outcome
	if a.Code != "" {
		name += " " + a.Code
	}
	if err != nil {
		name = "connection broken"
	}
	result.Outcomes[band][name]++
	if a.Duration > timeout+maxLateness {
		result.Late++
	}
	if name != string(outcome.Completed) {
		return
	}
	result.Tokens += p.AnswerTokens
	_ = result.FirstToken[band].RecordValue(a.FirstToken.Microseconds()) // the error means a value out of range, above 30 minutes
	_ = result.TotalTime[band].RecordValue(a.Duration.Microseconds())
}

// Print writes a result as a table.
func (r *Result) Print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\n%-8s %9s %18s %10s %10s %22s  %s\n", name, "band", "done", "first token p50 ms", "p95 ms", "p99 ms", "complete answer p95 ms", "outcomes")
	for b := range outcome.BandCount {
		h := r.FirstToken[b]
		if len(r.Outcomes[b]) == 0 {
			continue
		}
		fmt.Fprintf(w, "%-8s %9d %18.0f %10.0f %10.0f %22.0f  %v\n", outcome.Band(b), h.TotalCount(), percentileMillis(h, 50), percentileMillis(h, 95), percentileMillis(h, 99),
			percentileMillis(r.TotalTime[b], 95), r.Outcomes[b])
	}
	fmt.Fprintf(w, "answers more than 1 s after their deadline: %d\n", r.Late)
}

// ShareWithin returns the share of completed requests of a band whose time to
// first token is within a limit, NaN if none completed.
func (r *Result) ShareWithin(b outcome.Band, limit time.Duration) float64 {
	h := r.FirstToken[b]
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	within := int64(0)
	for _, bucket := range h.Distribution() {
		if bucket.To <= limit.Microseconds() {
			within += bucket.Count
		}
	}
	return float64(within) / float64(h.TotalCount())
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// FirstTokenP95 returns the 95th percentile of the time to first token of a band.
func (r *Result) FirstTokenP95(b outcome.Band) time.Duration {
	return time.Duration(r.FirstToken[b].ValueAtQuantile(95)) * time.Microsecond
}

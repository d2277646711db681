package entry

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/backend"
	"camphorwick.dev/policy/admit"
	"camphorwick.dev/policy/choose"
)

// Limits of a completion, in tokens. If a caller sends no max_tokens, it is
// defaultMaxTokens; a caller may send at most maxTokensLimit.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 131_072
	// maxPromptTokens is the longest prompt that callers may send.
	maxPromptTokens = 1_050_000
)

// completionBody is the JSON body of POST /v1/completions. Other fields of the
// de facto standard completions protocol are ignored.
type completionBody struct {
	Model     string  `json:"model"`
	Prompt    string  `json:"prompt"`
	MaxTokens *int    `json:"max_tokens"`
	Stream    bool    `json:"stream"`
	TimeoutMS *int64  `json:"timeout_ms"`
	N         float64 `json:"n"`
}

// completion is a validated completion request.
type completion struct {
	exchange     *exchange
	model        string
	prompt       []byte
	promptTokens int // estimated from the length of the prompt
	band         outcome.Band
	max          int // max_tokens
	stream       bool
	deadline     time.Time
	prefixes     []uint64 // hashes of the prompt's prefixes, by which agents with a cached one are found
}

// serveCompletion answers POST /v1/completions.
func (e *Entry) serveCompletion(x *exchange) {
	c, err := e.parseCompletion(x)
	if err != nil {
		e.refuse(x, err)
		return
	}
	setResponseDeadline(x.http, c.deadline)
	release, err := e.admit(c)
	if err != nil {
		e.refuse(x, err)
		return
	}
	e.budget.Request(time.Now())
	ctx, cancel := context.WithCancelCause(x.ctx)
	ctx, stopTimer := context.WithDeadline(ctx, c.deadline)
	stopWatching := e.watchCaller(x.http.Conn(), cancel)
	a := newAnswer()
	go func() {
		defer release()
		e.runCompletion(ctx, c, a)
	}()
	finish := func() {
		stopWatching()
		stopTimer()
		cancel(nil)
	}
	if c.stream {
		e.streamAnswer(c, a, cancel, finish)
		return
	}
	defer finish()
	e.writeBufferedAnswer(c, a)
}

// parseCompletion parses and validates a completion request. Errors are
// *outcome.Error.
func (e *Entry) parseCompletion(x *exchange) (*completion, error) {
	body := completionBody{}
	if err := json.Unmarshal(x.http.PostBody(), &body); err != nil {
		return nil, outcome.Wrap(err, outcome.InvalidRequest, "the body is not a valid completion request")
	}
	c := &completion{exchange: x, model: body.Model, prompt: []byte(body.Prompt), max: defaultMaxTokens, stream: body.Stream}
	c.promptTokens = outcome.EstimateTokens(len(c.prompt))
	c.band = outcome.BandOf(c.promptTokens)
	if body.MaxTokens != nil {
		c.max = *body.MaxTokens
	}
	timeout := int64(e.settings.Entry.DefaultTimeoutMillis)
	if body.TimeoutMS != nil {
		timeout = *body.TimeoutMS
	}
	switch {
	case c.model == "":
		return nil, outcome.New(outcome.InvalidRequest, "\"model\" is missing")
	case len(c.prompt) == 0:
		return nil, outcome.New(outcome.InvalidRequest, "\"prompt\" is missing or empty")
	case c.max < 1 || c.max > maxTokensLimit:
		return nil, outcome.New(outcome.InvalidRequest, "\"max_tokens\" is %d; allowed: 1 to %d", c.max, maxTokensLimit)
	case body.N != 0 && body.N != 1:
		return nil, outcome.New(outcome.InvalidRequest, "\"n\" is %v; allowed: 1", body.N)
	case timeout < 1 || timeout > int64(e.settings.Entry.MaxTimeoutMillis):
		return nil, outcome.New(outcome.InvalidRequest, "\"timeout_ms\" is %d; allowed: 1 to %d", timeout, e.settings.Entry.MaxTimeoutMillis)
	case c.promptTokens > maxPromptTokens:
		return nil, outcome.New(outcome.PromptTooLong, "the prompt has about %d tokens; allowed: %d", c.promptTokens, maxPromptTokens)
	}
	c.deadline = x.started.Add(time.Duration(timeout) * time.Millisecond)
	c.prefixes = backend.PrefixHashes(c.prompt)
	return c, e.checkPlan(c)
}

// checkPlan checks a completion against the account's plan.
func (e *Entry) checkPlan(c *completion) error {
	plan := c.exchange.plan
	if !plan.AllowsModel(c.model) {
		if e.modelExists(c.model) {
			return outcome.New(outcome.Forbidden, "the plan does not include model %q", c.model)
		}
		return outcome.New(outcome.UnknownModel, "model %q does not exist", c.model)
	}
	if plan.MaxPromptTokens > 0 && c.promptTokens > plan.MaxPromptTokens {
		return outcome.New(outcome.PromptTooLong, "the prompt has about %d tokens; the plan allows %d", c.promptTokens, plan.MaxPromptTokens)
	}
	return nil
}

// modelExists reports whether any known agent serves a model.
func (e *Entry) modelExists(model string) bool { return e.maxKVTokens(model) > 0 }

// maxKVTokens returns the largest KV cache, in tokens, of the known agents that
// serve a model; 0 if there is none.
func (e *Entry) maxKVTokens(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	largest := 0
	for _, a := range e.agents {
		if slices.Contains(a.models(), model) {
			largest = max(largest, int(a.hello.GetBackend().GetKvTokens()))
		}
	}
	return largest
}

// admit refuses a completion that the fleet cannot finish in time and applies
// the plan's limits. The returned function releases the concurrency slot.
func (e *Entry) admit(c *completion) (release func(), err error) {
	if err := e.shed(c); err != nil {
		return nil, err
	}
	return e.applyLimits(c.exchange, c.promptTokens)
}

// shed refuses a completion whose deadline the fleet is not expected to meet.
func (e *Entry) shed(c *completion) error {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordDemand(now, c)
	_, expected, ok := e.table.Pick(now, c.routingRequest(e.settings.DataCentre, nil))
	if !ok {
		return nil
	}
	return e.shedder.Check(now, admit.Work{Band: c.band, Deadline: c.deadline, Expected: expected})
}

// applyLimits charges a request with the given number of prompt tokens to the
// limits of the account's plan. The returned function releases the concurrency
// slot.
func (e *Entry) applyLimits(x *exchange, tokens int) (release func(), err error) {
	limits := admit.Limits{RequestsPerSecond: x.plan.RequestsPerSecond, TokensPerSecond: x.plan.TokensPerSecond, Concurrency: x.plan.Concurrency}
	e.mu.Lock()
	defer e.mu.Unlock()
	releaseSlot, err := e.limiter.Admit(time.Now(), x.account, limits, tokens, int(e.liveEntries.Load()))
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		releaseSlot()
	}), nil
}

// routingRequest returns the properties of a completion that the choice of an
// agent depends on.
func (c *completion) routingRequest(dataCentre string, exclude func(string) bool) choose.Request {
	return choose.Request{Model: c.model, Band: c.band, Tokens: c.promptTokens, Prefixes: c.prefixes,
		DataCentre: dataCentre, Exclude: exclude}
}

// remainingMillis returns the time until a deadline in milliseconds, but at
// least 1.
func remainingMillis(deadline time.Time) uint32 {
	ms := time.Until(deadline).Milliseconds()
	return uint32(min(max(ms, 1), math.MaxUint32))
}

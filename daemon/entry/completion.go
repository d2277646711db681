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

// Limits of a completion.
const (
	defaultMaxTokens = 256
	maxMaxTokens     = 131_072
	// maxPromptTokens is the longest prompt that callers may send.
	maxPromptTokens = 1_050_000
)

// completionBody is the JSON body of POST /v1/completions. Other fields of the
// usual protocol are ignored.
type completionBody struct {
	Model     string  `json:"model"`
	Prompt    string  `json:"prompt"`
	MaxTokens *int    `json:"max_tokens"`
	Stream    bool    `json:"stream"`
	TimeoutMS *int64  `json:"timeout_ms"`
	N         float64 `json:"n"`
}

// completion is a checked completion request.
type completion struct {
	exchange *exchange
	model    string
	prompt   []byte
	tokens   int // estimated prompt tokens
	band     outcome.Band
	max      int
	stream   bool
	deadline time.Time
	prefixes []uint64
}

// serveCompletion answers POST /v1/completions.
func (e *Entry) serveCompletion(x *exchange) {
	c, err := e.parseCompletion(x)
	if err != nil {
		e.metrics.refused(err)
		x.refuse(err)
		return
	}
	boundAnswer(x.http, c.deadline)
	release, err := e.admit(c)
	if err != nil {
		e.metrics.refused(err)
		x.refuse(err)
		return
	}
	e.budget.Request(time.Now())
	ctx, cancel := context.WithCancelCause(x.ctx)
	ctx, stopTimer := context.WithDeadline(ctx, c.deadline)
	stopWatch := e.watchCaller(x.http.Conn(), cancel)
	a := newAnswer()
	go func() {
		defer release()
		e.complete(ctx, c, a)
	}()
	finish := func() {
		stopWatch()
		stopTimer()
		cancel(nil)
	}
	if c.stream {
		e.streamAnswer(c, a, cancel, finish)
		return
	}
	defer finish()
	e.wholeAnswer(c, a)
}

// parseCompletion checks a completion request. Errors are *outcome.Error.
func (e *Entry) parseCompletion(x *exchange) (*completion, error) {
	body := completionBody{}
	if err := json.Unmarshal(x.http.PostBody(), &body); err != nil {
		return nil, outcome.Wrap(err, outcome.InvalidRequest, "the body is not a valid completion request")
	}
	c := &completion{exchange: x, model: body.Model, prompt: []byte(body.Prompt), max: defaultMaxTokens, stream: body.Stream}
	c.tokens = outcome.EstimateTokens(len(c.prompt))
	c.band = outcome.BandOf(c.tokens)
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
	case c.max < 1 || c.max > maxMaxTokens:
		return nil, outcome.New(outcome.InvalidRequest, "\"max_tokens\" is %d; allowed: 1 to %d", c.max, maxMaxTokens)
	case body.N != 0 && body.N != 1:
		return nil, outcome.New(outcome.InvalidRequest, "\"n\" is %v; allowed: 1", body.N)
	case timeout < 1 || timeout > int64(e.settings.Entry.MaxTimeoutMillis):
		return nil, outcome.New(outcome.InvalidRequest, "\"timeout_ms\" is %d; allowed: 1 to %d", timeout, e.settings.Entry.MaxTimeoutMillis)
	case c.tokens > maxPromptTokens:
		return nil, outcome.New(outcome.PromptTooLong, "the prompt has about %d tokens; allowed: %d", c.tokens, maxPromptTokens)
	}
	c.deadline = x.started.Add(time.Duration(timeout) * time.Millisecond)
	c.prefixes = backend.PrefixHashes(c.prompt)
	return c, e.checkPlan(c)
}

// checkPlan checks what the account's plan allows.
func (e *Entry) checkPlan(c *completion) error {
	plan := c.exchange.plan
	if !plan.AllowsModel(c.model) {
		if e.modelExists(c.model) {
			return outcome.New(outcome.Forbidden, "the plan does not include model %q", c.model)
		}
		return outcome.New(outcome.UnknownModel, "model %q does not exist", c.model)
	}
	if plan.MaxPromptTokens > 0 && c.tokens > plan.MaxPromptTokens {
		return outcome.New(outcome.PromptTooLong, "the prompt has about %d tokens; the plan allows %d", c.tokens, plan.MaxPromptTokens)
	}
	return nil
}

// modelExists reports whether any known agent serves a model.
func (e *Entry) modelExists(model string) bool { return e.largestPrompt(model) > 0 }

// largestPrompt returns the largest KV-cache memory in tokens of the known
// agents with a model; 0 if there is none.
func (e *Entry) largestPrompt(model string) int {
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

// admit refuses what the fleet cannot finish in time and applies the plan's
// limits. The returned function gives the limits back.
func (e *Entry) admit(c *completion) (release func(), err error) {
	if err := e.shed(c); err != nil {
		return nil, err
	}
	return e.applyLimits(c.exchange, c.tokens)
}

// shed refuses a completion whose deadline the fleet is not expected to meet.
func (e *Entry) shed(c *completion) error {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.meterDemand(now, c)
	_, expected, ok := e.table.Pick(now, c.request(e.settings.DataCentre, nil))
	if !ok {
		return nil
	}
	return e.shedder.Check(now, admit.Work{Band: c.band, Deadline: c.deadline, Expected: expected})
}

// applyLimits takes a request of some prompt tokens from the limits of the
// account's plan. The returned function gives the concurrency back.
func (e *Entry) applyLimits(x *exchange, tokens int) (release func(), err error) {
	limits := admit.Limits{RequestsPerSecond: x.plan.RequestsPerSecond, TokensPerSecond: x.plan.TokensPerSecond, Concurrency: x.plan.Concurrency}
	e.mu.Lock()
	defer e.mu.Unlock()
	give, err := e.limiter.Admit(time.Now(), x.account, limits, tokens, int(e.entries.Load()))
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		give()
	}), nil
}

// request returns what the choice of an agent depends on.
func (c *completion) request(dataCentre string, exclude func(string) bool) choose.Request {
	return choose.Request{Model: c.model, Band: c.band, Tokens: c.tokens, Prefixes: c.prefixes,
		DataCentre: dataCentre, Exclude: exclude}
}

// remaining returns the time until a deadline in milliseconds, at least 1.
func remaining(deadline time.Time) uint32 {
	ms := time.Until(deadline).Milliseconds()
	return uint32(min(max(ms, 1), math.MaxUint32))
}

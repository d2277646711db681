package platformsim

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/standin/faults"
)

const (
	// MaxRequestBytes is the largest request that the servers read. It is
	// above MaxValueBytes so that a too large value gets a typed refusal.
	MaxRequestBytes = 4 << 20
	// maxWatchWait bounds one poll of a watch.
	maxWatchWait = 5 * time.Minute
	// defaultWatchWait is used if a poll names no time.
	defaultWatchWait = 30 * time.Second

	headerRevision = "X-Revision"
)

type callClass int

const (
	otherCall callClass = iota
	readCall
	writeCall
	weightCall
)

// operations maps each operation to the rate limit that it counts against.
var operations = map[string]callClass{
	"get": readCall, "list": readCall, "watch": readCall,
	"put": writeCall, "delete": writeCall, "grant": writeCall, "renew": writeCall, "revoke": writeCall,
	"vms": otherCall, "weights": weightCall,
}

// routes maps method and path to the operation.
var routes = map[string]string{
	"GET /v1/kv": "get", "PUT /v1/kv": "put", "DELETE /v1/kv": "delete",
	"GET /v1/keys": "list", "GET /v1/watch": "watch",
	"POST /v1/leases": "grant", "PUT /v1/leases": "renew", "DELETE /v1/leases": "revoke",
	"GET /v1/vms": "vms", "POST /v1/weights": "weights",
}

// supportedFaults are the kinds that rules may name.
var supportedFaults = []faults.Kind{faults.Refuse, faults.LoseRequest, faults.LoseAnswer, faults.Hold}

// refusal is the body of an answer that is not successful.
type refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Actual       uint64 `json:"actual,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Handle serves the platform's protocol.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	operation, ok := routes[string(ctx.Method())+" "+string(ctx.Path())]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, refusal{Code: "invalid_request", Message: "unknown method or path"})
		return
	}
	p.count(operation)
	decision := p.faults.Choose(operation, argument(ctx, "key"))
	time.Sleep(decision.Latency)
	if p.interrupted(ctx, operation, decision.Fault) {
		return
	}
	if retryAfter, ok := p.limit(operation); !ok {
		refuse(ctx, fasthttp.StatusTooManyRequests, refusal{
			Code: "rate_limited", Message: "rate limit exceeded", RetryAfterMS: max(1, retryAfter.Milliseconds()),
		})
		return
	}
	p.run(ctx, operation)
	if decision.Fault == faults.LoseAnswer {
		dropConnection(ctx)
	}
}

// interrupted applies the faults that keep a call from being carried out now.
func (p *Platform) interrupted(ctx *fasthttp.RequestCtx, operation string, fault faults.Kind) bool {
	switch fault {
	case faults.Refuse:
		refuseError(ctx, errUnavailable)
	case faults.LoseRequest:
		dropConnection(ctx)
	case faults.Hold:
		p.hold(ctx, operation)
		dropConnection(ctx)
	default:
		return false
	}
	return true
}

// hold keeps a put or delete for later; other operations are just lost.
func (p *Platform) hold(ctx *fasthttp.RequestCtx, operation string) {
	key, value := argument(ctx, "key"), append([]byte(nil), ctx.PostBody()...)
	expected, err := numbers(ctx, "expected", "lease")
	if err != nil {
		return
	}
	switch operation {
	case "put":
		p.store.hold(func() { _, _ = p.store.put(key, value, expected[0], expected[1]) })
	case "delete":
		p.store.hold(func() { _ = p.store.delete(key, expected[0]) })
	}
}

// run carries out an operation and writes its answer.
func (p *Platform) run(ctx *fasthttp.RequestCtx, operation string) {
	n, err := numbers(ctx, "expected", "lease", "after", "ttl_ms", "wait_ms")
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, refusal{Code: "invalid_request", Message: err.Error()})
		return
	}
	expected, lease, after, ttl := n[0], n[1], n[2], time.Duration(n[3])*time.Millisecond
	key := argument(ctx, "key")
	switch operation {
	case "get":
		answerRecord(ctx, p.store.get(key))
	case "put":
		value := append([]byte(nil), ctx.PostBody()...)
		revision, err := p.store.put(key, value, expected, lease)
		answer(ctx, map[string]uint64{"revision": revision}, err)
	case "delete":
		answer(ctx, nil, p.store.delete(key, expected))
	case "list":
		answer(ctx, map[string][]string{"keys": p.store.list(argument(ctx, "prefix"))}, nil)
	case "watch":
		p.watch(ctx, key, after, time.Duration(n[4])*time.Millisecond)
	case "grant":
		answer(ctx, map[string]uint64{"lease": p.store.grant(ttl)}, nil)
	case "renew":
		answer(ctx, nil, p.store.renew(lease))
	case "revoke":
		p.store.revoke(lease)
		answer(ctx, nil, nil)
	case "vms":
		answer(ctx, map[string][]VM{"vms": p.vms.get()}, nil)
	case "weights":
		answer(ctx, nil, nil)
	}
}

// watch holds the call until the key changes, the wait is over, an outage
// starts or the server stops.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, key string, after uint64, wait time.Duration) {
	if wait <= 0 {
		wait = defaultWatchWait
	}
	// A context made from ctx could read it after the request was reset: its
	// timer may fire at the same moment. Only the server's stop is taken over.
	waitCtx, cancel := context.WithTimeout(context.Background(), min(wait, maxWatchWait))
	defer cancel()
	go func(stopped <-chan struct{}) {
		select {
		case <-stopped:
			cancel()
		case <-waitCtx.Done():
		}
	}(ctx.Done())
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	outage := func() bool { return p.faults.Plan().Outage != faults.None }
	r, changed, err := p.store.watch(waitCtx, key, after, outage)
	if err != nil || !changed {
		answer(ctx, nil, err)
		return
	}
	answerRecord(ctx, r)
}

func argument(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.QueryArgs().Peek(name))
}

// numbers parses the named arguments; a missing one is 0.
func numbers(ctx *fasthttp.RequestCtx, names ...string) ([]uint64, error) {
	values := make([]uint64, len(names))
	for i, name := range names {
		text := argument(ctx, name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, err
		}
		values[i] = n
	}
	return values, nil
}

func answerRecord(ctx *fasthttp.RequestCtx, r record) {
	if r.revision == 0 {
		refuse(ctx, fasthttp.StatusNotFound, refusal{Code: "not_found", Message: "the key does not exist"})
		return
	}
	ctx.Response.Header.Set(headerRevision, strconv.FormatUint(r.revision, 10))
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(r.value)
}

// answer writes a JSON body, status 204 if there is none, or a refusal.
func answer(ctx *fasthttp.RequestCtx, body any, err error) {
	switch {
	case err != nil:
		refuseError(ctx, err)
	case body == nil:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		writeJSON(ctx, body)
	}
}

func refuseError(ctx *fasthttp.RequestCtx, err error) {
	var conflict *conflictError
	switch {
	case errors.As(err, &conflict):
		refuse(ctx, fasthttp.StatusConflict, refusal{Code: "conflict", Message: err.Error(), Actual: conflict.actual})
	case errors.Is(err, errTooLarge):
		refuse(ctx, fasthttp.StatusRequestEntityTooLarge, refusal{Code: "too_large", Message: err.Error()})
	case errors.Is(err, errLeaseEnded):
		refuse(ctx, fasthttp.StatusGone, refusal{Code: "lease_ended", Message: err.Error()})
	default:
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{Code: "unavailable", Message: err.Error()})
	}
}

func refuse(ctx *fasthttp.RequestCtx, status int, r refusal) {
	ctx.SetStatusCode(status)
	writeJSON(ctx, r)
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// dropConnection closes the connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

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
	// above MaxValueBytes so that a larger value is refused with errTooLarge.
	MaxRequestBytes = 4 << 20
	// maxWatchWait bounds one poll of a watch.
	maxWatchWait = 5 * time.Minute
	// defaultWatchWait is the wait of a poll without wait_ms.
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

// refusal is the body of an error answer.
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
		writeRefusal(ctx, fasthttp.StatusNotFound, refusal{Code: "invalid_request", Message: "unknown method or path"})
		return
	}
	p.countCall(operation)
	decision := p.faults.Choose(operation, queryParam(ctx, "key"))
	time.Sleep(decision.Latency)
	if p.injectFault(ctx, operation, decision.Fault) {
		return
	}
	if retryAfter, ok := p.takeFromLimit(operation); !ok {
		writeRefusal(ctx, fasthttp.StatusTooManyRequests, refusal{
			Code: "rate_limited", Message: "rate limit exceeded", RetryAfterMS: max(1, retryAfter.Milliseconds()),
		})
		return
	}
	p.execute(ctx, operation)
	if decision.Fault == faults.LoseAnswer {
		dropConnection(ctx)
	}
}

// injectFault applies a fault that prevents the call from being executed now. It
// returns false for other faults.
func (p *Platform) injectFault(ctx *fasthttp.RequestCtx, operation string, fault faults.Kind) bool {
	switch fault {
	case faults.Refuse:
		writeError(ctx, errUnavailable)
	case faults.LoseRequest:
		dropConnection(ctx)
	case faults.Hold:
		p.holdWrite(ctx, operation)
		dropConnection(ctx)
	default:
		return false
	}
	return true
}

// holdWrite stores a put or delete for release; other operations are dropped.
func (p *Platform) holdWrite(ctx *fasthttp.RequestCtx, operation string) {
	key, value := queryParam(ctx, "key"), append([]byte(nil), ctx.PostBody()...)
	expected, err := parseNumbers(ctx, "expected", "lease")
	if err != nil {
		return
	}
	switch operation {
	case "put":
		p.store.holdWrite(func() { _, _ = p.store.put(key, value, expected[0], expected[1]) })
	case "delete":
		p.store.holdWrite(func() { _ = p.store.delete(key, expected[0]) })
	}
}

// execute runs an operation and writes its answer.
func (p *Platform) execute(ctx *fasthttp.RequestCtx, operation string) {
	n, err := parseNumbers(ctx, "expected", "lease", "after", "ttl_ms", "wait_ms")
	if err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, refusal{Code: "invalid_request", Message: err.Error()})
		return
	}
	expected, lease, after, ttl := n[0], n[1], n[2], time.Duration(n[3])*time.Millisecond
	key := queryParam(ctx, "key")
	switch operation {
	case "get":
		writeRecord(ctx, p.store.get(key))
	case "put":
		value := append([]byte(nil), ctx.PostBody()...)
		revision, err := p.store.put(key, value, expected, lease)
		writeAnswer(ctx, map[string]uint64{"revision": revision}, err)
	case "delete":
		writeAnswer(ctx, nil, p.store.delete(key, expected))
	case "list":
		writeAnswer(ctx, map[string][]string{"keys": p.store.list(queryParam(ctx, "prefix"))}, nil)
	case "watch":
		p.watch(ctx, key, after, time.Duration(n[4])*time.Millisecond)
	case "grant":
		writeAnswer(ctx, map[string]uint64{"lease": p.store.grant(ttl)}, nil)
	case "renew":
		writeAnswer(ctx, nil, p.store.renew(lease))
	case "revoke":
		p.store.revoke(lease)
		writeAnswer(ctx, nil, nil)
	case "vms":
		writeAnswer(ctx, map[string][]VM{"vms": p.vms.get()}, nil)
	case "weights":
		writeAnswer(ctx, nil, nil)
	}
}

// watch blocks the call until the key changes, the wait is over, an outage
// starts or the server stops.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, key string, after uint64, wait time.Duration) {
	if wait <= 0 {
		wait = defaultWatchWait
	}
	// A context derived from ctx could read ctx after fasthttp has reset it, if
	// its timer fires at that moment. So only the server's stop is passed on.
	waitCtx, cancel := context.WithTimeout(context.Background(), min(wait, maxWatchWait))
	defer cancel()
	go func(stopped <-chan struct{}) {
		select {
		case <-stopped:
			cancel()
		case <-waitCtx.Done():
		}
	}(ctx.Done())
	p.waitingWatches.Add(1)
	defer p.waitingWatches.Add(-1)
	outage := func() bool { return p.faults.Plan().Outage != faults.None }
	r, changed, err := p.store.watch(waitCtx, key, after, outage)
	if err != nil || !changed {
		writeAnswer(ctx, nil, err)
		return
	}
	writeRecord(ctx, r)
}

func queryParam(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.QueryArgs().Peek(name))
}

// parseNumbers parses the named query parameters; a missing one is 0.
func parseNumbers(ctx *fasthttp.RequestCtx, names ...string) ([]uint64, error) {
	values := make([]uint64, len(names))
	for i, name := range names {
		text := queryParam(ctx, name)
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

func writeRecord(ctx *fasthttp.RequestCtx, r record) {
	if r.revision == 0 {
		writeRefusal(ctx, fasthttp.StatusNotFound, refusal{Code: "not_found", Message: "the key does not exist"})
		return
	}
	ctx.Response.Header.Set(headerRevision, strconv.FormatUint(r.revision, 10))
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(r.value)
}

// writeAnswer writes a JSON body, status 204 if there is none, or a refusal.
func writeAnswer(ctx *fasthttp.RequestCtx, body any, err error) {
	switch {
	case err != nil:
		writeError(ctx, err)
	case body == nil:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		writeJSON(ctx, body)
	}
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	var conflict *conflictError
	switch {
	case errors.As(err, &conflict):
		writeRefusal(ctx, fasthttp.StatusConflict, refusal{Code: "conflict", Message: err.Error(), Actual: conflict.actual})
	case errors.Is(err, errTooLarge):
		writeRefusal(ctx, fasthttp.StatusRequestEntityTooLarge, refusal{Code: "too_large", Message: err.Error()})
	case errors.Is(err, errLeaseEnded):
		writeRefusal(ctx, fasthttp.StatusGone, refusal{Code: "lease_ended", Message: err.Error()})
	default:
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, refusal{Code: "unavailable", Message: err.Error()})
	}
}

func writeRefusal(ctx *fasthttp.RequestCtx, status int, r refusal) {
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

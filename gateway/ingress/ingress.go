// Package ingress accepts the requests of callers, sends them to backend
// servers and returns the answers. It decides which requests may be retried and
// what a caller may be told: a refusal (429, 503) guarantees that the request
// has not run and never will; 502 and 504 guarantee nothing.
//
// The server is that of net/http, because fasthttp does not report that a
// caller disconnects while its request waits.
package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorwick.dev/gateway/quarantine"
	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/footprint"
	"camphorwick.dev/policy/retry"
)

const (
	// defaultTimeLeft applies if neither the request nor its route states a
	// time.
	defaultTimeLeft = 15 * time.Second
	// defaultBodyBytes bounds the request body if the configuration states no
	// limit.
	defaultBodyBytes = 4 << 20
	// startRetryAfter is the Retry-After while the gateway has no configuration
	// or the service no server.
	startRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a gateway that stops; any other
	// gateway can serve the caller at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// behindRetryAfter is the Retry-After of a gateway with an older configuration;
	// any other gateway may serve the caller at once.
	behindRetryAfter = 100 * time.Millisecond
	// refusedRetryAfter is the Retry-After when all servers refused.
	refusedRetryAfter = 300 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Wire      Wire
	Scheduler *schedule.Scheduler
	Client    *upstream.Client
	Reserver  *reserve.Reserver
	Log       *slog.Logger
	Metrics   *Metrics
	// UnusedMemory is how long engine memory may stay reserved before its
	// request starts to be answered; 0 for no limit.
	UnusedMemory time.Duration
	// Footprint holds what is held for callers; nil for a tracker without limits.
	Footprint *footprint.Tracker
	// Budget bounds the retries per service, of all gateways together.
	Budget retry.WindowConfig
	// Processes returns the number of gateways that share the budget.
	Processes func() int
	// Behind reports whether another gateway has a newer configuration than the one
	// in force; nil for never.
	Behind func() bool
	// Quarantine refuses prompts on which servers crash; nil for a list of this gateway
	// alone.
	Quarantine *quarantine.List
}

// Gateway serves callers. It implements http.Handler.
type Gateway struct {
	Options
	table            atomic.Pointer[routing.Table]
	active           atomic.Int64 // requests in flight
	closeConnections atomic.Bool  // each connection is closed after its next answer
	stopping         atomic.Bool  // the scheduler knows when the gateway stops
	// requests is the context of all requests, which Abort ends.
	requests    context.Context
	abort       context.CancelCauseFunc
	started     time.Time
	lineLimiter lineLimiter
	times       *routeTimes

	mu      sync.Mutex
	budgets map[string]*retry.Window
}

// New returns a gateway without configuration. It refuses all requests until
// SetTable is called.
func New(o Options) *Gateway {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(quarantine.Options{Log: o.Log})
	}
	if o.Footprint == nil {
		o.Footprint = footprint.NewTracker(footprint.Limits{})
	}
	g := &Gateway{Options: o, budgets: map[string]*retry.Window{}, started: time.Now(), times: newRouteTimes()}
	g.requests, g.abort = context.WithCancelCause(context.Background())
	return g
}

// SetTable puts a configuration in force if its version is newer than that of
// the one in force. It reports whether it did.
func (g *Gateway) SetTable(t *routing.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// SetBudget replaces the retry budget. The previous counts are dropped, which
// at worst doubles the retries of one window.
func (g *Gateway) SetBudget(c retry.WindowConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Budget == c {
		return
	}
	g.Budget = c
	clear(g.budgets)
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// Active returns the number of requests in flight.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// CloseConnections makes the gateway close each connection after its next answer.
func (g *Gateway) CloseConnections() { g.closeConnections.Store(true) }

// BaseContext is an http.Server.BaseContext. Abort ends the requests of servers
// that use it.
func (g *Gateway) BaseContext(net.Listener) context.Context { return g.requests }

// Abort ends all requests in flight, which are answered unless their answer has
// begun: with 503 if they have not run, otherwise with 504.
func (g *Gateway) Abort() { g.abort(errStopping) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: time.Now(), table: g.table.Load(), meta: g.Wire.DecodeRequest(r.Header)}
	x.log = g.Log.With("request_id", x.meta.ID)
	holder, closeHolder := g.holderOf(r.Context())
	x.holder = holder
	defer closeHolder()
	defer x.releaseBody()
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x.ctx = ctx
	x.tracked = g.Quarantine.Track(x.meta.ID, x.accountName(), x.meta.SharedParts, end)
	defer x.tracked.Done()
	x.run()
}

var (
	errTimeout  = errors.New("request deadline exceeded")
	errStopping = errors.New("the gateway stops")
)

// admit determines the route and the account and reads the body. It returns
// false if the request is not allowed, which it has then answered.
func (x *exchange) admit() bool {
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, "no_configuration", startRetryAfter)
		return false
	}
	x.route = x.table.Match(x.r.Host, x.r.RequestURI)
	if x.route == nil {
		x.deny(http.StatusNotFound, "no_route")
		return false
	}
	if x.table.NeedsKey(x.route) {
		x.account = x.table.Account(x.meta.Key)
		if x.account == nil {
			x.deny(http.StatusUnauthorized, "unknown_key")
			return false
		}
	}
	x.deadline = x.arrived.Add(x.timeLeft())
	x.service = x.route.PickService()
	if x.g.stopping.Load() && !x.checkStop() {
		return false
	}
	return x.readBody()
}

// deny refuses a request that the configuration in force does not allow. A caller does
// not retry after 404 or 401, so while a newer configuration is known to exist, which may
// allow the request, it is asked to come back.
func (x *exchange) deny(status int, reason string) {
	if x.g.Behind != nil && x.g.Behind() {
		x.refuse(http.StatusServiceUnavailable, reasonBehind, behindRetryAfter)
		return
	}
	x.refuse(status, reason, 0)
}

// timeLeft returns how much time the request has from its arrival.
func (x *exchange) timeLeft() time.Duration {
	left := x.meta.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	return left
}

// refuse answers a request that has not run and never will.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	h := x.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	switch {
	case x.bodyRead, x.r.ContentLength == 0:
	case x.bodyBegun:
		x.respondBesideBody(status, reason)
		return
	default:
		x.limitRest()
	}
	x.respond(status, reason)
}

// respond ends the request with a status of the gateway itself.
func (x *exchange) respond(status int, reason string) {
	h := x.w.Header()
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	x.writeHead(status)
	x.finish(status, reason)
}

// writeHead writes the head of the answer. It checks only now whether the
// connection is to be closed, because a stop may have begun after the request.
func (x *exchange) writeHead(status int) {
	if x.g.closeConnections.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// budget returns the retry budget of a service. mu is held.
func (g *Gateway) budget(service string) *retry.Window {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewWindow(g.Budget)
		g.budgets[service] = b
	}
	return b
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).RecordRequest(time.Since(g.started))
}

// tryRetry takes one retry from the budget of a service.
func (g *Gateway) tryRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).TryRetry(time.Since(g.started), g.Processes())
}

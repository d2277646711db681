// Package ordersim stands in for a plain order service. It accepts any method
// and path and counts how often each order ran, so that a test can check that
// no order ran twice. A second handler, meant for a separate address, injects
// faults and lists the runs.
package ordersim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/standin/faults"
)

const (
	// MaxRequestBytes is the largest request that the servers read.
	MaxRequestBytes = 16 << 20

	headerIdempotencyKey = "Idempotency-Key"
	headerOrder          = "X-Order"
)

// supportedFaults: Refuse answers 503 without a run, LoseRequest breaks the
// connection before the run, LoseAnswer breaks it after the run, CutAnswer in the
// middle of the answer's body. Unframed is a proper answer, and SecondAnswer begins
// with one.
var supportedFaults = []faults.Kind{faults.Refuse, faults.LoseRequest, faults.LoseAnswer, faults.CutAnswer, faults.Unframed, faults.SecondAnswer}

// Settings is the body of PUT /faults. The plan is replaced as a whole; the
// other fields stay as they are if absent. In rules, the operation is the
// HTTP method and the key is the Idempotency-Key.
type Settings struct {
	faults.Plan
	// CheckKeys refuses a second run of a key.
	CheckKeys *bool `json:"check_keys,omitempty"`
	// Token is required as "Authorization: Bearer <token>"; empty requires none.
	Token *string `json:"token,omitempty"`
}

// Runs is the answer of GET /runs.
type Runs struct {
	// Total is the number of runs.
	Total int `json:"total"`
	// Keys counts the runs by Idempotency-Key. Runs without a key are in
	// Orders only.
	Keys map[string]int `json:"keys"`
	// Orders counts the runs by the SHA-256 of the body in hexadecimal, which
	// each answer shows in X-Order.
	Orders map[string]int `json:"orders"`
	// Refused counts the calls with a key that had run before, Unauthorized
	// those with a wrong token. Neither kind ran.
	Refused      int `json:"refused"`
	Unauthorized int `json:"unauthorized"`
}

// Result is the body of the answer to an order that ran.
type Result struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// OrderHash is the hash of the body of the call; it identifies the order.
	OrderHash string `json:"order"`
	// Run is the number of runs so far of the key, or of the hash if the call
	// has no key.
	Run int `json:"run"`
}

// refusal is the body of the answer to a call that did not run.
type refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Service is the stand-in. Safe for concurrent use.
type Service struct {
	faults *faults.Injector

	mu        sync.Mutex
	checkKeys bool
	token     string
	runs      Runs
}

// New returns a service with the settings, or faults.ErrInvalidPlan for an
// invalid fault plan.
func New(settings Settings) (*Service, error) {
	s := &Service{faults: faults.New(), runs: Runs{Keys: map[string]int{}, Orders: map[string]int{}}}
	return s, s.applySettings(settings)
}

func (s *Service) applySettings(settings Settings) error {
	if err := s.faults.Set(settings.Plan, supportedFaults...); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if settings.CheckKeys != nil {
		s.checkKeys = *settings.CheckKeys
	}
	if settings.Token != nil {
		s.token = *settings.Token
	}
	return nil
}

// currentSettings returns the settings in force.
func (s *Service) currentSettings() Settings {
	plan := s.faults.Plan()
	s.mu.Lock()
	defer s.mu.Unlock()
	checkKeys, token := s.checkKeys, s.token
	return Settings{Plan: plan, CheckKeys: &checkKeys, Token: &token}
}

// Handle serves orders.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	decision := s.faults.Choose(string(ctx.Method()), key)
	time.Sleep(decision.Latency)
	switch decision.Fault {
	case faults.Refuse:
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, refusal{"unavailable", "injected outage"})
		return
	case faults.LoseRequest:
		dropConnection(ctx)
		return
	}
	s.handleOrder(ctx, key)
	body := string(ctx.Response.Body())
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch decision.Fault {
	case faults.LoseAnswer:
		dropConnection(ctx)
	case faults.CutAnswer:
		closeAfter(ctx, answer(ctx, length, body[:len(body)/2]))
	case faults.Unframed:
		closeAfter(ctx, answer(ctx, "", body))
	case faults.SecondAnswer:
		whole := answer(ctx, length, body)
		closeAfter(ctx, whole, whole)
	}
}

func (s *Service) handleOrder(ctx *fasthttp.RequestCtx, key string) {
	if !s.authorized(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))) {
		writeRefusal(ctx, fasthttp.StatusUnauthorized, refusal{"unauthorized", "wrong or missing token"})
		return
	}
	sum := sha256.Sum256(ctx.PostBody())
	hash := hex.EncodeToString(sum[:])
	run, ok := s.run(key, hash)
	if !ok {
		writeRefusal(ctx, fasthttp.StatusConflict, refusal{"duplicate_key", "an order with this key has run"})
		return
	}
	ctx.Response.Header.Set(headerOrder, hash)
	writeJSON(ctx, Result{Method: string(ctx.Method()), Path: string(ctx.RequestURI()), OrderHash: hash, Run: run})
}

func (s *Service) authorized(header string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token == "" || header == "Bearer "+s.token {
		return true
	}
	s.runs.Unauthorized++
	return false
}

// run counts a run, or refuses it if keys are checked and the key has run.
func (s *Service) run(key, hash string) (run int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkKeys && s.runs.Keys[key] > 0 {
		s.runs.Refused++
		return 0, false
	}
	s.runs.Total++
	s.runs.Orders[hash]++
	if key == "" {
		return s.runs.Orders[hash], true
	}
	s.runs.Keys[key]++
	return s.runs.Keys[key], true
}

// HandleFaults serves the faults address.
func (s *Service) HandleFaults(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /runs":
		s.writeRuns(ctx)
	case "GET /faults":
		writeJSON(ctx, s.currentSettings())
	case "PUT /faults":
		s.putSettings(ctx)
	case "DELETE /faults":
		_ = s.applySettings(Settings{}) // the zero plan is valid
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		writeRefusal(ctx, fasthttp.StatusNotFound, refusal{"invalid_request", "unknown method or path"})
	}
}

func (s *Service) putSettings(ctx *fasthttp.RequestCtx) {
	var settings Settings
	err := json.Unmarshal(ctx.PostBody(), &settings)
	if err == nil {
		err = s.applySettings(settings)
	}
	if err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, refusal{"invalid_request", err.Error()})
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Service) writeRuns(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(ctx, s.runs)
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
func dropConnection(ctx *fasthttp.RequestCtx) { closeAfter(ctx) }

// answer returns the bytes of an answer with the given body; framing is the header
// that states the length of the body, or empty.
func answer(ctx *fasthttp.RequestCtx, framing, body string) string {
	h := &ctx.Response.Header
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: %s\r\n%s: %s\r\n%s\r\n%s",
		ctx.Response.StatusCode(), h.ContentType(), headerOrder, h.Peek(headerOrder), framing, body)
}

// closeAfter closes the connection after the given answers, each but the first of
// which follows a further request.
func closeAfter(ctx *fasthttp.RequestCtx, answers ...string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for n, text := range answers {
			if n > 0 {
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return // the client makes no further request
				}
			}
			_, _ = io.WriteString(c, text) // the client may have gone
		}
	})
}

package httpkv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/httpcall"
)

// Paths, header and codes of the protocol.
const (
	pathKV         = "/v1/kv"
	pathKeys       = "/v1/keys"
	pathWatch      = "/v1/watch"
	pathLeases     = "/v1/leases"
	pathVMs        = "/v1/vms"
	pathWeights    = "/v1/weights"
	headerRevision = "X-Revision"

	codeNotFound    = "not_found"
	codeConflict    = "conflict"
	codeRateLimited = "rate_limited"
	codeTooLarge    = "too_large"
	codeLeaseEnded  = "lease_ended"
	codeUnavailable = "unavailable"
	codeInvalid     = "invalid_request"
)

type args map[string]string

// request is one call of the protocol.
type request struct {
	operation string // for messages
	write     bool
	method    string
	path      string
	args      args
	body      []byte
	wait      time.Duration // how long the server may hold the call; then 204
	noBody    bool          // success is status 204
	// mayBeAbsent says that not_found is an answer.
	mayBeAbsent bool

	key      string // key, expected and lease are for typed errors
	expected uint64
	lease    cloud.LeaseID
}

// reply is a successful answer, or status 404 for an absent key.
type reply struct {
	request  request
	status   int
	revision string
	body     []byte
}

// refusal is the JSON body of an answer that is not successful.
type refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Actual       uint64 `json:"actual"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// call sends one request and maps its failure to the types of package
// platform.
func (c *Client) call(ctx context.Context, r request) (reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.fill(req)
	bounded, cancel := context.WithTimeout(ctx, c.options.CallTimeout+r.wait)
	defer cancel()
	if err := c.http.Do(bounded, req, resp); err != nil {
		return reply{}, r.noAnswer(ctx, err)
	}
	status := resp.StatusCode()
	if r.succeeded(status) {
		body := append([]byte(nil), resp.Body()...)
		return reply{request: r, status: status, revision: string(resp.Header.Peek(headerRevision)), body: body}, nil
	}
	return r.refused(status, resp.Body())
}

// succeeded tells whether status is the protocol's success of this call.
func (r request) succeeded(status int) bool {
	switch status {
	case fasthttp.StatusOK:
		return !r.noBody
	case fasthttp.StatusNoContent:
		return r.noBody || r.wait > 0
	default:
		return false
	}
}

func (r request) fill(req *fasthttp.Request) {
	query := url.Values{}
	for name, value := range r.args {
		query.Set(name, value)
	}
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://platform" + r.path + "?" + query.Encode())
	req.SetBodyRaw(r.body)
}

// noAnswer classifies a call without an answer. ctx is the caller's.
func (r request) noAnswer(ctx context.Context, err error) error {
	var failed *httpcall.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case r.write && sent:
		return &cloud.UncertainError{Operation: r.operation, Cause: err}
	case !r.write && ctx.Err() != nil:
		return fmt.Errorf("%s: %w", r.operation, ctx.Err())
	default:
		return &cloud.UnavailableError{Operation: r.operation, Cause: err}
	}
}

// refused maps an answer that is not successful. Only the codes of the
// protocol prove that a write had no effect: a bare status may come from
// something between this process and the store.
func (r request) refused(status int, body []byte) (reply, error) {
	var answer refusal
	_ = json.Unmarshal(body, &answer) // without a code the default case applies
	if r.mayBeAbsent && answer.Code == codeNotFound {
		return reply{request: r, status: fasthttp.StatusNotFound}, nil
	}
	switch answer.Code {
	case codeConflict:
		return reply{}, &cloud.ConflictError{Key: r.key, Expected: r.expected, Actual: answer.Actual}
	case codeRateLimited:
		return reply{}, &cloud.RateLimitedError{RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond}
	case codeTooLarge:
		return reply{}, &cloud.TooLargeError{Key: r.key, Size: len(r.body)}
	case codeLeaseEnded:
		return reply{}, &cloud.LeaseError{ID: r.lease}
	case codeUnavailable, codeInvalid:
		return reply{}, &cloud.UnavailableError{
			Operation: r.operation, Cause: fmt.Errorf("status %d, %s: %s", status, answer.Code, answer.Message),
		}
	default:
		return reply{}, r.undetermined(fmt.Errorf("status %d: %w", status, errUnknownAnswer))
	}
}

// undetermined is the error for an answer that does not tell the effect.
func (r request) undetermined(cause error) error {
	if r.write {
		return &cloud.UncertainError{Operation: r.operation, Cause: cause}
	}
	return &cloud.UnavailableError{Operation: r.operation, Cause: cause}
}

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

// Paths, header and error codes of the protocol.
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

type params map[string]string

// request is one call of the protocol.
type request struct {
	operation string // for error messages
	isWrite   bool
	method    string
	path      string
	params    params
	body      []byte
	wait      time.Duration // how long the server may hold the call before it returns 204
	noBody    bool          // success is status 204
	// allowNotFound makes not_found a successful result.
	allowNotFound bool

	// key, expected and lease are for the fields of typed errors.
	key      string
	expected uint64
	lease    cloud.LeaseID
}

// response is a successful response, or one with status 404 for an absent key.
type response struct {
	request  request
	status   int
	revision string
	body     []byte
}

// errorResponse is the JSON body of an error response.
type errorResponse struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Actual       uint64 `json:"actual"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// call sends one request and maps failures to the error types of package cloud.
func (c *Client) call(ctx context.Context, r request) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.encode(req)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.timeout(r), func() { cancel(errCallTimeout) })
	defer timer.Stop()
	// A large value over a slow link may take longer than the time of a call. Begun
	// again it would take as long.
	callCtx = httpcall.WithProgress(callCtx, func() { timer.Reset(c.options.CallTimeout) })
	if err := c.http.Do(callCtx, req, resp); err != nil {
		return response{}, r.transportError(ctx, err)
	}
	status := resp.StatusCode()
	if r.succeeded(status) {
		body := append([]byte(nil), resp.Body()...)
		return response{request: r, status: status, revision: string(resp.Header.Peek(headerRevision)), body: body}, nil
	}
	return r.mapFailure(status, resp.Body())
}

// timeout returns how long the response to a call may take to begin.
func (c *Client) timeout(r request) time.Duration {
	if r.wait > 0 {
		return r.wait + min(watchSlack, c.options.CallTimeout)
	}
	return c.options.CallTimeout
}

// errCallTimeout is the cause of the error of a call without an answer, or without more of
// it, for CallTimeout.
var errCallTimeout = fmt.Errorf("nothing arrived in time: %w", context.DeadlineExceeded)

// succeeded reports whether the protocol defines status as success of this call.
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

func (r request) encode(req *fasthttp.Request) {
	query := url.Values{}
	for name, value := range r.params {
		query.Set(name, value)
	}
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://platform" + r.path + "?" + query.Encode())
	req.SetBodyRaw(r.body)
}

// transportError returns the error for a call without a response. ctx is the
// caller's context.
func (r request) transportError(ctx context.Context, err error) error {
	var failed *httpcall.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case r.isWrite && sent:
		return &cloud.UncertainError{Operation: r.operation, Cause: err}
	case !r.isWrite && ctx.Err() != nil:
		return fmt.Errorf("%s: %w", r.operation, ctx.Err())
	default:
		return &cloud.UnavailableError{Operation: r.operation, Cause: err}
	}
}

// mapFailure maps an unsuccessful response to a result or error. Only an error
// code of the protocol proves that a write had no effect: a status without one
// may come from an intermediary between this process and the store.
func (r request) mapFailure(status int, body []byte) (response, error) {
	var failure errorResponse
	_ = json.Unmarshal(body, &failure) // the default case handles a body without a code
	if r.allowNotFound && failure.Code == codeNotFound {
		return response{request: r, status: fasthttp.StatusNotFound}, nil
	}
	switch failure.Code {
	case codeConflict:
		return response{}, &cloud.ConflictError{Key: r.key, Expected: r.expected, Actual: failure.Actual}
	case codeRateLimited:
		return response{}, &cloud.RateLimitedError{RetryAfter: time.Duration(failure.RetryAfterMS) * time.Millisecond}
	case codeTooLarge:
		return response{}, &cloud.TooLargeError{Key: r.key, Size: len(r.body)}
	case codeLeaseEnded:
		return response{}, &cloud.LeaseError{ID: r.lease}
	case codeUnavailable, codeInvalid:
		return response{}, &cloud.UnavailableError{
			Operation: r.operation, Cause: fmt.Errorf("status %d, %s: %s", status, failure.Code, failure.Message),
		}
	default:
		return response{}, r.invalidResponse(fmt.Errorf("status %d: %w", status, errUnexpectedResponse))
	}
}

// invalidResponse returns the error for a response that does not show whether
// the call took effect.
func (r request) invalidResponse(cause error) error {
	if r.isWrite {
		return &cloud.UncertainError{Operation: r.operation, Cause: cause}
	}
	return &cloud.UnavailableError{Operation: r.operation, Cause: cause}
}

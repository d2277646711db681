// Package servicehttp implements backend.Service over HTTP. Its errors say
// whether a call may have run; the guarantee that no order runs twice depends on
// them. A call is sent at most once, and only a call of which no byte was written
// is reported as not sent.
package servicehttp

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/backend"
	"camphorwick.dev/cloud/httpcall"
)

const headerIdempotencyKey = "Idempotency-Key"

// ErrInvalidCall is the cause if the method or path is not valid in an HTTP
// request line. Such a call is not sent.
var ErrInvalidCall = errors.New("invalid method or path")

// Options configures a service.
type Options struct {
	// Address is the service's host:port.
	Address string
	// Token is sent as bearer token if it is not empty.
	Token string
	// MaxConnections bounds the calls in flight; 0 means
	// httpcall.DefaultMaxConnections.
	MaxConnections int
	// MaxReplyBytes bounds the body of a reply; 0 means
	// httpcall.DefaultMaxResponseBytes. If the reply is longer, Call returns an
	// error which says that the call may have run.
	MaxReplyBytes int
}

// Service implements backend.Service. Safe for concurrent use. The context is
// the only bound on the duration of a call.
type Service struct {
	token string
	http  *httpcall.Client
}

var _ backend.Service = (*Service)(nil)

// New returns a service that connects on first use.
func New(o Options) *Service {
	return &Service{token: o.Token, http: httpcall.New(httpcall.Options{
		Address: o.Address, MaxConnections: o.MaxConnections, MaxResponseBytes: o.MaxReplyBytes, OneCallPerConnection: true,
	})}
}

// Close makes further calls return an error with NotSent.
func (s *Service) Close() { s.http.Close() }

// Call implements backend.Service. Every complete HTTP answer, whatever its
// status, is a Reply; the caller interprets the status.
func (s *Service) Call(ctx context.Context, c backend.Call) (backend.Reply, error) {
	if !isMethod(c.Method) || !isTarget(c.Path) {
		return backend.Reply{}, &backend.ServiceError{NotSent: true, Cause: fmt.Errorf("%w: %q %q", ErrInvalidCall, c.Method, c.Path)}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	s.fillRequest(req, c)
	if err := s.http.Do(ctx, req, resp); err != nil {
		var failed *httpcall.Error
		notSent := errors.As(err, &failed) && !failed.Sent
		return backend.Reply{}, &backend.ServiceError{NotSent: notSent, Cause: err}
	}
	return backend.Reply{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func (s *Service) fillRequest(req *fasthttp.Request, c backend.Call) {
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://service" + c.Path)
	req.Header.SetNoDefaultContentType(true)
	if c.ContentType != "" {
		req.Header.SetContentType(c.ContentType)
	}
	if c.OrderKey != "" {
		req.Header.Set(headerIdempotencyKey, c.OrderKey)
	}
	if s.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.token)
	}
	req.SetBodyRaw(c.Body)
}

// isMethod reports whether s is accepted as an HTTP method.
func isMethod(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' })
}

// isTarget reports whether s is accepted as a request target. A control character
// or space in it would let a caller inject a second request. A '#' would begin a
// fragment, which is not sent. Without the first '/', the target would become part
// of the host name.
func isTarget(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' })
}

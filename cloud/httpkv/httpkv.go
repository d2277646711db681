// Package httpkv is the adapter to the platform's HTTP protocol, which
// docs/protocols/platform.md describes. It keeps apart writes that certainly
// did not take effect from those that may have; the order journal and the
// configuration depend on this.
package httpkv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/httpcall"
)

const (
	// DefaultCallTimeout bounds a call whose context has no earlier deadline.
	DefaultCallTimeout = 5 * time.Second
	// DefaultWatchWait is how long the server holds one poll of a watch.
	DefaultWatchWait = 30 * time.Second
	// maxResponseBytes bounds an answer; the longest are lists of keys.
	maxResponseBytes = 16 << 20
)

// Options configures a client.
type Options struct {
	// Address is the platform's host:port.
	Address string
	// CallTimeout bounds each call; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchWait bounds one poll of a watch; 0 means DefaultWatchWait. Each
	// poll counts as one call against the rate limits.
	WatchWait time.Duration
	// MaxConnections bounds the calls in progress, waiting watches included;
	// 0 means httpcall.DefaultMaxConnections.
	MaxConnections int
}

// Client implements cloud.KV, cloud.VMList and cloud.WeightStore.
// Safe for concurrent use. No call is ever retried.
//
// A read or a watch whose context ends returns an error that wraps the
// context's. A write whose context ends is an UncertainError if a byte of it
// was written, else an UnavailableError; both wrap the context's error.
type Client struct {
	options Options
	http    *httpcall.Client
}

var (
	_ cloud.KV          = (*Client)(nil)
	_ cloud.VMList      = (*Client)(nil)
	_ cloud.WeightStore = (*Client)(nil)
)

// New returns a client that connects on first use.
func New(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	return &Client{options: o, http: httpcall.New(httpcall.Options{
		Address: o.Address, MaxConnections: o.MaxConnections, MaxResponseBytes: maxResponseBytes,
	})}
}

// Close closes idle connections and refuses further calls.
func (c *Client) Close() { c.http.Close() }

// Get implements cloud.KV.
func (c *Client) Get(ctx context.Context, key string) (cloud.Entry, error) {
	r, err := c.call(ctx, request{
		operation: "get " + key, method: fasthttp.MethodGet, path: pathKV, mayBeAbsent: true, args: args{"key": key},
	})
	if err != nil {
		return cloud.Entry{}, err
	}
	return r.entry()
}

// Put implements cloud.KV.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	if len(value) > cloud.MaxValueBytes {
		return 0, &cloud.TooLargeError{Key: key, Size: len(value)}
	}
	r, err := c.call(ctx, request{
		operation: "put " + key, write: true, method: fasthttp.MethodPut, path: pathKV,
		key: key, expected: expected, lease: lease, body: value,
		args: args{"key": key, "expected": number(expected), "lease": number(uint64(lease))},
	})
	if err != nil {
		return 0, err
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	if err := r.decode(&answer); err != nil {
		return 0, err
	}
	if answer.Revision == 0 {
		return 0, r.request.undetermined(errUnknownAnswer)
	}
	return answer.Revision, nil
}

// Delete implements cloud.KV.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := c.call(ctx, request{
		operation: "delete " + key, write: true, noBody: true, method: fasthttp.MethodDelete, path: pathKV,
		key: key, expected: expected, args: args{"key": key, "expected": number(expected)},
	})
	return err
}

// List implements cloud.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	r, err := c.call(ctx, request{operation: "list " + prefix, method: fasthttp.MethodGet, path: pathKeys, args: args{"prefix": prefix}})
	if err != nil {
		return nil, err
	}
	var answer struct {
		Keys []string `json:"keys"`
	}
	err = r.decode(&answer)
	return answer.Keys, err
}

// Watch implements cloud.KV. It polls until the key changes or ctx ends.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (cloud.Entry, error) {
	for {
		wait := c.options.WatchWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = max(min(wait, time.Until(deadline)), time.Millisecond)
		}
		r, err := c.call(ctx, request{
			operation: "watch " + key, method: fasthttp.MethodGet, path: pathWatch, wait: wait, mayBeAbsent: true,
			args: args{"key": key, "after": number(after), "wait_ms": milliseconds(wait)},
		})
		if err != nil {
			return cloud.Entry{}, err
		}
		if r.status != fasthttp.StatusNoContent {
			return r.entry()
		}
	}
}

// Grant implements cloud.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	r, err := c.call(ctx, request{
		operation: "grant", write: true, method: fasthttp.MethodPost, path: pathLeases, args: args{"ttl_ms": milliseconds(ttl)},
	})
	if err != nil {
		return 0, err
	}
	var answer struct {
		Lease cloud.LeaseID `json:"lease"`
	}
	if err := r.decode(&answer); err != nil {
		return 0, err
	}
	if answer.Lease == 0 {
		return 0, r.request.undetermined(errUnknownAnswer)
	}
	return answer.Lease, nil
}

// Renew implements cloud.KV.
func (c *Client) Renew(ctx context.Context, id cloud.LeaseID) error {
	_, err := c.call(ctx, request{
		operation: "renew", write: true, noBody: true, method: fasthttp.MethodPut, path: pathLeases,
		lease: id, args: args{"lease": number(uint64(id))},
	})
	return err
}

// Revoke implements cloud.KV. A lease that has ended is no error.
func (c *Client) Revoke(ctx context.Context, id cloud.LeaseID) error {
	_, err := c.call(ctx, request{
		operation: "revoke", write: true, noBody: true, method: fasthttp.MethodDelete, path: pathLeases,
		lease: id, args: args{"lease": number(uint64(id))},
	})
	return err
}

// VMs implements cloud.VMList.
func (c *Client) VMs(ctx context.Context) ([]cloud.VM, error) {
	r, err := c.call(ctx, request{operation: "list VMs", method: fasthttp.MethodGet, path: pathVMs})
	if err != nil {
		return nil, err
	}
	var answer struct {
		VMs []cloud.VM `json:"vms"`
	}
	err = r.decode(&answer)
	return answer.VMs, err
}

// Reserve implements cloud.WeightStore.
func (c *Client) Reserve(ctx context.Context, model, version string) error {
	_, err := c.call(ctx, request{
		operation: "reserve weights", write: true, noBody: true, method: fasthttp.MethodPost, path: pathWeights,
		args: args{"model": model, "version": version},
	})
	return err
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// decode parses a JSON answer. If the answer to a write cannot be parsed, the
// write's effect is not known.
func (r reply) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return r.request.undetermined(fmt.Errorf("parsing the answer: %w", err))
	}
	return nil
}

// entry reads the value and its revision from an answer; status 404 is an
// absent key.
func (r reply) entry() (cloud.Entry, error) {
	if r.status == fasthttp.StatusNotFound {
		return cloud.Entry{}, nil
	}
	revision, err := strconv.ParseUint(r.revision, 10, 64)
	if err != nil {
		return cloud.Entry{}, r.request.undetermined(fmt.Errorf("parsing %s: %w", headerRevision, err))
	}
	return cloud.Entry{Value: r.body, Revision: revision}, nil
}

var errUnknownAnswer = errors.New("answer outside the protocol")

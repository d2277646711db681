// Package httpkv is the adapter to the platform's HTTP protocol, described in
// docs/protocols/platform.md. Its errors distinguish writes that have not taken
// effect from writes that may have. The callers that record orders and
// configuration in the store depend on this.
package httpkv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/httpcall"
)

const (
	// DefaultCallTimeout bounds the time in which nothing of a response arrives.
	DefaultCallTimeout = 5 * time.Second
	// DefaultWatchWait is how long the server holds a watch poll. A poll that is lost without
	// an error, in a moment of silence, is given up watchSlack later; an edit has to be in
	// force everywhere within 5 s.
	DefaultWatchWait = 2 * time.Second
	watchSlack       = time.Second
	// maxResponseBytes bounds a response; key lists are the largest.
	maxResponseBytes = 16 << 20
)

// Options configures a client.
type Options struct {
	// Address is the platform's host:port.
	Address string
	// CallTimeout bounds the time until the response to a call begins, and until each
	// further part of it arrives; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchWait bounds a watch poll; 0 means DefaultWatchWait. Each poll counts
	// as one call against the rate limits.
	WatchWait time.Duration
	// MaxConnections bounds the concurrent calls, including waiting watches;
	// 0 means httpcall.DefaultMaxConnections.
	MaxConnections int
	// Log receives a line for each VM of a list that cannot be read; nil for none.
	Log *slog.Logger
}

// Client implements cloud.KV, cloud.VMList and cloud.WeightStore.
// It is safe for concurrent use and never retries a call.
//
// A read or watch whose context ends returns an error that wraps the context's
// error. A write whose context ends returns an UncertainError if any byte of it
// was sent, else an UnavailableError; both wrap the context's error.
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
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{options: o, http: httpcall.New(httpcall.Options{
		Address: o.Address, MaxConnections: o.MaxConnections, MaxResponseBytes: maxResponseBytes,
		Framed: true, // a part of a value could be decoded as another value
	})}
}

// Close closes idle connections and rejects further calls.
func (c *Client) Close() { c.http.Close() }

// Get implements cloud.KV.
func (c *Client) Get(ctx context.Context, key string) (cloud.Record, error) {
	r, err := c.call(ctx, request{
		operation: "get " + key, method: fasthttp.MethodGet, path: pathKV, allowNotFound: true, params: params{"key": key},
	})
	if err != nil {
		return cloud.Record{}, err
	}
	return r.record()
}

// Put implements cloud.KV.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	if len(value) > cloud.MaxValueBytes {
		return 0, &cloud.TooLargeError{Key: key, Size: len(value)}
	}
	r, err := c.call(ctx, request{
		operation: "put " + key, isWrite: true, method: fasthttp.MethodPut, path: pathKV,
		key: key, expected: expected, lease: lease, body: value,
		params: params{"key": key, "expected": formatUint(expected), "lease": formatUint(uint64(lease))},
	})
	if err != nil {
		return 0, err
	}
	var result struct {
		Revision uint64 `json:"revision"`
	}
	if err := r.decode(&result); err != nil {
		return 0, err
	}
	if result.Revision == 0 {
		return 0, r.request.invalidResponse(errUnexpectedResponse)
	}
	return result.Revision, nil
}

// Delete implements cloud.KV.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := c.call(ctx, request{
		operation: "delete " + key, isWrite: true, noBody: true, method: fasthttp.MethodDelete, path: pathKV,
		key: key, expected: expected, params: params{"key": key, "expected": formatUint(expected)},
	})
	return err
}

// List implements cloud.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	r, err := c.call(ctx, request{operation: "list " + prefix, method: fasthttp.MethodGet, path: pathKeys, params: params{"prefix": prefix}})
	if err != nil {
		return nil, err
	}
	var result struct {
		Keys []string `json:"keys"`
	}
	err = r.decode(&result)
	return result.Keys, err
}

// Watch implements cloud.KV by polling until the key changes or ctx ends.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (cloud.Record, error) {
	for {
		wait := c.options.WatchWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = max(min(wait, time.Until(deadline)), time.Millisecond)
		}
		r, err := c.call(ctx, request{
			operation: "watch " + key, method: fasthttp.MethodGet, path: pathWatch, wait: wait, allowNotFound: true,
			params: params{"key": key, "after": formatUint(after), "wait_ms": formatMillis(wait)},
		})
		if err != nil {
			return cloud.Record{}, err
		}
		if r.status != fasthttp.StatusNoContent {
			return r.record()
		}
	}
}

// Grant implements cloud.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	r, err := c.call(ctx, request{
		operation: "grant", isWrite: true, method: fasthttp.MethodPost, path: pathLeases, params: params{"ttl_ms": formatMillis(ttl)},
	})
	if err != nil {
		return 0, err
	}
	var result struct {
		Lease cloud.LeaseID `json:"lease"`
	}
	if err := r.decode(&result); err != nil {
		return 0, err
	}
	if result.Lease == 0 {
		return 0, r.request.invalidResponse(errUnexpectedResponse)
	}
	return result.Lease, nil
}

// Renew implements cloud.KV.
func (c *Client) Renew(ctx context.Context, id cloud.LeaseID) error {
	_, err := c.call(ctx, request{
		operation: "renew", isWrite: true, noBody: true, method: fasthttp.MethodPut, path: pathLeases,
		lease: id, params: params{"lease": formatUint(uint64(id))},
	})
	return err
}

// Revoke implements cloud.KV. Revoking a lease that has ended is no error.
func (c *Client) Revoke(ctx context.Context, id cloud.LeaseID) error {
	_, err := c.call(ctx, request{
		operation: "revoke", isWrite: true, noBody: true, method: fasthttp.MethodDelete, path: pathLeases,
		lease: id, params: params{"lease": formatUint(uint64(id))},
	})
	return err
}

// VMs implements cloud.VMList. A VM that cannot be decoded is left out, so that the
// others of its list stay known.
func (c *Client) VMs(ctx context.Context) ([]cloud.VM, error) {
	r, err := c.call(ctx, request{operation: "list VMs", method: fasthttp.MethodGet, path: pathVMs})
	if err != nil {
		return nil, err
	}
	var result struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := r.decode(&result); err != nil {
		return nil, err
	}
	vms := make([]cloud.VM, 0, len(result.VMs))
	for i, data := range result.VMs {
		var vm cloud.VM
		if err := json.Unmarshal(data, &vm); err != nil {
			c.options.Log.Warn("VM of the list not decoded", "index", i, "error", err.Error())
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// Reserve implements cloud.WeightStore.
func (c *Client) Reserve(ctx context.Context, model, version string) error {
	_, err := c.call(ctx, request{
		operation: "reserve weights", isWrite: true, noBody: true, method: fasthttp.MethodPost, path: pathWeights,
		params: params{"model": model, "version": version},
	})
	return err
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// decode parses a JSON response. If the response to a write cannot be parsed, it
// is unknown whether the write took effect.
func (r response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return r.request.invalidResponse(fmt.Errorf("decode response: %w", err))
	}
	return nil
}

// record returns the value and revision of a response; status 404 means an absent
// key.
func (r response) record() (cloud.Record, error) {
	if r.status == fasthttp.StatusNotFound {
		return cloud.Record{}, nil
	}
	revision, err := strconv.ParseUint(r.revision, 10, 64)
	if err != nil {
		return cloud.Record{}, r.request.invalidResponse(fmt.Errorf("parse header %s: %w", headerRevision, err))
	}
	return cloud.Record{Value: r.body, Revision: revision}, nil
}

var errUnexpectedResponse = errors.New("response does not follow the protocol")

// Package ctl is a client of the administration API, with the file and output
// formats of the command-line tool. If the response to an edit is lost, it finds
// out whether the edit was accepted, so that an accepted edit is never reported as
// refused.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"camphorwick.dev/api/admin"
)

const (
	// readTimeout bounds a read from one entry, after which the next entry is
	// tried.
	readTimeout = 3 * time.Second
	// entryEditLimit is the longest time that an entry processes an edit, also
	// after its caller has disconnected.
	entryEditLimit = 10 * time.Second
	// editTimeout bounds the wait for the response to an edit.
	editTimeout = entryEditLimit + 2*time.Second
	// resolveLimit bounds the retries of an edit whose response was lost. It is
	// above editTimeout plus entryEditLimit, after which a conflict is final.
	resolveLimit = 30 * time.Second
	// retryInterval is the time between retries of an edit in doubt, of which it is
	// not known whether it was accepted.
	retryInterval = time.Second
	// pollInterval is the time between polls of the confirmations.
	pollInterval = 200 * time.Millisecond
	// maxResponseBytes bounds a response; a configuration has at most 2 MiB.
	maxResponseBytes = 16 << 20
)

// Options configure the access to the administration API.
type Options struct {
	// Addresses are IP:port or http(s) URLs of entries, tried in turn.
	Addresses []string
	// Key is the administration key.
	Key string
}

// Client calls the administration API. Safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client. It opens no connection. Connections are not reused,
// because a reused one may break during an edit and leave the edit in doubt.
func New(o Options) *Client {
	return &Client{options: o, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Item is one item of the configuration.
type Item struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"revision"`
}

// Config is the requested part of the configuration.
type Config struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// Item returns the item with a key, or an item with revision 0 and false if it
// does not exist.
func (c *Config) Item(key string) (Item, bool) {
	for _, item := range c.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{Key: key}, false
}

// Confirmations lists the processes on which a revision is in force.
type Confirmations struct {
	Revision  uint64        `json:"revision"`
	Confirmed int           `json:"confirmed"` // number of processes on which it is in force
	Total     int           `json:"total"`     // number of processes that must confirm it
	Missing   []Unconfirmed `json:"missing"`
	// Stopped are agents that stopped because of a mark. They are not in Total.
	Stopped []Unconfirmed `json:"stopped"`
}

// Unconfirmed is a process on which a revision is not known to be in force.
type Unconfirmed struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"` // the last one that the process reported
	// AgeMS is the time since the last report of the process.
	AgeMS uint32 `json:"age_ms"`
}

// Fleet is the state of the fleet as reported by one entry.
type Fleet struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VM is a row of the fleet table.
type VM = admin.VM

// Config returns the items whose key starts with prefix, ordered by key.
func (c *Client) Config(ctx context.Context, prefix string) (*Config, error) {
	config := &Config{}
	return config, c.read(ctx, http.MethodGet, "/admin/v1/config?prefix="+url.QueryEscape(prefix), nil, config)
}

// Confirmations returns the processes on which a revision is in force.
func (c *Client) Confirmations(ctx context.Context, revision uint64) (*Confirmations, error) {
	status := &Confirmations{}
	return status, c.read(ctx, http.MethodGet, "/admin/v1/confirmations?revision="+strconv.FormatUint(revision, 10), nil, status)
}

// Fleet returns the fleet table, ordered by data centre, role and VM.
func (c *Client) Fleet(ctx context.Context) (*Fleet, error) {
	fleet := &Fleet{}
	err := c.read(ctx, http.MethodGet, "/admin/v1/fleet", nil, fleet)
	sortVMs(fleet.VMs)
	return fleet, err
}

// Validate has an entry check each item of an edit without committing it.
func (c *Client) Validate(ctx context.Context, edit Edit) error {
	return c.read(ctx, http.MethodPost, "/admin/v1/validate", edit, &struct{}{})
}

// Wait polls until a revision is in force on all processes. After the timeout it
// returns a *NotInForceError, or the error of the last poll if no poll succeeded.
func (c *Client) Wait(ctx context.Context, revision uint64, timeout time.Duration) (*Confirmations, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last *Confirmations
	for {
		status, err := c.Confirmations(ctx, revision)
		if err == nil {
			last = status
			if status.Confirmed == status.Total {
				return status, nil
			}
		}
		var refused *APIError
		if errors.As(err, &refused) {
			return nil, err
		}
		if sleep(ctx, pollInterval) == nil {
			continue
		}
		if last == nil {
			return nil, err
		}
		return last, &NotInForceError{*last}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read sends a request that changes nothing, to the entries in turn until one
// answers.
func (c *Client) read(ctx context.Context, method, path string, body, into any) error {
	var last error
	for _, address := range c.options.Addresses {
		err := c.sendTo(ctx, readTimeout, address, method, path, body, into)
		var refused *APIError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		last = err
	}
	return &ConnectionError{Addresses: c.options.Addresses, Cause: last}
}

// sendTo sends a request to one entry. The error is an *APIError for a refusal, a
// *lostResponseError if the entry may have received the request, or another error
// if it has not.
func (c *Client) sendTo(ctx context.Context, timeout time.Duration, address, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := c.request(ctx, address, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	if err != nil {
		return &lostResponseError{address, err}
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(address, response, into)
}

func (c *Client) request(ctx context.Context, address, method, path string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	baseURL := address
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(baseURL, "/")+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("create request for %s: %w", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// decodeResponse accepts only responses of the administration API. Any other may
// come from a load balancer that has already forwarded the request.
func decodeResponse(address string, response *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &lostResponseError{address, err}
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, into); err != nil {
			return &lostResponseError{address, err}
		}
		return nil
	}
	var refusal admin.ErrorBody
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Error.Code == "" {
		return &lostResponseError{address, fmt.Errorf("status %d without an error code", response.StatusCode)}
	}
	e := refusal.Error
	return &APIError{Address: address, Status: response.StatusCode, Code: e.Code, Message: e.Message, Conflict: e.Conflict, Expired: e.Expired}
}

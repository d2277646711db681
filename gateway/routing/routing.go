// Package routing holds the operators' configuration of the gateway: routes,
// services, client accounts and limits. A Table is one version of it, compiled
// for lookups; it never changes, so a request is judged by one version from
// start to end.
package routing

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"camphorwick.dev/policy/dispatch"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once for each request id.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They count as
	// NonIdempotent unless the route is resumable.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Target is a service that a route sends to, with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route tells where the requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the first byte of a fully valued answer.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream.
	EventGapTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxServers bounds the servers that one request is sent to.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server after the last event.
	Resumable bool
}

// Retryable reports whether a request that may have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns a service of the route, drawn by weight.
func (r *Route) PickService() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return ""
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name string
	// MaxConnections is what one server accepts from all callers together; 0
	// means no stated limit.
	MaxConnections int
	// Engine describes the model engine; nil for a plain service.
	Engine *dispatch.Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if it is set.
	Priority *int
}

// Limits bound what a caller may send and how long it may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table is a compiled Config.
type Table struct {
	Version    int64
	Limits     Limits
	hosts      map[string][]*Route
	services   map[string]*Service
	accounts   map[string]*Account
	noAccounts bool
}

// NewTable compiles c.
func NewTable(c *Config) *Table {
	t := &Table{Version: c.Version, Limits: c.Limits, hosts: map[string][]*Route{},
		services: map[string]*Service{}, accounts: map[string]*Account{}, noAccounts: len(c.Accounts) == 0}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.accounts[key] = &c.Accounts[i]
		}
	}
	return t
}

// Match returns the route of a Host header and a request target, or nil. Of
// the routes of the host the one with the longest prefix wins.
func (t *Table) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		name, _, hasPort := strings.Cut(host, ":")
		if !hasPort {
			return nil
		}
		routes = t.hosts[strings.ToLower(name)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the holder of an API key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// NeedsKey reports whether requests of r must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return !t.noAccounts && !r.Public }

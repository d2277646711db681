// Package routing holds the configuration of the gateway: routes, services,
// client accounts and limits. A Table is one version of it, compiled for
// lookups. It is immutable, so that a request is handled by a single version.
package routing

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"camphorwick.dev/policy/dispatch"
)

// Kind says how requests are answered and whether they may run more than once.
type Kind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once per request ID.
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

// Target is a service to which a route sends requests, with its weight.
type Target struct {
	Service string
	Weight  int
}

// Route defines how requests of a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// LatencyTarget is the longest time to the first byte that the operator
	// wants: a later answer does not have its full value.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events of a stream that the
	// operator wants.
	EventGapTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxServers bounds the number of servers that may run one request.
	MaxServers int
	// Regions are those of the servers that may get requests; empty for all.
	Regions []string
	// Public is set if requests need no API key.
	Public bool
	// Resumable is set if another server may resume a stream after its last
	// event.
	Resumable bool
}

// Retryable reports whether a request that may have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns a service of the route, chosen at random by weight.
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

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one server accepts in
	// total; 0 means no stated limit.
	MaxConnections int
	// ColdRequestsPerSecond is how many requests a second a cold server bears, of all
	// gateways together; 0 for no limit.
	ColdRequestsPerSecond float64
	// Engine describes the model engine; nil for a plain service.
	Engine *dispatch.Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if set.
	Priority *int
	// Regions are those of the servers that may get requests; empty for all.
	Regions []string
}

// Limits bound the size of a request and the idle time of a connection.
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
	hosts      map[string][]*Route // by lower-case host, longest prefix first
	services   map[string]*Service
	accounts   map[string]*Account // by API key
	noAccounts bool                // then no request needs a key
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

// Match returns the route for a Host header and a request URI, or nil. Of the
// host's routes, the one with the longest prefix of the path is returned. A host
// with a port that has no routes of its own has those of the host without it.
func (t *Table) Match(host, uri string) *Route {
	path, _, _ := strings.Cut(uri, "?")
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

// Account returns the account that owns an API key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// NeedsKey reports whether requests of r must carry an API key: those of public
// routes need none, and no request does if no accounts are configured.
func (t *Table) NeedsKey(r *Route) bool { return !t.noAccounts && !r.Public }
